package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// scenario is one or two faults of targets, optionally with overload or a paused observer.
type scenario struct {
	name string
	// measuredFault is the fault whose detection is measured.
	measuredFault FaultName
	// otherFault is a fault of the next target, or of the same one if sameTarget is set; empty means
	// none.
	otherFault FaultName
	sameTarget bool
	// overload raises the load to twice the capacity, and pause pauses the observer, when the fault
	// begins.
	overload bool
	pause    time.Duration
}

// singleFaults are the faults of one target.
var singleFaults = []scenario{
	{name: "failsFast", measuredFault: "failsFast"},
	{name: "failsHanging", measuredFault: "failsHanging"},
	{name: "truncates", measuredFault: "truncates"},
	{name: "slow4", measuredFault: "slow4"},
	{name: "fails20", measuredFault: "fails20"},
	{name: "flapping", measuredFault: "flapping"},
	{name: "coldStart", measuredFault: "coldStart"},
	{name: "crash", measuredFault: "crash"},
	{name: "partition", measuredFault: "partition"},
	{name: "silentConnections", measuredFault: "silentConnections"},
	{name: "probeLiesSick", measuredFault: "probeLiesSick"},
}

// combinedFaults are simultaneous faults that hide or mimic each other: a second unhealthy target, a
// slow peer that shifts the comparison, work that is missing for another reason, or evidence that is
// missing or late.
var combinedFaults = []scenario{
	{name: "failsFast+failsFast", measuredFault: "failsFast", otherFault: "failsFast"},
	{name: "failsFast+slow4", measuredFault: "failsFast", otherFault: "slow4"},
	{name: "slow4+slow4", measuredFault: "slow4", otherFault: "slow4"},
	{name: "slow4+fails20 sameTarget", measuredFault: "slow4", otherFault: "fails20", sameTarget: true},
	{name: "fails20+failsFast", measuredFault: "fails20", otherFault: "failsFast"},
	{name: "failsHanging+crash", measuredFault: "failsHanging", otherFault: "crash"},
	{name: "flapping+silentConnections", measuredFault: "flapping", otherFault: "silentConnections"},
	{name: "failsFast+probeLiesSick", measuredFault: "failsFast", otherFault: "probeLiesSick"},
	{name: "slow4+coldStart", measuredFault: "slow4", otherFault: "coldStart"},
	{name: "truncates+partition", measuredFault: "truncates", otherFault: "partition"},
	{name: "failsFast+overload", measuredFault: "failsFast", overload: true},
	{name: "slow4+pause", measuredFault: "slow4", pause: 3 * time.Second},
	{name: "failsFast+pause", measuredFault: "failsFast", pause: 3 * time.Second},
}

// baselineScenarios are the scenarios that are also run with the baselines.
var baselineScenarios = map[string]bool{"failsFast": true, "failsHanging": true, "slow4": true, "fails20": true, "flapping": true}

// runPhases are the durations of the phases of a detection run. nightWarmUp follows the warm-up by
// day.
type runPhases struct{ warmUpTime, nightWarmUp, fault, recovery time.Duration }

// phasesByLoad holds the phases for each load. The fault lasts longer than the goal, and the recovery
// is long enough for the target to return.
var phasesByLoad = map[Load]runPhases{
	Peak:  {warmUpTime: 20 * time.Second, fault: 30 * time.Second, recovery: 60 * time.Second},
	Day:   {warmUpTime: 30 * time.Second, fault: 60 * time.Second, recovery: 60 * time.Second},
	Night: {warmUpTime: 30 * time.Second, nightWarmUp: 10 * time.Minute, fault: 2 * time.Hour, recovery: 30 * time.Minute},
}

// minUploadFaultMedians is the minimum duration of a fault for uploads, in median service times,
// because the deadlines of uploads are longer than the usual fault.
const minUploadFaultMedians = 100

// phasesFor returns the phases of a run at the pool.
func phasesFor(p Profile, l Load) runPhases {
	phases := phasesByLoad[l]
	if p.Upload {
		phases.fault = max(phases.fault, minUploadFaultMedians*p.MedianServiceTime)
	}
	return phases
}

// detectionJob is all runs of one scenario for one subject.
type detectionJob struct {
	subject
	scenario scenario
	runs     int
	// fullRuns is how many of the runs continue until the end of the fault and of the recovery.
	fullRuns int
}

const (
	baselineRuns = 6
	fullRuns     = 5
	// fewerRuns applies to scenarios without a goal and to nights, which take long to simulate.
	fewerRuns         = 10
	combinedFaultRuns = 6
)

func runDetection(o Options) ([]Result, error) {
	var jobs []detectionJob
	for _, s := range subjects(Profiles, Loads, cellPolicies()) {
		for _, sc := range singleFaults {
			runs := o.Runs
			if s.load == Night || faultClasses[sc.name] == classOther {
				runs = min(runs, fewerRuns)
			}
			jobs = append(jobs, detectionJob{s, sc, runs, fullRuns})
		}
	}
	for _, s := range subjects(Profiles, []Load{Peak, Day}, cellPolicies()) {
		for _, sc := range combinedFaults {
			jobs = append(jobs, detectionJob{s, sc, min(o.Runs, combinedFaultRuns), combinedFaultRuns})
		}
	}
	for _, s := range subjects(Profiles, []Load{Peak, Day}, Baselines) {
		for _, sc := range singleFaults {
			if baselineScenarios[sc.name] {
				jobs = append(jobs, detectionJob{s, sc, min(o.Runs, baselineRuns), fullRuns})
			}
		}
	}
	return runAll(o, jobs, func(j detectionJob) []Result { return j.measure(o.Seed) }), nil
}

// detectionRun is the result of one run.
type detectionRun struct {
	tracker faultTracker
	stats   Stats
	// falseEjections counts ejections of targets without a harmful fault.
	falseEjections int
	// full reports whether the run continued to the end of the recovery.
	full bool
}

// run simulates the scenario once.
func (j detectionJob) run(seed uint64, number int) detectionRun {
	phases := phasesFor(j.profile, j.load)
	sim := NewSimulation(j.profile, seed, BalancerFactories[j.policy])
	sim.warmUp(j.load, phases)
	first := number * 7 % len(sim.targets)
	second := (first + 1) % len(sim.targets)
	if j.scenario.sameTarget {
		second = first
	}
	sim.resetStats()
	sim.StartTrackedFault(first, Faults[j.scenario.measuredFault])
	if f, ok := Faults[j.scenario.otherFault]; ok {
		sim.targets[second].startFault(f)
	}
	if j.scenario.overload {
		sim.SetRate(j.profile.Rate(2))
	}
	if j.scenario.pause > 0 {
		sim.observers[0].pause(j.scenario.pause)
	}
	tr := sim.trackers[first]
	full := number < j.fullRuns
	sim.clock.RunUntil(sim.clock.Now()+pool.Time(phases.fault), func() bool { return !full && tr.outAt >= 0 })
	sim.EndTrackedFault(first, Faults[j.scenario.measuredFault])
	sim.targets[second].endFault(j.scenario.otherFault)
	sim.SetRate(j.load.Rate(j.profile))
	if full {
		sim.Run(phases.recovery)
	}
	return detectionRun{tracker: *tr, stats: sim.stats, falseEjections: len(sim.falseEjections), full: full}
}

// warmUp simulates healthy work before a measurement.
func (s *Simulation) warmUp(l Load, phases runPhases) {
	if l == Night {
		s.SetRate(Day.Rate(s.profile))
		s.Run(phases.warmUpTime)
		s.SetRate(l.Rate(s.profile))
		s.Run(phases.nightWarmUp)
		return
	}
	s.SetRate(l.Rate(s.profile))
	s.Run(phases.warmUpTime)
}

// measure makes all runs and returns the results over them.
func (j detectionJob) measure(seed uint64) []Result {
	var runs []detectionRun
	for i := range j.runs {
		runs = append(runs, j.run(deriveSeed(seed, "detection", j.profile.Pool, j.load, j.scenario.name, i), i))
	}
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, j.scenario.name, j.policy)}
	j.addDetectionResults(rec, runs)
	j.addCostResults(rec, runs)
	return rec.results
}

// addDetectionResults records detection times and affected requests. A target that was never out of
// use counts with the duration of the fault.
func (j detectionJob) addDetectionResults(rec *resultRecorder, runs []detectionRun) {
	if !Faults[j.scenario.measuredFault].Harmful() {
		return
	}
	faultSeconds := phasesFor(j.profile, j.load).fault.Seconds()
	var detected, ejected, affected, lastHarmed []float64
	undetected := 0
	for _, r := range runs {
		seconds := faultSeconds
		if r.tracker.outAt >= 0 {
			seconds = time.Duration(r.tracker.outAt - r.tracker.started).Seconds()
		} else {
			undetected++
		}
		detected = append(detected, seconds)
		affected = append(affected, float64(r.tracker.affectedAttempts()))
		lastHarmed = append(lastHarmed, r.tracker.lastHarmedStart().Seconds())
		if r.tracker.ejectedAt >= 0 {
			ejected = append(ejected, time.Duration(r.tracker.ejectedAt-r.tracker.started).Seconds())
		}
	}
	add := func(name string, value float64, unit string, bound float64, ok bool) {
		if ok {
			rec.atMost(name, value, unit, bound)
		} else {
			rec.add(name, value, unit)
		}
		rec.results[len(rec.results)-1].Samples = len(runs)
	}
	seconds, hasSeconds := detectionGoal(j.profile, j.load, j.scenario.name)
	requests, hasRequests := affectedGoal(j.profile, j.load, j.scenario.name)
	add("seconds.p50", quantile(detected, 0.5), unitSeconds, 0, false)
	add("seconds.p99", quantile(detected, 0.99), unitSeconds, seconds, hasSeconds)
	add("lastHarm.seconds.p99", quantile(lastHarmed, 0.99), unitSeconds, 0, false)
	add("affected.p50", quantile(affected, 0.5), unitRequests, 0, false)
	add("affected.p99", quantile(affected, 0.99), unitRequests, requests, hasRequests)
	add("undetected", float64(undetected), unitCount, 0, hasSeconds || hasRequests)
	if len(ejected) > 0 {
		add("ejected.seconds.p50", quantile(ejected, 0.5), unitSeconds, 0, false)
		add("ejected.seconds.p99", quantile(ejected, 0.99), unitSeconds, 0, false)
	}
	add("ejected.share", percent(len(ejected), len(runs)), unitPercent, 0, false)
}

// addCostResults records the effects on callers in the full runs.
func (j detectionJob) addCostResults(rec *resultRecorder, runs []detectionRun) {
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
		if r.tracker.outAt >= 0 {
			end := phasesByLoad[j.load].recovery.Seconds()
			if r.tracker.returnedAt >= 0 {
				end = time.Duration(r.tracker.returnedAt - r.tracker.endedAt).Seconds()
			}
			returned = append(returned, end)
		}
	}
	rec.atMost("falseEjections", float64(falseEjections), unitCount, 0)
	rec.atMost("floorViolations", float64(sum.floorViolations), unitCount, 0)
	rec.atMost("slotViolations", float64(sum.slotViolations), unitCount, 0)
	rec.add("failed", percent(sum.failed, sum.requests), unitPercent)
	rec.add("late", percent(sum.late, sum.requests), unitPercent)
	rec.add("refused", percent(sum.refused, sum.requests), unitPercent)
	if j.load == Night {
		// A night run has too few requests for a percentage to say anything about the retry budget.
		rec.add("retries", percent(sum.retries, sum.requests), unitPercent)
	} else {
		rec.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	}
	if len(returned) > 0 {
		rec.add("return.seconds.p50", quantile(returned, 0.5), unitSeconds)
	}
}

// add adds the request counts of o.
func (s *Stats) add(o Stats) {
	s.requests += o.requests
	s.attempts += o.attempts
	s.retries += o.retries
	s.succeeded += o.succeeded
	s.late += o.late
	s.failed += o.failed
	s.refused += o.refused
}
