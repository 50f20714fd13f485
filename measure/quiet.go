package measure

import (
	"time"
)

// trouble is something that must eject no target whose own work is sound.
type trouble struct {
	name string
	// act starts the trouble; it lasts for length, and undo ends it.
	act  func(w *World)
	undo func(w *World)
	// length is followed by settleTime of ordinary work.
	length time.Duration
}

const settleTime = 30 * time.Second

var troubles = []trouble{
	{"pause1s", pauseFor(time.Second), nothing, 10 * time.Second},
	{"pause3s", pauseFor(3 * time.Second), nothing, 10 * time.Second},
	{"pause20s", pauseFor(20 * time.Second), nothing, 30 * time.Second},
	{"pauseTwice", pauseTwice, nothing, 20 * time.Second},
	{"peakTwiceCapacity", func(w *World) { w.SetRate(w.profile.Rate(2)) }, nothing, 30 * time.Second},
	{"silentConnectionsOne", onTargets("silentConnections", 1), offTargets("silentConnections"), 10 * time.Second},
	{"silentConnectionsAll", onTargets("silentConnections", 100), offTargets("silentConnections"), 10 * time.Second},
	{"probesLieSickAll", onTargets("probeLiesSick", 100), offTargets("probeLiesSick"), 30 * time.Second},
	{"partitionThird", partitionThird, offTargets("partition"), 20 * time.Second},
	{"drainOne", onTargets("drain", 1), offTargets("drain"), 30 * time.Second},
	{"pauseAtPeak", pauseAtPeak, nothing, 30 * time.Second},
	{"shedsAtHalfSlots", shedAtHalfSlots, restoreSlots, 30 * time.Second},
}

func nothing(*World) {}

func pauseFor(d time.Duration) func(*World) {
	return func(w *World) { w.observers[0].pause(d) }
}

func pauseTwice(w *World) {
	w.observers[0].pause(3 * time.Second)
	w.clock.After(4*time.Second, func() { w.observers[0].pause(3 * time.Second) })
}

func pauseAtPeak(w *World) {
	w.SetRate(w.profile.Rate(2))
	w.observers[0].pause(3 * time.Second)
}

// shedAtHalfSlots makes all targets take half of their slots and shed the rest, as when other work
// uses them.
func shedAtHalfSlots(w *World) {
	for _, t := range w.targets {
		t.slots, t.queueLimit = (t.slots+1)/2, 0
	}
}

func restoreSlots(w *World) {
	for _, t := range w.targets {
		t.slots = w.profile.Slots
	}
}

// onTargets switches a fault on at the first n targets.
func onTargets(name FaultName, n int) func(*World) {
	return func(w *World) {
		for _, t := range w.targets[:min(n, len(w.targets))] {
			t.switchOn(Faults[name])
		}
	}
}

func offTargets(name FaultName) func(*World) {
	return func(w *World) {
		for _, t := range w.targets {
			t.switchOff(name)
		}
	}
}

// partitionThird drops the answers of every third target, as in the loss of a failure domain.
func partitionThird(w *World) {
	for i := 0; i < len(w.targets); i += 3 {
		w.targets[i].switchOn(Faults["partition"])
	}
}

const quietRuns = 5

type quietJob struct {
	subject
	trouble trouble
}

func runQuiet(o Options) ([]Line, error) {
	var jobs []quietJob
	for _, s := range subjects(Profiles, []Load{Peak, Day}, own()) {
		for _, t := range troubles {
			jobs = append(jobs, quietJob{s, t})
		}
	}
	return each(o, jobs, func(j quietJob) []Line { return j.measure(o.Seed) }), nil
}

func (j quietJob) measure(seed uint64) []Line {
	var sum Stats
	ejections, floor, slots := 0, 0, 0
	for i := range quietRuns {
		w := NewWorld(j.profile, seedOf(seed, "quiet", j.profile.Pool, j.load, j.trouble.name, i), Makers[j.policy])
		w.warmUp(j.load, timesOf[j.load])
		w.startMeasuring()
		j.trouble.act(w)
		w.Run(j.trouble.length)
		j.trouble.undo(w)
		w.SetRate(j.load.Rate(j.profile))
		w.Run(settleTime)
		sum.add(w.stats)
		ejections += len(w.falseEjections)
		floor += w.stats.floorViolations
		slots += w.stats.slotViolations
	}
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, j.trouble.name, j.policy)}
	s.atMost("falseEjections", float64(ejections), unitCount, 0)
	s.atMost("floorViolations", float64(floor), unitCount, 0)
	s.atMost("slotViolations", float64(slots), unitCount, 0)
	s.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	s.add("failed", percent(sum.failed, sum.requests), unitPercent)
	s.add("refused", percent(sum.refused, sum.requests), unitPercent)
	return s.lines
}
