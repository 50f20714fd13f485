package settings

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

func TestVMClass(t *testing.T) {
	for _, c := range []struct {
		name  string
		vm    VM
		class fleet.CapacityClass
	}{
		{"unknown", VM{}, 0},
		{"small", VM{CPUShare: 0.16, CPUSpeed: 1, LinkMbps: 10}, 0},
		{"limited by its CPU", VM{CPUShare: 0.32, CPUSpeed: 1, LinkMbps: 1000}, 1},
		{"limited by its link", VM{CPUShare: 4, CPUSpeed: 1, LinkMbps: 15}, 0},
		{"large", VM{CPUShare: 0.8, CPUSpeed: 1, LinkMbps: 200}, 3},
		{"fast core", VM{CPUShare: 0.8, CPUSpeed: 2, LinkMbps: 200}, 4},
		{"huge", VM{CPUShare: 1e9, LinkMbps: 1e9}, fleet.MaxCapacityClass},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.vm.CapacityClass(), c.class) })
	}
}

// Guards against using up the operators' retry limit to the last retry, and against exceeding it.
func TestOperatorsLimitsBecomeSettings(t *testing.T) {
	is := is.New(t)
	e := Entry{
		KillAfterSeconds: 6,
		PoolDefaults:     PoolDefaults{RetryLimit: RetryLimit{Ratio: 0.2, Slack: 62}},
	}
	e.SetDefaults()
	is.Equal(e.StopLimitMs, int64(5500))
	is.True(e.PoolDefaults.RetryPercent > 10 && e.PoolDefaults.RetryPercent < 20)
	is.True(e.PoolDefaults.RetryBurst > 31 && e.PoolDefaults.RetryBurst < 62)
}

// Guards against a VM of unknown size that is trusted with more than the smallest ones can bear, and against limits that the
// callers of VMs of known size meet.
func TestLimitsForCallers(t *testing.T) {
	const smallestVMMB = 136
	for _, c := range []struct {
		name                     string
		vm                       VM
		requestMB, heapMB, conns int
	}{
		{"unknown", VM{}, smallestVMMB / 4, 0, 1450},
		{"unknown descriptors", VM{MemoryMB: 536}, 134, 394, 5717},
		{"unknown memory", VM{MaxDescriptors: 4100}, smallestVMMB / 4, 0, 1450},
		{"smallest", VM{MemoryMB: smallestVMMB, MaxDescriptors: 2870}, smallestVMMB / 4, 94, 1450},
		{"largest", VM{MemoryMB: 536, MaxDescriptors: 8192}, 134, 394, 5717},
		{"many descriptors", VM{MemoryMB: 536, MaxDescriptors: 4100}, 134, 394, 3075},
		{"tiny", VM{MemoryMB: 16, MaxDescriptors: 100}, 4, 8, 75},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.vm.RequestBytes(), int64(c.requestMB)<<20)
			is.Equal(c.vm.HeapLimit(), int64(c.heapMB)<<20)
			is.Equal(c.vm.CallerConnections(), c.conns)
		})
	}
}
