package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// overloadMedians is how long the overload is measured, in median service times. overloadSettleMedians
// is the time before that, in which the queue fills up.
const (
	overloadSettleMedians = 200
	overloadMedians       = 2_000
	overloadFactor        = 2.0
)

// runOverload offers twice the capacity and measures the goodput relative to the capacity, at which
// all slots are busy with requests of the mean service time.
func runOverload(o Options) ([]Result, error) {
	return runAll(o, subjects(Profiles, []Load{"overload"}, policies()), func(j subject) []Result { return measureOverload(o.Seed, j) }), nil
}

func measureOverload(seed uint64, j subject) []Result {
	p := j.profile
	sim := NewSimulation(p, deriveSeed(seed, "overload", p.Pool), BalancerFactories[j.policy])
	sim.warmUp(Peak, phasesByLoad[Peak])
	sim.SetRate(p.Rate(overloadFactor))
	sim.Run(overloadSettleMedians * p.MedianServiceTime)
	sim.resetStats()
	sim.Run(overloadMedians * p.MedianServiceTime)
	capacity := p.Rate(1) * (overloadMedians * p.MedianServiceTime).Seconds()
	rec := &resultRecorder{seed: seed, labels: labelsOf(p, j.load, "", j.policy)}
	rec.atLeast("goodput", float64(sim.stats.succeeded)/capacity, unitRatio, goalGoodput)
	rec.add("late", percent(sim.stats.late, sim.stats.succeeded), unitPercent)
	rec.add("failed", percent(sim.stats.failed, sim.stats.requests), unitPercent)
	rec.add("refused", percent(sim.stats.refused, sim.stats.requests), unitPercent)
	rec.atMost("falseEjections", float64(len(sim.falseEjections)), unitCount, 0)
	rec.atMost("slotViolations", float64(sim.stats.slotViolations), unitCount, 0)
	return rec.results
}

// outageDuration is how long all targets of the pool are unhealthy. recoveryTimeout limits the wait
// for the recovery of the pool.
const (
	outageDuration  = 60 * time.Second
	recoveryTimeout = 120 * time.Second
	// recoveredFraction is the fraction of the requests of one step that must succeed in a recovered
	// pool.
	recoveredFraction = 0.95
)

type outageJob struct {
	subject
	fault FaultName
}

// runOutage starts a fault at all targets at the same time.
func runOutage(o Options) ([]Result, error) {
	var jobs []outageJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, policies()) {
		for _, f := range []FaultName{"failsFast", "failsHanging", "slow4", "fails20", "crash"} {
			jobs = append(jobs, outageJob{s, f})
		}
	}
	return runAll(o, jobs, func(j outageJob) []Result { return j.measure(o.Seed) }), nil
}

func (j outageJob) measure(seed uint64) []Result {
	sim := NewSimulation(j.profile, deriveSeed(seed, "outage", j.profile.Pool, j.load, j.fault), BalancerFactories[j.policy])
	sim.warmUp(j.load, phasesByLoad[j.load])
	sim.resetStats()
	startFaultOn(j.fault, len(sim.targets))(sim)
	sim.Run(outageDuration)
	during := sim.stats
	endFaultOnAll(j.fault)(sim)
	ended := sim.clock.Now()
	recovery := sim.runUntilRecovered(j.load)
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, string(j.fault), j.policy)}
	rec.atMost("retries", percent(during.retries, during.requests), unitPercent, goalRetries)
	rec.atMost("floorViolations", float64(sim.stats.floorViolations), unitCount, 0)
	rec.atMost("slotViolations", float64(sim.stats.slotViolations), unitCount, 0)
	rec.add("ejections", float64(during.ejections), unitCount)
	rec.add("failed", percent(during.failed, during.requests), unitPercent)
	rec.add("refused", percent(during.refused, during.requests), unitPercent)
	rec.add("recovery.seconds", time.Duration(recovery-ended).Seconds(), unitSeconds)
	return rec.results
}

// runUntilRecovered runs in steps of about 50 requests until the pool has recovered, and returns the
// start of that step, or the current time if the pool does not recover in time.
func (s *Simulation) runUntilRecovered(l Load) pool.Time {
	step := time.Duration(50 / l.Rate(s.profile) * float64(time.Second))
	end := s.clock.Now() + pool.Time(recoveryTimeout)
	for s.clock.Now() < end {
		began := s.clock.Now()
		before := s.stats
		s.Run(step)
		good := s.stats.succeeded - before.succeeded
		bad := s.stats.failed - before.failed + s.stats.refused - before.refused
		if good > 0 && float64(good) >= recoveredFraction*float64(good+bad) {
			return began
		}
	}
	return s.clock.Now()
}
