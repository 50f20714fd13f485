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
	// FailRatio is the fraction of requests that end with Outcome.
	FailRatio float64
	Outcome   pool.OutcomeKind
	// FailsFast makes a failure take fastFailureTime instead of the usual service time.
	FailsFast bool
	// Hang makes requests get no response until their deadline.
	Hang bool
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// OnTime and OffTime are the alternating periods of a flapping fault; an OnTime of 0 means always on.
	OnTime, OffTime time.Duration
	// Crash kills the process. It restarts after restartTime, with a cold start.
	Crash bool
	// ColdStart makes the target slow for coldStartDuration, as after a start.
	ColdStart bool
	// SilentConnections makes the open connections deliver nothing more, while new ones work.
	SilentConnections bool
	// Partition drops responses, so that requests and new connections hang.
	Partition bool
	// ProbeFails makes probes fail, and HighLoad makes the load signal report forcedLoad, although the
	// target works.
	ProbeFails, HighLoad bool
	// Drain makes the target announce that it is leaving.
	Drain bool
}

// Harmful reports whether the fault harms work, so that ejecting the target is correct.
func (f Fault) Harmful() bool {
	return f.FailRatio > 0 || f.Hang || f.SlowFactor > 1 || f.Partition || f.Crash || f.ColdStart
}

// residualHarm returns how long after its end the fault still harms requests.
func (f Fault) residualHarm(p Profile) pool.Time {
	if f.Hang || f.Partition {
		return pool.Time(p.Deadline())
	}
	return 0
}

// Parameters of the simulated targets.
const (
	// fastFailureTime is how long a target takes to fail a request if the fault fails fast.
	fastFailureTime = 2 * time.Millisecond
	// restartTime is how long a crashed target refuses connections.
	restartTime = 5 * time.Second
	// coldStartDuration is how long a target is slower after a start. Its service times are
	// coldStartFactor times longer at first, and the factor falls to 1 linearly.
	coldStartDuration = 10 * time.Second
	coldStartFactor   = 5.0
	// poisonCrashDelay is how long a poison request runs before it crashes the target.
	poisonCrashDelay = 20 * time.Millisecond
	forcedLoad       = 1_000
	// afterBodyDivisor divides the service time of an upload; the quotient is the time after the end of
	// the body.
	afterBodyDivisor = 4
)

// Faults holds all faults by name.
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

// activeFault is a fault that is switched on.
type activeFault struct {
	Fault
	since pool.Time
}

// inEffect reports whether the fault acts now: a flapping fault acts during its OnTime only.
func (f activeFault) inEffect(now pool.Time) bool {
	if f.OnTime == 0 {
		return true
	}
	return time.Duration(now-f.since)%(f.OnTime+f.OffTime) < f.OnTime
}

// effect is the result of a target's faults for one request.
type effect struct {
	outcome     pool.OutcomeKind
	serviceTime time.Duration
	hangs       bool
	// harmed reports whether a fault changed the result.
	harmed bool
}

// apply adds the effect of fault f to e.
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
