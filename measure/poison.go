package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// A poison request is sent again by its caller every poisonResend for poisonLength.
const (
	poisonResend = time.Second
	poisonLength = 60 * time.Second
	poisonRuns   = 5
)

func runPoison(o Options) ([]Line, error) {
	return each(o, subjects(Profiles, []Load{Peak, Day}, policies()), func(j subject) []Line {
		var sum Stats
		worst, ejections, falseEjections := 0, 0, 0
		for i := range poisonRuns {
			w := NewWorld(j.profile, seedOf(o.Seed, "poison", j.profile.Pool, j.load, i), Makers[j.policy])
			w.warmUp(j.load, timesOf[j.load])
			w.stats = Stats{}
			w.falseEjections = nil
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
		s := &sheet{seed: o.Seed, labels: labelsOf(j.profile, j.load, "poison", j.policy)}
		s.atMost("crashes.most", float64(worst), unitCount, goalPoisonCrashes)
		s.atMost("ejections", float64(ejections), unitCount, 0)
		s.atMost("innocentRefused", float64(sum.innocentRefused), unitCount, 0)
		s.atMost("retries", percent(sum.retries, sum.requests), unitPercent, goalRetries)
		s.add("failed", percent(sum.failed, sum.requests), unitPercent)
		s.add("refused", percent(sum.refused, sum.requests), unitPercent)
		return s.lines
	}), nil
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
	return each(o, subjects(Profiles, Loads, own()), func(j subject) []Line {
		bySignal := j.drain(o.Seed, func(w *World) { w.targets[1].switchOn(Faults["drain"]) })
		byTable := j.drain(o.Seed, func(w *World) {
			w.rows[1].Leaving = true
			observer := w.observers[0]
			observer.sawDrain(1)
			observer.do(func() { observer.chooser.Update(w.clock.Now(), w.rows, j.profile.Floor) })
		})
		s := &sheet{seed: o.Seed, labels: labelsOf(j.profile, j.load, "drain", j.policy)}
		s.atMost("signal.work", float64(bySignal.workAfterDrain), unitRequests, 0)
		s.atMost("signal.seconds", bySignal.lastWorkAfterDrain.Seconds(), unitSeconds, goalDrain)
		s.atMost("table.work", float64(byTable.workAfterDrain), unitRequests, 0)
		s.atMost("table.seconds", byTable.lastWorkAfterDrain.Seconds(), unitSeconds, goalDrain)
		return s.lines
	}), nil
}

func (j subject) drain(seed uint64, leave func(w *World)) Stats {
	w := NewWorld(j.profile, seedOf(seed, "drain", j.profile.Pool, j.load), Makers[j.policy])
	w.warmUp(j.load, timesOf[j.load])
	w.stats = Stats{}
	leave(w)
	w.Run(time.Minute)
	return w.stats
}

// Steps of the experiment with several observers; the times are those of section 8 of the design.
const (
	viewsHandover = 7 * time.Second
	viewsContest  = 2500 * time.Millisecond
	viewsStep     = 20 * time.Second
	viewObservers = 3
)

// runViews lets three observers serve the same cell, while half of the targets fail, and moves
// the ownership between them as a partition of the entries does.
func runViews(o Options) ([]Line, error) {
	return each(o, subjects(Profiles, []Load{Peak, Day}, own()), func(j subject) []Line {
		m := Makers[j.policy]
		w := NewWorld(j.profile, seedOf(o.Seed, "views", j.profile.Pool, j.load), m, m, m)
		for i := 1; i < viewObservers; i++ {
			w.SetStanding(i, fleet.Contested)
		}
		w.SetRate(j.load.Rate(j.profile))
		w.Run(viewsStep)
		for i := 0; i < len(w.targets); i += 2 {
			w.targets[i].switchOn(Faults["failsFast"])
		}
		w.Run(viewsStep)
		before := w.stats
		for next := 1; next < viewObservers; next++ {
			w.handOver(next-1, next, func() { w.swapFaults("failsFast") })
		}
		w.Run(viewsStep)
		s := &sheet{seed: o.Seed, labels: labelsOf(j.profile, j.load, "views", j.policy)}
		s.atMost("floorViolations", float64(w.stats.floorViolations), unitCount, 0)
		s.add("ejections", float64(w.stats.ejections-before.ejections), unitCount)
		s.atMost("slotViolations", float64(w.stats.slotViolations), unitCount, 0)
		return s.lines
	}), nil
}

// handOver moves the ownership as slowly as the rules allow for the former owner and as fast for
// the next: the former is contested viewsContest after the cut, the next sole after viewsHandover.
func (w *World) handOver(from, to int, then func()) {
	w.Run(viewsContest)
	w.SetStanding(from, fleet.Contested)
	then()
	w.Run(viewsHandover - viewsContest)
	w.SetStanding(to, fleet.Sole)
	w.Run(viewsStep)
}

// swapFaults makes the bad targets good and the good ones bad.
func (w *World) swapFaults(name FaultName) {
	for _, t := range w.targets {
		if t.has(func(f Fault) bool { return f.Name == name }) {
			t.switchOff(name)
		} else {
			t.switchOn(Faults[name])
		}
	}
}
