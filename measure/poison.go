package measure

import (
	"time"
)

// A poison request is sent again by its caller every poisonResend for poisonLength.
const (
	poisonResend = time.Second
	poisonLength = 60 * time.Second
	poisonRuns   = 5
)

func runPoison(o Options) ([]Line, error) {
	return each(o, subjects(Profiles, []Load{Peak, Day}, policies()), func(j subject) []Line { return measurePoison(o.Seed, j) }), nil
}

func measurePoison(seed uint64, j subject) []Line {
	var sum Stats
	worst, ejections, falseEjections := 0, 0, 0
	for i := range poisonRuns {
		w := NewWorld(j.profile, seedOf(seed, "poison", j.profile.Pool, j.load, i), Makers[j.policy])
		w.warmUp(j.load, timesOf[j.load])
		w.startMeasuring()
		for at := time.Duration(0); at < poisonLength; at += poisonResend {
			w.clock.After(at, w.submitPoison)
		}
		w.Run(poisonLength + settleTime)
		worst = max(worst, w.crashes())
		ejections += w.stats.ejections
		falseEjections += len(w.falseEjections)
		sum.add(w.stats)
		sum.innocentRefused += w.stats.innocentRefused
	}
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, "poison", j.policy)}
	s.atMost("crashes.most", float64(worst), unitCount, goalPoisonCrashes)
	s.atMost("ejections", float64(ejections), unitCount, 0)
	s.atMost("innocentRefused", float64(sum.innocentRefused), unitCount, 0)
	s.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
	s.add("failed", percent(sum.failed, sum.requests), unitPercent)
	s.add("refused", percent(sum.refused, sum.requests), unitPercent)
	return s.lines
}

func (w *World) crashes() int {
	n := 0
	for _, t := range w.targets {
		n += t.crashes
	}
	return n
}

// runDrain measures how long new work goes on after a target said that it leaves, by its signal
// or in the table.
func runDrain(o Options) ([]Line, error) {
	return each(o, subjects(Profiles, Loads, own()), func(j subject) []Line { return measureDrain(o.Seed, j) }), nil
}

func measureDrain(seed uint64, j subject) []Line {
	bySignal := j.drain(seed, func(w *World) { w.targets[1].switchOn(Faults["drain"]) })
	byTable := j.drain(seed, func(w *World) {
		w.rows[1].Leaving = true
		observer := w.observers[0]
		observer.sawDrain(1)
		observer.do(func() { observer.chooser.Update(w.clock.Now(), w.rows, j.profile.Floor) })
	})
	s := &sheet{seed: seed, labels: labelsOf(j.profile, j.load, "drain", j.policy)}
	s.atMost("signal.work", float64(bySignal.workAfterDrain), unitRequests, 0)
	s.atMost("signal.seconds", bySignal.lastWorkAfterDrain.Seconds(), unitSeconds, goalDrain)
	s.atMost("table.work", float64(byTable.workAfterDrain), unitRequests, 0)
	s.atMost("table.seconds", byTable.lastWorkAfterDrain.Seconds(), unitSeconds, goalDrain)
	return s.lines
}

func (j subject) drain(seed uint64, leave func(w *World)) Stats {
	w := NewWorld(j.profile, seedOf(seed, "drain", j.profile.Pool, j.load), Makers[j.policy])
	w.warmUp(j.load, timesOf[j.load])
	w.startMeasuring()
	leave(w)
	w.Run(time.Minute)
	return w.stats
}
