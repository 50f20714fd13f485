package measure

import "time"

// Each of the 30 days of healthy work has 2 h at peak, 10 h by day and 12 h at night.
const noiseDays = 30

var noisePhases = []struct {
	load Load
	time time.Duration
}{
	{Day, 5 * time.Hour},
	{Peak, 2 * time.Hour},
	{Day, 5 * time.Hour},
	{Night, 12 * time.Hour},
}

// noiseJob is one day of one subject.
type noiseJob struct {
	subject
	day int
}

type noiseRun struct {
	falseEjections int
	avoidances     int
	stats          Stats
	simulated      time.Duration
}

// runNoise simulates the fraction o.NoiseFraction of each phase of each day.
func runNoise(o Options) ([]Result, error) {
	list := subjects(Profiles, []Load{""}, cellPolicies())
	// The baselines are run on the lookup pools only, to save time.
	list = append(list, subjects([]Profile{Profiles[0], Profiles[3]}, []Load{""}, []PolicyName{Consecutive5, Sweep10s})...)
	var jobs []noiseJob
	for _, s := range list {
		for day := range noiseDays {
			jobs = append(jobs, noiseJob{s, day})
		}
	}
	runs := parallel(o.Workers, jobs, func(j noiseJob) noiseRun {
		return j.run(deriveSeed(o.Seed, "noise", j.profile.Pool, j.day), o.NoiseFraction)
	})
	var results []Result
	for i, s := range list {
		rec := &resultRecorder{seed: o.Seed, labels: labelsOf(s.profile, "", "", s.policy)}
		addNoiseResults(rec, runs[i*noiseDays:(i+1)*noiseDays])
		results = append(results, rec.results...)
	}
	return results, nil
}

func (j noiseJob) run(seed uint64, fraction float64) noiseRun {
	sim := NewSimulation(j.profile, seed, BalancerFactories[j.policy])
	for _, phase := range noisePhases {
		sim.SetRate(phase.load.Rate(j.profile))
		sim.Run(time.Duration(fraction * float64(phase.time)))
	}
	return noiseRun{len(sim.falseEjections), sim.falseAvoidances, sim.stats, time.Duration(sim.clock.Now())}
}

func addNoiseResults(rec *resultRecorder, runs []noiseRun) {
	var sum Stats
	var simulated time.Duration
	ejections, avoidances, floor, slots := 0, 0, 0, 0
	for _, r := range runs {
		avoidances += r.avoidances
		ejections += r.falseEjections
		sum.add(r.stats)
		floor += r.stats.floorViolations
		slots += r.stats.slotViolations
		simulated += r.simulated
	}
	rec.atMost("falseEjections", float64(ejections), unitCount, 0)
	rec.add("falseEjections.perMillion", 1e6*float64(ejections)/float64(max(sum.requests, 1)), unitPerM)
	rec.add("falseEjections.perDay", float64(ejections)/(simulated.Hours()/24), unitPerDay)
	rec.add("falseAvoidances.perDay", float64(avoidances)/(simulated.Hours()/24), unitPerDay)
	rec.add("simulated", simulated.Hours(), unitHours)
	rec.add("requests", float64(sum.requests), unitRequests)
	rec.add("failed", percent(sum.failed, sum.requests), unitPercent)
	rec.add("late", percent(sum.late, sum.requests), unitPercent)
	rec.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	rec.add("refused", percent(sum.refused, sum.requests), unitPercent)
	rec.atMost("floorViolations", float64(floor), unitCount, 0)
	rec.atMost("slotViolations", float64(slots), unitCount, 0)
}
