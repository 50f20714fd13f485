package measure

import (
	"math"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Defaults of Envoy's outlier detection.
const (
	minConsecutiveFailures = 5
	sweepInterval          = 10 * time.Second
	baseEjectionTime       = 30 * time.Second
	maxEjectedFraction     = 0.10
	successRateMinTargets  = 5
	successRateMinRequests = 100
	successRateStdevFactor = 1.9
)

// Baseline is a proxy without queue, retries or slots: each request runs at once on the picked target,
// and the optional detector ejects targets for a limited time.
type Baseline struct {
	Pick func(b *Baseline) *baselineTarget
	// Detector is nil if targets are never ejected.
	Detector outlierDetector

	targets   []*baselineTarget
	cursor    int
	running   map[pool.RequestID]*baselineTarget
	decisions []pool.Decision
	events    []pool.Event
}

type baselineTarget struct {
	id       table.TargetID
	leaving  bool
	inFlight int
	// failuresInRow counts failures since the last success; successes and failures count since the last
	// sweep.
	failuresInRow, successes, failures int
	ejectedUntil                       pool.Time
	ejections                          int
}

// outlierDetector decides which targets are ejected.
type outlierDetector interface {
	recordResult(b *Baseline, now pool.Time, t *baselineTarget, failed bool)
	tick(b *Baseline, now pool.Time)
}

// Update implements Balancer. Baselines ignore the floor and have their own limit on ejections.
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

// SetOwnership implements Balancer; baselines ignore the ownership.
func (b *Baseline) SetOwnership(pool.Time, fleet.Ownership, bool) {}

// Submit implements Balancer.
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

// Finish implements Balancer.
func (b *Baseline) Finish(now pool.Time, id pool.RequestID, o pool.Outcome) {
	t := b.running[id]
	if t == nil {
		return
	}
	delete(b.running, id)
	t.inFlight--
	b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionFinal, Request: id, Target: t.id, Attempt: 1})
	if b.Detector != nil {
		b.Detector.recordResult(b, now, t, o.Kind != pool.OutcomeSuccess && o.Kind != pool.OutcomeCanceled)
	}
}

// Cancel implements Balancer.
func (b *Baseline) Cancel(_ pool.Time, id pool.RequestID) {
	if t := b.running[id]; t != nil {
		t.inFlight--
		delete(b.running, id)
	}
}

// Signal implements Balancer; baselines ignore all signals except a drain.
func (b *Baseline) Signal(_ pool.Time, target table.TargetID, s pool.Signal) {
	for _, t := range b.targets {
		if t.id == target && s.Kind == pool.SignalDraining {
			t.leaving = true
		}
	}
}

// Tick implements Balancer.
func (b *Baseline) Tick(now pool.Time) {
	if b.Detector == nil {
		return
	}
	for _, t := range b.targets {
		if t.ejectedUntil > 0 && now >= t.ejectedUntil {
			t.ejectedUntil = 0
			t.failuresInRow, t.successes, t.failures = 0, 0, 0
			b.events = append(b.events, pool.Event{At: now, Kind: pool.EventReturned, Target: t.id})
		}
	}
	b.Detector.tick(b, now)
}

// Decisions implements Balancer.
func (b *Baseline) Decisions() []pool.Decision {
	d := b.decisions
	b.decisions = nil
	return d
}

// Events implements Balancer.
func (b *Baseline) Events() []pool.Event {
	e := b.events
	b.events = nil
	return e
}

// eject ejects the target for a time that grows with the number of its ejections, unless 10% of the
// targets, but at least one, are already ejected.
func (b *Baseline) eject(now pool.Time, t *baselineTarget) {
	ejected := 0
	for _, o := range b.targets {
		if o.ejectedUntil > 0 {
			ejected++
		}
	}
	maxEjected := max(1, int(maxEjectedFraction*float64(len(b.targets))))
	if t.ejectedUntil > 0 || ejected >= maxEjected {
		return
	}
	t.ejections++
	t.ejectedUntil = now + pool.Time(baseEjectionTime)*pool.Time(t.ejections)
	b.events = append(b.events, pool.Event{At: now, Kind: pool.EventEjected, Target: t.id})
}

func (t *baselineTarget) usable() bool { return t.ejectedUntil == 0 && !t.leaving }

func pickRoundRobin(b *Baseline) *baselineTarget {
	for range b.targets {
		t := b.targets[b.cursor%len(b.targets)]
		b.cursor++
		if t.usable() {
			return t
		}
	}
	return nil
}

func pickLeastInFlight(b *Baseline) *baselineTarget {
	var best *baselineTarget
	b.cursor++
	for i := range b.targets {
		// Starting at a different target each time breaks ties evenly.
		t := b.targets[(b.cursor+i)%len(b.targets)]
		if t.usable() && (best == nil || t.inFlight < best.inFlight) {
			best = t
		}
	}
	return best
}

// consecutiveFailureDetector ejects a target after minConsecutiveFailures consecutive failures.
type consecutiveFailureDetector struct{}

func (consecutiveFailureDetector) recordResult(b *Baseline, now pool.Time, t *baselineTarget, failed bool) {
	if !failed {
		t.failuresInRow = 0
		return
	}
	t.failuresInRow++
	if t.failuresInRow >= minConsecutiveFailures {
		b.eject(now, t)
	}
}

func (consecutiveFailureDetector) tick(*Baseline, pool.Time) {}

// successRateDetector ejects, every sweepInterval, targets whose success ratio is more than
// successRateStdevFactor standard deviations below the mean of the pool.
type successRateDetector struct{ next pool.Time }

func (*successRateDetector) recordResult(_ *Baseline, _ pool.Time, t *baselineTarget, failed bool) {
	if failed {
		t.failures++
	} else {
		t.successes++
	}
}

func (s *successRateDetector) tick(b *Baseline, now pool.Time) {
	if now < s.next {
		return
	}
	s.next = now + pool.Time(sweepInterval)
	var ratios []float64
	for _, t := range b.targets {
		if t.successes+t.failures >= successRateMinRequests {
			ratios = append(ratios, t.successRatio())
		}
	}
	minRatio := -1.0
	if len(ratios) >= successRateMinTargets {
		mean, deviation := meanAndDeviation(ratios)
		minRatio = mean - successRateStdevFactor*deviation
	}
	for _, t := range b.targets {
		if t.successes+t.failures >= successRateMinRequests && t.successRatio() < minRatio {
			b.eject(now, t)
		}
		t.successes, t.failures = 0, 0
	}
}

func (t *baselineTarget) successRatio() float64 {
	return float64(t.successes) / float64(t.successes+t.failures)
}

func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}
