package measure

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// FaultName names a fault of a target.
type FaultName string

// Fault describes how a target misbehaves while the fault is switched on.
type Fault struct {
	Name FaultName
	// FailRatio is the share of requests that end with Outcome.
	FailRatio float64
	Outcome   pool.OutcomeKind
	// FailsFast says that a failure takes fastFailureTime; otherwise it takes the usual service time.
	FailsFast bool
	// Hang says that requests get no answer until their deadline.
	Hang bool
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// OnTime and Off are the alternating times of a flapping fault; 0 means always on.
	OnTime, OffTime time.Duration
	// Crash kills the process; it restarts after restartTime and is then cold.
	Crash bool
	// ColdStart makes the target slow for coldStartDuration, as after a start.
	ColdStart bool
	// SilentConnections makes the connections that are open go silent, while new ones work.
	SilentConnections bool
	// Partition drops answers, so that requests and new connections hang.
	Partition bool
	// ProbeFails makes the probe fail, and HighLoad makes the load signal report forcedLoad,
	// although the target works.
	ProbeFails, HighLoad bool
	// Drain makes the target announce that it is leaving.
	Drain bool
}

// Harmful says that the fault harms work, so that ejecting the target is right.
func (f Fault) Harmful() bool {
	return f.FailRatio > 0 || f.Hang || f.SlowFactor > 1 || f.Partition || f.Crash || f.ColdStart
}

// residualHarm returns how long requests suffer from the fault after its end.
func (f Fault) residualHarm(p Profile) pool.Time {
	if f.Hang || f.Partition {
		return pool.Time(p.Deadline())
	}
	return 0
}

// Times of fakes.
const (
	// fastFailureTime is how long a target takes to fail a request fast.
	fastFailureTime = 2 * time.Millisecond
	// restartTime is how long a crashed target refuses connections.
	restartTime = 5 * time.Second
	// coldStartDuration is how long a target is slower after a start; it begins coldStartFactor times slower.
	coldStartDuration = 10 * time.Second
	coldStartFactor   = 5.0
	// poisonCrashDelay is how long a poison request runs before it crashes its target.
	poisonCrashDelay = 20 * time.Millisecond
	forcedLoad       = 1_000
	// afterBodyDivisor of an upload's service time is one part in so many after its body's end.
	afterBodyDivisor = 4
)

// Faults are all faults by name.
var Faults = faultsByName([]Fault{
	{Name: "failsFast", FailRatio: 1, Outcome: pool.OutcomeFailed, FailsFast: true},
	{Name: "failsHanging", Hang: true},
	{Name: "slow4", SlowFactor: 4},
	{Name: "fails20", FailRatio: 0.2, Outcome: pool.OutcomeFailed},
	{Name: "flapping", FailRatio: 1, Outcome: pool.OutcomeFailed, FailsFast: true, OnTime: 5 * time.Second, OffTime: 5 * time.Second},
	{Name: "truncates", FailRatio: 1, Outcome: pool.OutcomeTruncated},
	{Name: "coldStart", ColdStart: true},
	{Name: "crash", Crash: true},
	{Name: "silentConnections", SilentConnections: true},
	{Name: "probeLiesSick", ProbeFails: true, HighLoad: true},
	{Name: "drain", Drain: true},
	{Name: "partition", Partition: true},
})

func faultsByName(list []Fault) map[FaultName]Fault {
	m := make(map[FaultName]Fault, len(list))
	for _, f := range list {
		m[f.Name] = f
	}
	return m
}

// activeFault is a fault that is switched on at a target.
type activeFault struct {
	Fault
	since pool.Time
}

// inEffect says whether a flapping fault is in its bad part.
func (f activeFault) inEffect(now pool.Time) bool {
	if f.OnTime == 0 {
		return true
	}
	return time.Duration(now-f.since)%(f.OnTime+f.OffTime) < f.OnTime
}

// effect is what the faults of a target do to one request.
type effect struct {
	outcome     pool.OutcomeKind
	serviceTime time.Duration
	hangs       bool
	// harmed says that a fault changed the result.
	harmed bool
}

// apply changes e by the fault f.
func (f activeFault) apply(e *effect, now pool.Time, random *rand.Rand) {
	if !f.inEffect(now) {
		return
	}
	if f.SlowFactor > 1 {
		e.serviceTime = time.Duration(float64(e.serviceTime) * f.SlowFactor)
		e.harmed = true
	}
	if f.Hang {
		e.hangs, e.harmed = true, true
	}
	if f.FailRatio > 0 && random.Float64() < f.FailRatio {
		e.outcome, e.harmed = f.Outcome, true
		if f.FailsFast {
			e.serviceTime = fastFailureTime
		}
	}
}
