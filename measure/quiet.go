package measure

import (
	"time"
)

// disturbance is an event during which no healthy target may be ejected.
type disturbance struct {
	name string
	// start begins the disturbance, and end ends it after duration.
	start func(sim *Simulation)
	end   func(sim *Simulation)
	// duration is followed by settleTime of ordinary work.
	duration time.Duration
}

const settleTime = 30 * time.Second

var disturbances = []disturbance{
	{"pause1s", pauseFor(time.Second), noop, 10 * time.Second},
	{"pause3s", pauseFor(3 * time.Second), noop, 10 * time.Second},
	{"pause20s", pauseFor(20 * time.Second), noop, 30 * time.Second},
	{"pauseTwice", pauseTwice, noop, 20 * time.Second},
	{"peakTwiceCapacity", func(sim *Simulation) { sim.SetRate(sim.profile.Rate(2)) }, noop, 30 * time.Second},
	{"silentConnectionsOne", startFaultOn("silentConnections", 1), endFaultOnAll("silentConnections"), 10 * time.Second},
	{"silentConnectionsAll", startFaultOn("silentConnections", 100), endFaultOnAll("silentConnections"), 10 * time.Second},
	{"probesLieSickAll", startFaultOn("probeLiesSick", 100), endFaultOnAll("probeLiesSick"), 30 * time.Second},
	{"partitionThird", partitionThird, endFaultOnAll("partition"), 20 * time.Second},
	{"drainOne", startFaultOn("drain", 1), endFaultOnAll("drain"), 30 * time.Second},
	{"pauseAtPeak", pauseAtPeak, noop, 30 * time.Second},
	{"shedsAtHalfSlots", shedAtHalfSlots, restoreSlots, 30 * time.Second},
}

func noop(*Simulation) {}

func pauseFor(d time.Duration) func(*Simulation) {
	return func(sim *Simulation) { sim.observers[0].pause(d) }
}

func pauseTwice(sim *Simulation) {
	sim.observers[0].pause(3 * time.Second)
	sim.clock.After(4*time.Second, func() { sim.observers[0].pause(3 * time.Second) })
}

func pauseAtPeak(sim *Simulation) {
	sim.SetRate(sim.profile.Rate(2))
	sim.observers[0].pause(3 * time.Second)
}

// shedAtHalfSlots halves the slots of all targets, which shed further requests, as if other work used
// the targets too.
func shedAtHalfSlots(sim *Simulation) {
	for _, t := range sim.targets {
		t.slots, t.queueLimit = (t.slots+1)/2, 0
	}
}

func restoreSlots(sim *Simulation) {
	for _, t := range sim.targets {
		t.slots = sim.profile.Slots
	}
}

// startFaultOn switches a fault on at the first n targets.
func startFaultOn(name FaultName, n int) func(*Simulation) {
	return func(sim *Simulation) {
		for _, t := range sim.targets[:min(n, len(sim.targets))] {
			t.startFault(Faults[name])
		}
	}
}

func endFaultOnAll(name FaultName) func(*Simulation) {
	return func(sim *Simulation) {
		for _, t := range sim.targets {
			t.endFault(name)
		}
	}
}

// partitionThird drops the responses of every third target, as in the loss of a failure domain.
func partitionThird(sim *Simulation) {
	for i := 0; i < len(sim.targets); i += 3 {
		sim.targets[i].startFault(Faults["partition"])
	}
}

const quietRuns = 5

type quietJob struct {
	subject
	disturbance disturbance
}

func runQuiet(o Options) ([]Result, error) {
	var jobs []quietJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, cellPolicies()) {
		for _, d := range disturbances {
			jobs = append(jobs, quietJob{s, d})
		}
	}
	return runAll(o, jobs, func(j quietJob) []Result { return j.measure(o.Seed) }), nil
}

func (j quietJob) measure(seed uint64) []Result {
	var sum Stats
	ejections, floor, slots := 0, 0, 0
	for i := range quietRuns {
		sim := NewSimulation(j.profile, deriveSeed(seed, "quiet", j.profile.Pool, j.load, j.disturbance.name, i), BalancerFactories[j.policy])
		sim.warmUp(j.load, phasesByLoad[j.load])
		sim.resetStats()
		j.disturbance.start(sim)
		sim.Run(j.disturbance.duration)
		j.disturbance.end(sim)
		sim.SetRate(j.load.Rate(j.profile))
		sim.Run(settleTime)
		sum.add(sim.stats)
		ejections += len(sim.falseEjections)
		floor += sim.stats.floorViolations
		slots += sim.stats.slotViolations
	}
	rec := &resultRecorder{seed: seed, labels: labelsOf(j.profile, j.load, j.disturbance.name, j.policy)}
	rec.atMost("falseEjections", float64(ejections), unitCount, 0)
	rec.atMost("floorViolations", float64(floor), unitCount, 0)
	rec.atMost("slotViolations", float64(slots), unitCount, 0)
	rec.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	rec.add("failed", percent(sum.failed, sum.requests), unitPercent)
	rec.add("refused", percent(sum.refused, sum.requests), unitPercent)
	return rec.results
}
