package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// overloadMedians is how long the overload is measured, in median service times; the time before
// that lets the queue fill up.
const (
	overloadSettle  = 200
	overloadMedians = 2_000
	overloadFactor  = 2.0
)

// runOverload offers twice the capacity and compares the good answers with the capacity: all
// slots busy with requests of the mean service time.
func runOverload(o Options) ([]Line, error) {
	return each(o, subjects(Profiles, []Load{"overload"}, policies()), func(j subject) []Line { return measureOverload(o.Seed, j) }), nil
}

func measureOverload(seed uint64, j subject) []Line {
	p := j.profile
	w := NewWorld(p, seedOf(seed, "overload", p.Pool), Makers[j.policy])
	w.warmUp(Peak, timesOf[Peak])
	w.SetRate(p.Rate(overloadFactor))
	w.Run(overloadSettle * p.Median)
	w.startMeasuring()
	w.Run(overloadMedians * p.Median)
	capacity := p.Rate(1) * (overloadMedians * p.Median).Seconds()
	s := &sheet{seed: seed, labels: labelsOf(p, j.load, "", j.policy)}
	s.atLeast("goodput", float64(w.stats.good)/capacity, unitRatio, goalGoodput)
	s.add("late", percent(w.stats.late, w.stats.good), unitPercent)
	s.add("failed", percent(w.stats.failed, w.stats.requests), unitPercent)
	s.add("refused", percent(w.stats.refused, w.stats.requests), unitPercent)
	s.atMost("falseEjections", float64(len(w.falseEjections)), unitCount, 0)
	s.atMost("slotViolations", float64(w.stats.slotViolations), unitCount, 0)
	return s.lines
}

// outageTime is how long the whole pool is bad; recoveryLimit bounds the wait for good answers.
const (
	outageTime    = 60 * time.Second
	recoveryLimit = 120 * time.Second
	// recoveredShare of the answers within recoveryStep are good in a recovered pool.
	recoveredShare = 0.95
)

type outageJob struct {
	subject
	fault FaultName
}

// runOutage makes all targets bad at the same time.
func runOutage(o Options) ([]Line, error) {
	var jobs []outageJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, policies()) {
		for _, f := range []FaultName{"failsFast", "failsHanging", "slow4", "fails20", "crash"} {
			jobs = append(jobs, outageJob{s, f})
		}
	}
	return each(o, jobs, func(j outageJob) []Line { return j.measure(o.Seed) }), nil
}

func (j outageJob) measure(seed uint64) []Line {
	w := NewWorld(j.profile, seedOf(seed, "outage", j.profile.Pool, j.load, j.fault), Makers[j.policy])
	w.warmUp(j.load, timesOf[j.load])
	w.startMeasuring()
	onTargets(j.fault, len(w.targets))(w)
	w.Run(outageTime)
	during := w.stats
	offTargets(j.fault)(w)
	ended := w.clock.Now()
	recovery := w.untilRecovered(j.load)
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, string(j.fault), j.policy)}
	s.atMost("retries", percent(during.retries, during.requests), unitPercent, goalRetries)
	s.atMost("floorViolations", float64(w.stats.floorViolations), unitCount, 0)
	s.atMost("slotViolations", float64(w.stats.slotViolations), unitCount, 0)
	s.add("ejections", float64(during.ejections), unitCount)
	s.add("failed", percent(during.failed, during.requests), unitPercent)
	s.add("refused", percent(during.refused, during.requests), unitPercent)
	s.add("recovery.seconds", time.Duration(recovery-ended).Seconds(), unitSeconds)
	return s.lines
}

// untilRecovered runs until the answers within a step are good, and returns that time. The step
// holds some 50 requests.
func (w *World) untilRecovered(l Load) pool.Time {
	step := time.Duration(50 / l.Rate(w.profile) * float64(time.Second))
	end := w.clock.Now() + pool.Time(recoveryLimit)
	for w.clock.Now() < end {
		began := w.clock.Now()
		before := w.stats
		w.Run(step)
		good := w.stats.good - before.good
		bad := w.stats.failed - before.failed + w.stats.refused - before.refused
		if good > 0 && float64(good) >= recoveredShare*float64(good+bad) {
			return began
		}
	}
	return w.clock.Now()
}
