package measure

import (
	"math"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Published defaults of Envoy's outlier detection.
const (
	consecutiveFailures = 5
	sweepInterval       = 10 * time.Second
	ejectionTime        = 30 * time.Second
	ejectionShare       = 0.10
	sweepLeastTargets   = 5
	sweepLeastRequests  = 100
	sweepDeviations     = 1.9
)

// Baseline is a proxy without queue, retries or slots: each request runs at once on the picked
// target, and the optional judge ejects targets for a time.
type Baseline struct {
	Pick func(b *Baseline) *baselineTarget
	// Judge is nil when targets are never ejected.
	Judge judge

	targets   []*baselineTarget
	turn      int
	running   map[pool.RequestID]*baselineTarget
	decisions []pool.Decision
	events    []pool.Event
}

type baselineTarget struct {
	id       table.TargetID
	leaving  bool
	inFlight int
	// consecutive counts failures since the last success; good and bad count since the sweep.
	consecutive, good, bad int
	ejectedUntil           pool.Time
	ejections              int
}

// judge decides about ejection.
type judge interface {
	finished(b *Baseline, now pool.Time, t *baselineTarget, failed bool)
	tick(b *Baseline, now pool.Time)
}

// Update implements Chooser. Baselines have no floor but their own limit on ejections.
func (b *Baseline) Update(_ pool.Time, targets []table.Target, _ int) {
	if b.running == nil {
		b.running = make(map[pool.RequestID]*baselineTarget)
	}
	known := make(map[table.TargetID]*baselineTarget, len(b.targets))
	for _, t := range b.targets {
		known[t.id] = t
	}
	b.targets = b.targets[:0]
	for _, row := range targets {
		t := known[row.ID]
		if t == nil {
			t = &baselineTarget{id: row.ID}
		}
		t.leaving = row.Leaving
		b.targets = append(b.targets, t)
	}
}

// SetOwnership implements Chooser; baselines know no standing.
func (b *Baseline) SetOwnership(pool.Time, fleet.Ownership, bool) {}

// Submit implements Chooser.
func (b *Baseline) Submit(_ pool.Time, r pool.Request) {
	t := b.Pick(b)
	if t == nil {
		b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionRefuse, Request: r.ID})
		return
	}
	t.inFlight++
	b.running[r.ID] = t
	b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionRun, Request: r.ID, Target: t.id, Attempt: 1})
}

// Finish implements Chooser.
func (b *Baseline) Finish(now pool.Time, id pool.RequestID, o pool.Outcome) {
	t := b.running[id]
	if t == nil {
		return
	}
	delete(b.running, id)
	t.inFlight--
	b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionFinal, Request: id, Target: t.id, Attempt: 1})
	if b.Judge != nil {
		b.Judge.finished(b, now, t, o.Kind != pool.OutcomeSuccess && o.Kind != pool.OutcomeCancelled)
	}
}

// Cancel implements Chooser.
func (b *Baseline) Cancel(_ pool.Time, id pool.RequestID) {
	if t := b.running[id]; t != nil {
		t.inFlight--
		delete(b.running, id)
	}
}

// Signal implements Chooser; the baselines use no signals except a drain.
func (b *Baseline) Signal(_ pool.Time, target table.TargetID, s pool.Signal) {
	for _, t := range b.targets {
		if t.id == target && s.Kind == pool.SignalDraining {
			t.leaving = true
		}
	}
}

// Tick implements Chooser.
func (b *Baseline) Tick(now pool.Time) {
	if b.Judge == nil {
		return
	}
	for _, t := range b.targets {
		if t.ejectedUntil > 0 && now >= t.ejectedUntil {
			t.ejectedUntil = 0
			t.consecutive, t.good, t.bad = 0, 0, 0
			b.events = append(b.events, pool.Event{At: now, Kind: pool.EventReturned, Target: t.id})
		}
	}
	b.Judge.tick(b, now)
}

// Decisions implements Chooser.
func (b *Baseline) Decisions() []pool.Decision {
	d := b.decisions
	b.decisions = nil
	return d
}

// Events implements Chooser.
func (b *Baseline) Events() []pool.Event {
	e := b.events
	b.events = nil
	return e
}

// eject takes the target out for a time that grows with the number of its ejections, unless 10% of
// the targets, or one, are out already.
func (b *Baseline) eject(now pool.Time, t *baselineTarget) {
	out := 0
	for _, o := range b.targets {
		if o.ejectedUntil > 0 {
			out++
		}
	}
	most := max(1, int(ejectionShare*float64(len(b.targets))))
	if t.ejectedUntil > 0 || out >= most {
		return
	}
	t.ejections++
	t.ejectedUntil = now + pool.Time(ejectionTime)*pool.Time(t.ejections)
	b.events = append(b.events, pool.Event{At: now, Kind: pool.EventEjected, Target: t.id})
}

func (t *baselineTarget) usable() bool { return t.ejectedUntil == 0 && !t.leaving }

func pickInTurn(b *Baseline) *baselineTarget {
	for range b.targets {
		t := b.targets[b.turn%len(b.targets)]
		b.turn++
		if t.usable() {
			return t
		}
	}
	return nil
}

func pickLeastInFlight(b *Baseline) *baselineTarget {
	var best *baselineTarget
	b.turn++
	for i := range b.targets {
		// Starting at a different target each time breaks ties evenly.
		t := b.targets[(b.turn+i)%len(b.targets)]
		if t.usable() && (best == nil || t.inFlight < best.inFlight) {
			best = t
		}
	}
	return best
}

// consecutive ejects after consecutiveFailures in a row.
type consecutive struct{}

func (consecutive) finished(b *Baseline, now pool.Time, t *baselineTarget, failed bool) {
	if !failed {
		t.consecutive = 0
		return
	}
	t.consecutive++
	if t.consecutive >= consecutiveFailures {
		b.eject(now, t)
	}
}

func (consecutive) tick(*Baseline, pool.Time) {}

// sweep ejects, every sweepInterval, targets whose success ratio is sweepDeviations standard
// deviations below the mean of the pool's targets.
type sweep struct{ next pool.Time }

func (*sweep) finished(_ *Baseline, _ pool.Time, t *baselineTarget, failed bool) {
	if failed {
		t.bad++
	} else {
		t.good++
	}
}

func (s *sweep) tick(b *Baseline, now pool.Time) {
	if now < s.next {
		return
	}
	s.next = now + pool.Time(sweepInterval)
	var ratios []float64
	for _, t := range b.targets {
		if t.good+t.bad >= sweepLeastRequests {
			ratios = append(ratios, t.successRatio())
		}
	}
	least := -1.0
	if len(ratios) >= sweepLeastTargets {
		mean, deviation := meanAndDeviation(ratios)
		least = mean - sweepDeviations*deviation
	}
	for _, t := range b.targets {
		if t.good+t.bad >= sweepLeastRequests && t.successRatio() < least {
			b.eject(now, t)
		}
		t.good, t.bad = 0, 0
	}
}

func (t *baselineTarget) successRatio() float64 { return float64(t.good) / float64(t.good+t.bad) }

func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}
