package measure

import (
	"math/rand/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Balancer decides which target runs which request. pool.Cell and the baselines implement it.
type Balancer interface {
	// Update replaces the targets and the least number of them that must stay in service.
	Update(now pool.Time, targets []table.Target, floor int)
	// SetOwnership says before each tick how sure this observer may be that it is the only one,
	// and whether it doubts itself.
	SetOwnership(now pool.Time, ownership fleet.Ownership, recentlyPaused bool)
	// Submit asks for a decision about a request.
	Submit(now pool.Time, request pool.Request)
	// Finish reports the end of an attempt.
	Finish(now pool.Time, id pool.RequestID, outcome pool.Outcome)
	// Cancel withdraws a request that is not running.
	Cancel(now pool.Time, id pool.RequestID)
	// Signal reports what a target's own endpoints say.
	Signal(now pool.Time, target table.TargetID, signal pool.Signal)
	// Tick runs the periodic work, every tickInterval.
	Tick(now pool.Time)
	// Decisions returns and forgets the decisions made since the last call.
	Decisions() []pool.Decision
	// Events returns and forgets the changes of targets since the last call.
	Events() []pool.Event
}

// PolicyName names a way of choosing.
type PolicyName string

// The policies.
const (
	// CellPolicy is package pool.
	CellPolicy PolicyName = "own"
	// RoundRobin takes targets in turn and never ejects.
	RoundRobin PolicyName = "roundRobin"
	// Consecutive5 ejects after five failures in a row.
	Consecutive5 PolicyName = "consecutive5"
	// Sweep10s ejects by the success ratio over 10 s.
	Sweep10s PolicyName = "sweep10s"
	// LeastInFlight takes the target with the fewest requests in flight and never ejects.
	LeastInFlight PolicyName = "leastInFlight"
)

// Baselines are the policies that Own is compared with.
var Baselines = []PolicyName{RoundRobin, Consecutive5, Sweep10s, LeastInFlight}

// BalancerFactory builds a chooser for a pool.
type BalancerFactory func(p Profile, random *rand.Rand) Balancer

// BalancerFactories hold every policy.
var BalancerFactories = map[PolicyName]BalancerFactory{
	RoundRobin:    func(Profile, *rand.Rand) Balancer { return &Baseline{Pick: pickRoundRobin} },
	LeastInFlight: func(Profile, *rand.Rand) Balancer { return &Baseline{Pick: pickLeastInFlight} },
	Consecutive5: func(Profile, *rand.Rand) Balancer {
		return &Baseline{Pick: pickRoundRobin, Detector: &consecutiveFailureDetector{}}
	},
	Sweep10s: func(Profile, *rand.Rand) Balancer {
		return &Baseline{Pick: pickRoundRobin, Detector: &successRateDetector{}}
	},
}
