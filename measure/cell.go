package measure

import (
	"math/rand/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

func init() { BalancerFactories[CellPolicy] = newCell }

// newCell returns a pool.Cell that is configured as in the daemon.
func newCell(p Profile, random *rand.Rand) Balancer {
	return &pool.Cell{
		Key:            fleet.CellKey{Pool: p.Pool},
		Policy:         table.Policy{FalseEjectionEveryHours: p.FalseEjectionEveryHours},
		SlotsPerTarget: p.Slots,
		Floor:          p.Floor,
		Random:         random,
	}
}
