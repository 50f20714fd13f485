package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
)

// Durations of an entry, from section 9 of the design page.
const (
	tickInterval    = 50 * time.Millisecond
	probeInterval   = time.Second
	probeDuration   = 25 * time.Millisecond
	connectDuration = time.Millisecond
	// silenceTimeoutMedians is how long the entry waits for a byte on a reused connection before it sends
	// an idempotent request again on a new one, in median service times. It is 3 times the 99th
	// percentile, which is about 3.2 medians.
	silenceTimeoutMedians = 10
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 5 * time.Second
	// nonIdempotentReuseWindow is how long after its last byte a connection is reused for non-idempotent
	// requests.
	nonIdempotentReuseWindow = 500 * time.Millisecond
	// shedRetryAfter is the Retry-After delay of a target that sheds.
	shedRetryAfter = 100 * time.Millisecond
	// cancelDelay is how long after its deadline a queued request is canceled if the balancer has not
	// refused it by then.
	cancelDelay = 2 * tickInterval
)

// Placement tells whether a target gets ordinary work.
type Placement uint8

// Placements of a target.
const (
	Serving Placement = iota
	Avoided
	Ejected
)

// Observer simulates one entry that may own the cell: it has its own balancer and carries out the
// balancer's decisions.
type Observer struct {
	sim       *Simulation
	balancer  Balancer
	ownership fleet.Ownership
	requests  map[pool.RequestID]*request
	placement []Placement
	inFlight  []int
	// drainSeenAt is when the observer learned that a target is leaving; negative if it has not.
	drainSeenAt []pool.Time
	paused      bool
	backlog     []func()
}

// request is a caller's request.
type request struct {
	pool.Request
	submitted pool.Time
	ended     bool
	poison    bool
	// attempt is the running attempt, or nil.
	attempt     *attempt
	lastOutcome pool.Outcome
}

func newObserver(s *Simulation, b Balancer) *Observer {
	targets := s.profile.Targets
	o := &Observer{
		sim:         s,
		balancer:    b,
		ownership:   fleet.ExclusiveOwner,
		requests:    make(map[pool.RequestID]*request),
		placement:   make([]Placement, targets),
		inFlight:    make([]int, targets),
		drainSeenAt: make([]pool.Time, targets),
	}
	for i := range o.drainSeenAt {
		o.drainSeenAt[i] = -1
	}
	b.Update(0, s.tableTargets, s.profile.Floor)
	b.SetOwnership(0, fleet.ExclusiveOwner, false)
	return o
}

// start schedules the ticks and the probes.
func (o *Observer) start() {
	o.sim.clock.After(tickInterval, o.tick)
	for i := range o.sim.targets {
		// The probes of the targets are spread over the interval.
		offset := probeInterval * time.Duration(i) / time.Duration(len(o.sim.targets))
		o.sim.clock.After(offset, func() { o.probe(i) })
	}
}

// handle runs fn in the entry's process, or queues it while the process is paused.
func (o *Observer) handle(fn func()) {
	if o.paused {
		o.backlog = append(o.backlog, fn)
		return
	}
	fn()
	o.applyDecisions()
}

// pause pauses the process for d. When it resumes, everything that arrived meanwhile is handled at
// once, before the next tick.
func (o *Observer) pause(d time.Duration) {
	o.paused = true
	o.sim.clock.After(d, func() {
		o.paused = false
		backlog := o.backlog
		o.backlog = nil
		for _, fn := range backlog {
			o.handle(fn)
		}
		o.handle(o.tickOnce)
	})
}

// tickOnce never reports that the process was recently paused: the balancer must notice delayed ticks
// itself.
func (o *Observer) tickOnce() {
	now := o.sim.clock.Now()
	o.balancer.SetOwnership(now, o.ownership, false)
	o.balancer.Tick(now)
}

func (o *Observer) tick() {
	if !o.paused {
		o.handle(o.tickOnce)
	}
	o.sim.clock.After(tickInterval, o.tick)
}

func (o *Observer) probe(i int) {
	clock := &o.sim.clock
	t := o.sim.targets[i]
	clock.After(probeInterval, func() { o.probe(i) })
	clock.After(probeDuration, func() {
		signals := t.probe()
		o.handle(func() {
			for _, s := range signals {
				if s.Kind == pool.SignalDraining {
					o.recordDrain(i)
				}
				o.balancer.Signal(clock.Now(), t.ID, s)
			}
		})
	})
}

// submit passes a caller's request to the balancer.
func (o *Observer) submit(r *request) {
	clock := &o.sim.clock
	r.submitted = clock.Now()
	r.Deadline = clock.Now() + pool.Time(o.sim.profile.Deadline())
	o.requests[r.ID] = r
	clock.AfterInOrder(o.sim.profile.Deadline(), func() { o.onDeadline(r) })
	o.handle(func() { o.balancer.Submit(clock.Now(), r.Request) })
}

// onDeadline ends the running attempt with a timeout, or cancels the queued request.
func (o *Observer) onDeadline(r *request) {
	if r.ended {
		return
	}
	if a := r.attempt; a != nil {
		a.target.finish(a)
		o.report(a, pool.Outcome{Kind: pool.OutcomeTimeout, Written: true})
		return
	}
	o.sim.clock.After(cancelDelay, func() {
		o.handle(func() {
			if r.ended || r.attempt != nil {
				return
			}
			o.finishRequest(r)
			o.sim.stats.refused++
			o.balancer.Cancel(o.sim.clock.Now(), r.ID)
		})
	})
}

// report passes the outcome of an attempt to the balancer.
func (o *Observer) report(a *attempt, outcome pool.Outcome) {
	o.handle(func() {
		now := o.sim.clock.Now()
		outcome.NewConnection = a.newConnection
		outcome.ServiceTime = time.Duration(now - a.sent)
		if now > a.request.Deadline && outcome.Kind == pool.OutcomeSuccess {
			// The response was read after the deadline because the process was paused.
			outcome.Kind = pool.OutcomeTimeout
		}
		if outcome.Draining {
			o.recordDrain(a.target.index)
		}
		o.inFlight[a.target.index]--
		a.request.attempt = nil
		a.request.lastOutcome = outcome
		o.balancer.Finish(now, a.request.ID, outcome)
	})
}

func (o *Observer) recordDrain(i int) {
	if o.drainSeenAt[i] < 0 {
		o.drainSeenAt[i] = o.sim.clock.Now()
	}
}

// applyDecisions carries out the events and decisions of the balancer.
func (o *Observer) applyDecisions() {
	if events := o.balancer.Events(); len(events) > 0 {
		for _, e := range events {
			o.handleEvent(e)
		}
		o.sim.checkFloor()
	}
	for _, d := range o.balancer.Decisions() {
		r := o.requests[d.Request]
		if r == nil || r.ended {
			continue
		}
		switch d.Kind {
		case pool.DecisionRun:
			o.run(r, d)
		case pool.DecisionRefuse:
			o.refuse(r, d)
		case pool.DecisionFinal:
			o.complete(r)
		}
	}
}

func (o *Observer) run(r *request, d pool.Decision) {
	s := o.sim
	t := s.byID[d.Target]
	a := &attempt{observer: o, request: r, target: t, trial: d.Trial, started: s.clock.Now()}
	r.attempt = a
	o.inFlight[t.index]++
	s.stats.attempts++
	if d.Attempt > 1 {
		s.stats.retries++
	}
	if o.inFlight[t.index] > s.profile.Slots {
		s.stats.slotViolations++
	}
	if o.drainSeenAt[t.index] >= 0 {
		s.stats.attemptsAfterDrain++
		s.stats.lastAttemptAfterDrain = time.Duration(s.clock.Now() - o.drainSeenAt[t.index])
	}
	if !d.Trial {
		s.trackDispatch(t.index)
	}
	t.accept(a)
}

func (o *Observer) refuse(r *request, d pool.Decision) {
	o.finishRequest(r)
	o.sim.stats.refused++
	if r.poison {
		o.sim.stats.poisonRefused++
	}
	if d.Reason == pool.ReasonPoison && !r.poison {
		o.sim.stats.nonPoisonRefused++
	}
}

func (o *Observer) complete(r *request) {
	o.finishRequest(r)
	s := o.sim
	switch {
	case r.lastOutcome.Kind != pool.OutcomeSuccess:
		s.stats.failed++
	case time.Duration(s.clock.Now()-r.submitted) > s.profile.LateThreshold():
		s.stats.late++
		s.stats.succeeded++
	default:
		s.stats.succeeded++
	}
}

func (o *Observer) finishRequest(r *request) {
	r.ended = true
	delete(o.requests, r.ID)
}

// handleEvent updates the placement of the event's target.
func (o *Observer) handleEvent(e pool.Event) {
	if o.sim.Trace != nil {
		o.sim.Trace(e)
	}
	placement, ok := placements[e.Kind]
	if !ok {
		return
	}
	s := o.sim
	t := s.byID[e.Target]
	before := o.placement[t.index]
	o.placement[t.index] = placement
	if placement == Ejected && before != Ejected {
		s.countEjection(t)
	}
	if placement == Avoided && before == Serving {
		s.countAvoidance(t)
	}
	s.trackPlacement(t.index, placement)
}
