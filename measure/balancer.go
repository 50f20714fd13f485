package measure

import (
	"math/rand/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Balancer decides which target runs which request. It is implemented by pool.Cell and the baselines.
type Balancer interface {
	// Update replaces the targets and the floor, which is the minimum number of targets that are not
	// ejected.
	Update(now pool.Time, targets []table.Target, floor int)
	// SetOwnership is called before each tick. It tells whether this observer owns the cell exclusively,
	// and whether its process was recently paused.
	SetOwnership(now pool.Time, ownership fleet.Ownership, recentlyPaused bool)
	// Submit requests a decision about a request.
	Submit(now pool.Time, request pool.Request)
	// Finish reports the end of an attempt.
	Finish(now pool.Time, id pool.RequestID, outcome pool.Outcome)
	// Cancel cancels a request that is not running.
	Cancel(now pool.Time, id pool.RequestID)
	// Signal reports a signal of a target's health or load endpoint.
	Signal(now pool.Time, target table.TargetID, signal pool.Signal)
	// Tick runs the periodic work, every tickInterval.
	Tick(now pool.Time)
	// Decisions returns the decisions since the last call and clears them.
	Decisions() []pool.Decision
	// Events returns the events of targets since the last call and clears them.
	Events() []pool.Event
}

// PolicyName names a load balancing policy.
type PolicyName string

// Policies.
const (
	// CellPolicy is the policy of package pool.
	CellPolicy PolicyName = "own"
	// RoundRobin takes targets in turn and never ejects.
	RoundRobin PolicyName = "roundRobin"
	// Consecutive5 takes targets in turn and ejects after five consecutive failures.
	Consecutive5 PolicyName = "consecutive5"
	// Sweep10s takes targets in turn and ejects outliers by their success ratio over 10 s.
	Sweep10s PolicyName = "sweep10s"
	// LeastInFlight takes the target with the fewest requests in flight and never ejects.
	LeastInFlight PolicyName = "leastInFlight"
)

// Baselines are the policies that CellPolicy is compared with.
var Baselines = []PolicyName{RoundRobin, Consecutive5, Sweep10s, LeastInFlight}

// BalancerFactory returns a new balancer for a pool.
type BalancerFactory func(p Profile, random *rand.Rand) Balancer

// BalancerFactories holds the factory of each policy.
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
