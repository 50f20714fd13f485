package settings

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// VM is the size of an entry's VM. A field of 0 is not known and bounds nothing.
type VM struct {
	// CPUShare is the part of a core that the process gets, and CPUSpeed how many times as fast as usual the core is;
	// 0 stands for 1.
	CPUShare float64 `json:"cpuShare,omitempty"`
	CPUSpeed float64 `json:"cpuSpeed,omitempty"`
	// LinkMbps is the rate of the VM's network link in megabits a second.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Resources of a VM of class 0: a little less than the smallest VMs of the users have, which are 0.16 cores and 10 Mbit/s.
const (
	class0CPUShare = 0.1
	class0LinkMbps = 10
)

// CapacityClass returns the capacity class: how often the scarcest resource of the VM is twice that of class 0.
func (v VM) CapacityClass() fleet.CapacityClass {
	scarcest := math.Inf(1)
	for _, r := range []struct{ has, least float64 }{
		{v.CPUShare * max(1, v.CPUSpeed), class0CPUShare},
		{v.LinkMbps, class0LinkMbps},
	} {
		if r.has > 0 {
			scarcest = min(scarcest, r.has/r.least)
		}
	}
	if math.IsInf(scarcest, 1) || scarcest < 1 {
		return 0
	}
	return min(fleet.MaxCapacityClass, fleet.CapacityClass(math.Log2(scarcest)))
}

func (v VM) check() error {
	if v.CPUShare < 0 || v.CPUSpeed < 0 || v.LinkMbps < 0 {
		return errs.New("vm: cpuShare, cpuSpeed and linkMbps can't be negative")
	}
	return nil
}
