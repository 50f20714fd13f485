package measure

import (
	"time"
)

// The caller sends a poison request again every poisonInterval for poisonDuration.
const (
	poisonInterval = time.Second
	poisonDuration = 60 * time.Second
	poisonRuns     = 5
)

func runPoison(o Options) ([]Result, error) {
	return runAll(o, subjects(Profiles, []Load{Peak, Day}, policies()), func(j subject) []Result { return measurePoison(o.Seed, j) }), nil
}

func measurePoison(seed uint64, j subject) []Result {
	var sum Stats
	maxCrashes, ejections, falseEjections := 0, 0, 0
	for i := range poisonRuns {
		sim := NewSimulation(j.profile, deriveSeed(seed, "poison", j.profile.Pool, j.load, i), BalancerFactories[j.policy])
		sim.warmUp(j.load, phasesByLoad[j.load])
		sim.resetStats()
		for at := time.Duration(0); at < poisonDuration; at += poisonInterval {
			sim.clock.After(at, sim.submitPoison)
		}
		sim.Run(poisonDuration + settleTime)
		maxCrashes = max(maxCrashes, sim.crashes())
		ejections += sim.stats.ejections
		falseEjections += len(sim.falseEjections)
		sum.add(sim.stats)
		sum.nonPoisonRefused += sim.stats.nonPoisonRefused
	}
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, "poison", j.policy)}
	rec.atMost("crashes.most", float64(maxCrashes), unitCount, goalPoisonCrashes)
	rec.atMost("ejections", float64(ejections), unitCount, 0)
	rec.atMost("innocentRefused", float64(sum.nonPoisonRefused), unitCount, 0)
	rec.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	rec.add("failed", percent(sum.failed, sum.requests), unitPercent)
	rec.add("refused", percent(sum.refused, sum.requests), unitPercent)
	return rec.results
}

func (s *Simulation) crashes() int {
	n := 0
	for _, t := range s.targets {
		n += t.crashes
	}
	return n
}

// runDrain measures how long new work still goes to a target after the target has announced that it is
// leaving, or after the table says so.
func runDrain(o Options) ([]Result, error) {
	return runAll(o, subjects(Profiles, Loads, cellPolicies()), func(j subject) []Result { return measureDrain(o.Seed, j) }), nil
}

func measureDrain(seed uint64, j subject) []Result {
	bySignal := j.drain(seed, func(sim *Simulation) { sim.targets[1].startFault(Faults["drain"]) })
	byTable := j.drain(seed, func(sim *Simulation) {
		sim.tableTargets[1].Leaving = true
		observer := sim.observers[0]
		observer.recordDrain(1)
		observer.handle(func() { observer.balancer.Update(sim.clock.Now(), sim.tableTargets, j.profile.Floor) })
	})
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, "drain", j.policy)}
	rec.atMost("signal.work", float64(bySignal.attemptsAfterDrain), unitRequests, 0)
	rec.atMost("signal.seconds", bySignal.lastAttemptAfterDrain.Seconds(), unitSeconds, goalDrain)
	rec.atMost("table.work", float64(byTable.attemptsAfterDrain), unitRequests, 0)
	rec.atMost("table.seconds", byTable.lastAttemptAfterDrain.Seconds(), unitSeconds, goalDrain)
	return rec.results
}

func (j subject) drain(seed uint64, leave func(sim *Simulation)) Stats {
	sim := NewSimulation(j.profile, deriveSeed(seed, "drain", j.profile.Pool, j.load), BalancerFactories[j.policy])
	sim.warmUp(j.load, phasesByLoad[j.load])
	sim.resetStats()
	leave(sim)
	sim.Run(time.Minute)
	return sim.stats
}
