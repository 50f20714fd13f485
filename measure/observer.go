package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
)

// Times of an entry, as in section 9 of the design page.
const (
	tickInterval  = 50 * time.Millisecond
	probeInterval = time.Second
	probeTime     = 25 * time.Millisecond
	connectTime   = time.Millisecond
	// patienceMedians is how many median service times the entry waits for a byte on a used
	// connection before it moves an idempotent request to a new one: 3 times the 99th
	// percentile, which is about 3.2 medians.
	patienceMedians = 10
	// idleConnectionTime is when idle connections are closed.
	idleConnectionTime = 5 * time.Second
	// freshConnectionTime is how long after its last byte a connection takes non-idempotent work.
	freshConnectionTime = 500 * time.Millisecond
	// shedRetryAfter is a target's advice when it sheds.
	shedRetryAfter = 100 * time.Millisecond
	// cancelGrace is how long after its deadline a queued request is withdrawn, when the chooser
	// has not refused it by itself.
	cancelGrace = 2 * tickInterval
)

// Placement is whether a target gets ordinary work.
type Placement uint8

// Placements.
const (
	Serving Placement = iota
	Avoided
	Ejected
)

// Observer is one entry's view of the cell: it owns a chooser and carries out its decisions.
type Observer struct {
	world     *World
	chooser   Chooser
	standing  fleet.Ownership
	requests  map[pool.RequestID]*request
	placement []Placement
	inFlight  []int
	// drainSeen is when the observer was told that a target is leaving; negative means never.
	drainSeen []pool.Time
	paused    bool
	backlog   []func()
}

// request is a caller's request.
type request struct {
	pool.Request
	submitted pool.Time
	ended     bool
	poison    bool
	// attempt is the one that is running, if any.
	attempt *attempt
	last    pool.Outcome
}

func newObserver(w *World, c Chooser) *Observer {
	n := w.profile.Targets
	o := &Observer{
		world:     w,
		chooser:   c,
		standing:  fleet.ExclusiveOwner,
		requests:  make(map[pool.RequestID]*request),
		placement: make([]Placement, n),
		inFlight:  make([]int, n),
		drainSeen: make([]pool.Time, n),
	}
	for i := range o.drainSeen {
		o.drainSeen[i] = -1
	}
	c.Update(0, w.rows, w.profile.Floor)
	c.SetOwnership(0, fleet.ExclusiveOwner, false)
	return o
}

// start schedules the periodic work.
func (o *Observer) start() {
	o.world.clock.After(tickInterval, o.tick)
	for i := range o.world.targets {
		// Probes are spread over the interval.
		offset := probeInterval * time.Duration(i) / time.Duration(len(o.world.targets))
		o.world.clock.After(offset, func() { o.probe(i) })
	}
}

// do runs an event of the entry's process, or keeps it until the process goes on.
func (o *Observer) do(run func()) {
	if o.paused {
		o.backlog = append(o.backlog, run)
		return
	}
	run()
	o.carryOut()
}

// pause stops the process for d; then everything that came meanwhile is handled at once, before
// the next tick.
func (o *Observer) pause(d time.Duration) {
	o.paused = true
	o.world.clock.After(d, func() {
		o.paused = false
		backlog := o.backlog
		o.backlog = nil
		for _, run := range backlog {
			o.do(run)
		}
		o.do(o.tickOnce)
	})
}

// tickOnce reports the standing without self-doubt: the chooser must notice its own late ticks.
func (o *Observer) tickOnce() {
	now := o.world.clock.Now()
	o.chooser.SetOwnership(now, o.standing, false)
	o.chooser.Tick(now)
}

func (o *Observer) tick() {
	if !o.paused {
		o.do(o.tickOnce)
	}
	o.world.clock.After(tickInterval, o.tick)
}

func (o *Observer) probe(i int) {
	clock := &o.world.clock
	t := o.world.targets[i]
	clock.After(probeInterval, func() { o.probe(i) })
	clock.After(probeTime, func() {
		signals := t.probe()
		o.do(func() {
			for _, s := range signals {
				if s.Kind == pool.SignalDraining {
					o.sawDrain(i)
				}
				o.chooser.Signal(clock.Now(), t.ID, s)
			}
		})
	})
}

// submit hands over a caller's request.
func (o *Observer) submit(r *request) {
	clock := &o.world.clock
	r.submitted = clock.Now()
	r.Deadline = clock.Now() + pool.Time(o.world.profile.Deadline())
	o.requests[r.ID] = r
	clock.AfterInOrder(o.world.profile.Deadline(), func() { o.deadline(r) })
	o.do(func() { o.chooser.Submit(clock.Now(), r.Request) })
}

// deadline ends a running attempt, or withdraws a queued request.
func (o *Observer) deadline(r *request) {
	if r.ended {
		return
	}
	if a := r.attempt; a != nil {
		a.target.release(a)
		o.report(a, pool.Outcome{Kind: pool.OutcomeTimeout, Written: true})
		return
	}
	o.world.clock.After(cancelGrace, func() {
		o.do(func() {
			if r.ended || r.attempt != nil {
				return
			}
			o.end(r)
			o.world.stats.refused++
			o.chooser.Cancel(o.world.clock.Now(), r.ID)
		})
	})
}

// report hands over the outcome of an attempt.
func (o *Observer) report(a *attempt, outcome pool.Outcome) {
	o.do(func() {
		now := o.world.clock.Now()
		outcome.NewConnection = a.newConnection
		outcome.ServiceTime = time.Duration(now - a.sent)
		if now > a.request.Deadline && outcome.Kind == pool.OutcomeSuccess {
			// The answer was read after the deadline, because the process was paused.
			outcome.Kind = pool.OutcomeTimeout
		}
		if outcome.Draining {
			o.sawDrain(a.target.index)
		}
		o.inFlight[a.target.index]--
		a.request.attempt = nil
		a.request.last = outcome
		o.chooser.Finish(now, a.request.ID, outcome)
	})
}

func (o *Observer) sawDrain(i int) {
	if o.drainSeen[i] < 0 {
		o.drainSeen[i] = o.world.clock.Now()
	}
}

// carryOut does what the chooser decided.
func (o *Observer) carryOut() {
	if events := o.chooser.Events(); len(events) > 0 {
		for _, e := range events {
			o.place(e)
		}
		o.world.checkFloor()
	}
	for _, d := range o.chooser.Decisions() {
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
			o.final(r)
		}
	}
}

func (o *Observer) run(r *request, d pool.Decision) {
	w := o.world
	t := w.byID[d.Target]
	a := &attempt{observer: o, request: r, target: t, trial: d.Trial, started: w.clock.Now()}
	r.attempt = a
	o.inFlight[t.index]++
	w.stats.attempts++
	if d.Attempt > 1 {
		w.stats.retries++
	}
	if o.inFlight[t.index] > w.profile.Slots {
		w.stats.slotViolations++
	}
	if o.drainSeen[t.index] >= 0 {
		w.stats.workAfterDrain++
		w.stats.lastWorkAfterDrain = time.Duration(w.clock.Now() - o.drainSeen[t.index])
	}
	if !d.Trial {
		w.dispatched(t.index)
	}
	t.accept(a)
}

func (o *Observer) refuse(r *request, d pool.Decision) {
	o.end(r)
	o.world.stats.refused++
	if r.poison {
		o.world.stats.poisonRefused++
	}
	if d.Reason == pool.ReasonPoison && !r.poison {
		o.world.stats.innocentRefused++
	}
}

func (o *Observer) final(r *request) {
	o.end(r)
	w := o.world
	switch {
	case r.last.Kind != pool.OutcomeSuccess:
		w.stats.failed++
	case time.Duration(w.clock.Now()-r.submitted) > w.profile.Late():
		w.stats.late++
		w.stats.good++
	default:
		w.stats.good++
	}
}

func (o *Observer) end(r *request) {
	r.ended = true
	delete(o.requests, r.ID)
}

// place follows the events of targets.
func (o *Observer) place(e pool.Event) {
	if o.world.Trace != nil {
		o.world.Trace(e)
	}
	placement, ok := placements[e.Kind]
	if !ok {
		return
	}
	w := o.world
	t := w.byID[e.Target]
	before := o.placement[t.index]
	o.placement[t.index] = placement
	if placement == Ejected && before != Ejected {
		w.ejected(t)
	}
	if placement == Avoided && before == Serving {
		w.avoided(t)
	}
	w.placed(t.index, placement)
}
