package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// scenario is one or two faults at targets, with trouble around them.
type scenario struct {
	name string
	// first is the fault whose detection is measured.
	first FaultName
	// second is a fault at another target, or at the same one; empty means none.
	second     FaultName
	sameTarget bool
	// overload raises the load to twice the capacity, and pause stops the observer, with the fault.
	overload bool
	pause    time.Duration
}

// singles are the faults of one target.
var singles = []scenario{
	{name: "failsFast", first: "failsFast"},
	{name: "failsHanging", first: "failsHanging"},
	{name: "truncates", first: "truncates"},
	{name: "slow4", first: "slow4"},
	{name: "fails20", first: "fails20"},
	{name: "flapping", first: "flapping"},
	{name: "coldStart", first: "coldStart"},
	{name: "crash", first: "crash"},
	{name: "partition", first: "partition"},
	{name: "silentConnections", first: "silentConnections"},
	{name: "probeLiesSick", first: "probeLiesSick"},
}

// pairs are faults at the same time, chosen so that each hides or mimics the other: a second bad
// target, a slow peer that shifts the comparison, work that is missing for another reason, and
// evidence that is missing or late.
var pairs = []scenario{
	{name: "failsFast+failsFast", first: "failsFast", second: "failsFast"},
	{name: "failsFast+slow4", first: "failsFast", second: "slow4"},
	{name: "slow4+slow4", first: "slow4", second: "slow4"},
	{name: "slow4+fails20 sameTarget", first: "slow4", second: "fails20", sameTarget: true},
	{name: "fails20+failsFast", first: "fails20", second: "failsFast"},
	{name: "failsHanging+crash", first: "failsHanging", second: "crash"},
	{name: "flapping+silentConnections", first: "flapping", second: "silentConnections"},
	{name: "failsFast+probeLiesSick", first: "failsFast", second: "probeLiesSick"},
	{name: "slow4+coldStart", first: "slow4", second: "coldStart"},
	{name: "truncates+partition", first: "truncates", second: "partition"},
	{name: "failsFast+overload", first: "failsFast", overload: true},
	{name: "slow4+pause", first: "slow4", pause: 3 * time.Second},
	{name: "failsFast+pause", first: "failsFast", pause: 3 * time.Second},
}

// compared are the scenarios that the baselines run too.
var compared = map[string]bool{"failsFast": true, "failsHanging": true, "slow4": true, "fails20": true, "flapping": true}

// times of a detection run.
type runTimes struct{ warm, night, fault, after time.Duration }

// timesOf gives each load a warm-up, at night after some work by day, a fault long enough for the
// goal, and time to return.
var timesOf = map[Load]runTimes{
	Peak:  {warm: 20 * time.Second, fault: 30 * time.Second, after: 60 * time.Second},
	Day:   {warm: 30 * time.Second, fault: 60 * time.Second, after: 60 * time.Second},
	Night: {warm: 30 * time.Second, night: 10 * time.Minute, fault: 2 * time.Hour, after: 30 * time.Minute},
}

// uploadMedians lengthens the fault for uploads, whose deadlines are longer than the usual fault.
const uploadMedians = 100

// timesFor returns the times of a run at the pool.
func timesFor(p Profile, l Load) runTimes {
	times := timesOf[l]
	if p.Upload {
		times.fault = max(times.fault, uploadMedians*p.Median)
	}
	return times
}

// detectionJob is all runs of one scenario.
type detectionJob struct {
	subject
	scenario scenario
	runs     int
	// full is the number of runs that go on to the end of the fault and the return.
	full int
}

const (
	baselineRuns = 6
	fullRuns     = 5
	// fewerRuns is for scenarios without a goal and for nights, which take long to simulate.
	fewerRuns = 10
	pairRuns  = 6
)

func runDetection(o Options) ([]Line, error) {
	var jobs []detectionJob
	for _, s := range subjects(Profiles, Loads, own()) {
		for _, c := range singles {
			runs := o.Runs
			if s.load == Night || classes[c.name] == classOther {
				runs = min(runs, fewerRuns)
			}
			jobs = append(jobs, detectionJob{s, c, runs, fullRuns})
		}
	}
	for _, s := range subjects(Profiles, []Load{Peak, Day}, own()) {
		for _, c := range pairs {
			jobs = append(jobs, detectionJob{s, c, min(o.Runs, pairRuns), pairRuns})
		}
	}
	for _, s := range subjects(Profiles, []Load{Peak, Day}, Baselines) {
		for _, c := range singles {
			if compared[c.name] {
				jobs = append(jobs, detectionJob{s, c, min(o.Runs, baselineRuns), fullRuns})
			}
		}
	}
	return each(o, jobs, func(j detectionJob) []Line { return j.measure(o.Seed) }), nil
}

// detectionRun is the result of one run.
type detectionRun struct {
	watch watch
	stats Stats
	// falseEjections counts ejections of targets without a harmful fault.
	falseEjections int
	// full says that the run went on to its end.
	full bool
}

// run makes one run of the scenario.
func (j detectionJob) run(seed uint64, number int) detectionRun {
	times := timesFor(j.profile, j.load)
	w := NewWorld(j.profile, seed, Makers[j.policy])
	w.warmUp(j.load, times)
	first := number * 7 % len(w.targets)
	second := (first + 1) % len(w.targets)
	if j.scenario.sameTarget {
		second = first
	}
	w.startMeasuring()
	w.Watch(first, Faults[j.scenario.first])
	if f, ok := Faults[j.scenario.second]; ok {
		w.targets[second].switchOn(f)
	}
	if j.scenario.overload {
		w.SetRate(j.profile.Rate(2))
	}
	if j.scenario.pause > 0 {
		w.observers[0].pause(j.scenario.pause)
	}
	v := w.watches[first]
	full := number < j.full
	w.clock.RunUntil(w.clock.Now()+pool.Time(times.fault), func() bool { return !full && v.out >= 0 })
	w.EndFault(first, Faults[j.scenario.first])
	w.targets[second].switchOff(j.scenario.second)
	w.SetRate(j.load.Rate(j.profile))
	if full {
		w.Run(times.after)
	}
	return detectionRun{watch: *v, stats: w.stats, falseEjections: len(w.falseEjections), full: full}
}

// warmUp gives the choosers healthy work.
func (w *World) warmUp(l Load, times runTimes) {
	if l == Night {
		w.SetRate(Day.Rate(w.profile))
		w.Run(times.warm)
		w.SetRate(l.Rate(w.profile))
		w.Run(times.night)
		return
	}
	w.SetRate(l.Rate(w.profile))
	w.Run(times.warm)
}

// measure makes all runs and sums them up.
func (j detectionJob) measure(seed uint64) []Line {
	var runs []detectionRun
	for i := range j.runs {
		runs = append(runs, j.run(seedOf(seed, "detection", j.profile.Pool, j.load, j.scenario.name, i), i))
	}
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, j.scenario.name, j.policy)}
	j.detectionLines(s, runs)
	j.costLines(s, runs)
	return s.lines
}

// detectionLines add times and affected requests. A target that was never out counts with the
// whole time of the fault.
func (j detectionJob) detectionLines(s *sheet, runs []detectionRun) {
	if !Faults[j.scenario.first].Harmful() {
		return
	}
	window := timesFor(j.profile, j.load).fault.Seconds()
	var out, ejected, affected, lastWork []float64
	undetected := 0
	for _, r := range runs {
		seconds := window
		if r.watch.out >= 0 {
			seconds = time.Duration(r.watch.out - r.watch.since).Seconds()
		} else {
			undetected++
		}
		out = append(out, seconds)
		affected = append(affected, float64(r.watch.affected()))
		lastWork = append(lastWork, r.watch.lastHarm().Seconds())
		if r.watch.ejectedAt >= 0 {
			ejected = append(ejected, time.Duration(r.watch.ejectedAt-r.watch.since).Seconds())
		}
	}
	add := func(name string, value float64, unit string, bound float64, ok bool) {
		if ok {
			s.atMost(name, value, unit, bound)
		} else {
			s.add(name, value, unit)
		}
		s.lines[len(s.lines)-1].Samples = len(runs)
	}
	seconds, hasSeconds := goalSeconds(j.profile, j.load, j.scenario.name)
	requests, hasRequests := goalRequests(j.profile, j.load, j.scenario.name)
	add("seconds.p50", quantile(out, 0.5), unitSeconds, 0, false)
	add("seconds.p99", quantile(out, 0.99), unitSeconds, seconds, hasSeconds)
	add("lastHarm.seconds.p99", quantile(lastWork, 0.99), unitSeconds, 0, false)
	add("affected.p50", quantile(affected, 0.5), unitRequests, 0, false)
	add("affected.p99", quantile(affected, 0.99), unitRequests, requests, hasRequests)
	add("undetected", float64(undetected), unitCount, 0, hasSeconds || hasRequests)
	if len(ejected) > 0 {
		add("ejected.seconds.p50", quantile(ejected, 0.5), unitSeconds, 0, false)
		add("ejected.seconds.p99", quantile(ejected, 0.99), unitSeconds, 0, false)
	}
	add("ejected.share", percent(len(ejected), len(runs)), unitPercent, 0, false)
}

// costLines add what callers saw in the runs that went on to their end.
func (j detectionJob) costLines(s *sheet, runs []detectionRun) {
	var sum Stats
	var returned []float64
	falseEjections := 0
	for _, r := range runs {
		falseEjections += r.falseEjections
		sum.floorViolations += r.stats.floorViolations
		sum.slotViolations += r.stats.slotViolations
		if !r.full {
			continue
		}
		sum.add(r.stats)
		if r.watch.out >= 0 {
			end := timesOf[j.load].after.Seconds()
			if r.watch.returned >= 0 {
				end = time.Duration(r.watch.returned - r.watch.ended).Seconds()
			}
			returned = append(returned, end)
		}
	}
	s.atMost("falseEjections", float64(falseEjections), unitCount, 0)
	s.atMost("floorViolations", float64(sum.floorViolations), unitCount, 0)
	s.atMost("slotViolations", float64(sum.slotViolations), unitCount, 0)
	s.add("failed", percent(sum.failed, sum.requests), unitPercent)
	s.add("late", percent(sum.late, sum.requests), unitPercent)
	s.add("refused", percent(sum.refused, sum.requests), unitPercent)
	if j.load == Night {
		// A night run has too few requests for a percentage to say anything about the budget.
		s.add("retries", percent(sum.retries, sum.requests), unitPercent)
	} else {
		s.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	}
	if len(returned) > 0 {
		s.add("return.seconds.p50", quantile(returned, 0.5), unitSeconds)
	}
}

// add sums up the counts of requests.
func (s *Stats) add(o Stats) {
	s.requests += o.requests
	s.attempts += o.attempts
	s.retries += o.retries
	s.good += o.good
	s.late += o.late
	s.failed += o.failed
	s.refused += o.refused
}
