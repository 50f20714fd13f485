package measure

import "time"

// One day of healthy work: 2 h at peak, 10 h by day, 12 h at night, over 30 days.
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

// noiseJob is one day of one pool.
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

// runNoise simulates the share o.NoiseShare of each phase of each day.
func runNoise(o Options) ([]Line, error) {
	list := subjects(Profiles, []Load{""}, own())
	// The baselines are run on the lookup pools only, to save time.
	list = append(list, subjects([]Profile{Profiles[0], Profiles[3]}, []Load{""}, []PolicyName{Consecutive5, Sweep10s})...)
	var jobs []noiseJob
	for _, s := range list {
		for day := range noiseDays {
			jobs = append(jobs, noiseJob{s, day})
		}
	}
	runs := parallel(o.Workers, jobs, func(j noiseJob) noiseRun {
		return j.run(seedOf(o.Seed, "noise", j.profile.Pool, j.day), o.NoiseShare)
	})
	var lines []Line
	for i, s := range list {
		sh := &sheet{seed: o.Seed, labels: labelsOf(s.profile, "", "", s.policy)}
		noiseLines(sh, runs[i*noiseDays:(i+1)*noiseDays])
		lines = append(lines, sh.lines...)
	}
	return lines, nil
}

func (j noiseJob) run(seed uint64, share float64) noiseRun {
	w := NewWorld(j.profile, seed, Makers[j.policy])
	for _, phase := range noisePhases {
		w.SetRate(phase.load.Rate(j.profile))
		w.Run(time.Duration(share * float64(phase.time)))
	}
	return noiseRun{len(w.falseEjections), w.falseAvoidances, w.stats, time.Duration(w.clock.Now())}
}

func noiseLines(s *sheet, runs []noiseRun) {
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
	s.atMost("falseEjections", float64(ejections), unitCount, 0)
	s.add("falseEjections.perMillion", 1e6*float64(ejections)/float64(max(sum.requests, 1)), unitPerM)
	s.add("falseEjections.perDay", float64(ejections)/(simulated.Hours()/24), unitPerDay)
	s.add("falseAvoidances.perDay", float64(avoidances)/(simulated.Hours()/24), unitPerDay)
	s.add("simulated", simulated.Hours(), unitHours)
	s.add("requests", float64(sum.requests), unitRequests)
	s.add("failed", percent(sum.failed, sum.requests), unitPercent)
	s.add("late", percent(sum.late, sum.requests), unitPercent)
	s.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	s.add("refused", percent(sum.refused, sum.requests), unitPercent)
	s.atMost("floorViolations", float64(floor), unitCount, 0)
	s.atMost("slotViolations", float64(slots), unitCount, 0)
}
