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
