package settings

import (
	"math"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// VM is the capacity of an entry's VM. A field of 0 is unknown and is ignored.
type VM struct {
	// CPUShare is the number of cores that the process gets, and CPUSpeed the speed of a core relative
	// to the usual one. A CPUSpeed below 1 counts as 1.
	CPUShare float64 `json:"cpuShare,omitempty"`
	CPUSpeed float64 `json:"cpuSpeed,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// MemoryMB is the memory of the process in MB, from which the budget for requests of callers and a limit on their connections
	// are derived. If it is unknown, they are those of 136 MB.
	MemoryMB float64 `json:"memoryMb,omitempty"`
	// MaxDescriptors is the number of files and sockets that the process may have open, which also limits the connections of callers.
	MaxDescriptors float64 `json:"maxDescriptors,omitempty"`
}

// Resources of a VM of class 0. They do not exceed those of the smallest VMs of the operators, which have
// 0.16 cores and 10 Mbit/s.
const (
	class0CPUShare = 0.1
	class0LinkMbps = 10
)

// CapacityClass returns the capacity class: log2 of the scarcest resource relative to class 0, rounded down.
// It is 0 if all resources are unknown, and at most MaxCapacityClass.
func (v VM) CapacityClass() fleet.CapacityClass {
	scarcest := math.Inf(1)
	for _, r := range []struct{ available, base float64 }{
		{v.CPUShare * max(1, v.CPUSpeed), class0CPUShare},
		{v.LinkMbps, class0LinkMbps},
	} {
		if r.available > 0 {
			scarcest = min(scarcest, r.available/r.base)
		}
	}
	if math.IsInf(scarcest, 1) || scarcest < 1 {
		return 0
	}
	return min(fleet.MaxCapacityClass, fleet.CapacityClass(math.Log2(scarcest)))
}

func (v VM) check() error {
	if v.CPUShare < 0 || v.CPUSpeed < 0 || v.LinkMbps < 0 || v.MemoryMB < 0 || v.MaxDescriptors < 0 {
		return errs.New("vm: cpuShare, cpuSpeed, linkMbps, memoryMb and maxDescriptors can't be negative")
	}
	return nil
}
