package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// crowd simulates a pool whose callers come in larger numbers for a time, or whose targets become fewer.
type crowd struct {
	targets, slots      int
	service             time.Duration
	spread              float64 // sigma of the log-normal service time
	objective, deadline time.Duration
	// shortDeadline is the deadline of every fifth request, and shortObjective its objective; 0 means that all have the
	// same.
	shortDeadline, shortObjective time.Duration
	// idempotent is the fraction of idempotent requests.
	idempotent float64
	// load returns the arrival rate as a fraction of the pool's capacity.
	load func(at time.Duration) float64
	// scheduling is the order of the waiting requests.
	scheduling table.Scheduling

	random    *rand.Rand
	cell      *Cell
	now       Time
	lastID    RequestID
	requests  map[RequestID]*crowdRequest
	running   []crowdRun
	byArrival []*crowdRequest
	// suspected counts how often a target became suspect; all are healthy.
	suspected int
}

type crowdRequest struct {
	at         Time
	objective  Time
	deadline   Time
	short      bool
	idempotent bool
	inTime     bool
	served     bool
	refused    bool
	heldFor    time.Duration
}

type crowdRun struct {
	id         RequestID
	start, end Time
}

// crowdWindow summarizes the requests that came in a span of time.
type crowdWindow struct{ asked, inTime, late, refused, failed int }

func (w crowdWindow) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d failed", w.asked, w.inTime, w.late, w.refused, w.failed)
}

func (w crowdWindow) inTimeFraction() float64 {
	return float64(w.inTime) / math.Max(1, float64(w.asked))
}

// credit is what the operators count: 1 for a response in time, 0.3 for a late one.
func (w crowdWindow) credit() float64 { return float64(w.inTime) + 0.3*float64(w.late) }

func (l *crowd) run(seed uint64, length time.Duration) {
	l.random = rand.New(rand.NewPCG(seed, 21))
	l.requests, l.now = make(map[RequestID]*crowdRequest), Time(time.Second)
	policy := episodePolicy
	policy.RampMs, policy.Scheduling = 1, l.scheduling
	policy.SetDefaults()
	l.cell = &Cell{Policy: policy, SlotsPerTarget: l.slots, Random: l.random}
	list := make([]table.Target, l.targets)
	for i := range list {
		list[i] = table.Target{ID: table.TargetID(fmt.Sprintf("t%02d", i)), Started: 1}
	}
	l.cell.Update(l.now, list, l.targets*7/10)
	l.cell.SetOwnership(l.now, fleet.ExclusiveOwner, false)
	const step = Time(time.Millisecond)
	capacity := float64(l.targets*l.slots) / l.service.Seconds()
	start := l.now
	for ; l.now < start+Time(length); l.now += step {
		if (l.now-start)%Time(TickInterval) == 0 {
			l.cell.Tick(l.now)
		}
		l.finish()
		if l.random.Float64() < capacity*l.load(time.Duration(l.now-start))*time.Duration(step).Seconds() {
			l.submit()
		}
		l.collect()
	}
}

func (l *crowd) submit() {
	l.lastID++
	r := &crowdRequest{at: l.now, idempotent: l.random.Float64() < l.idempotent}
	r.objective, r.deadline = l.now+Time(l.objective), l.now+Time(l.deadline)
	r.short = l.lastID%5 == 0
	if l.shortDeadline > 0 && r.short {
		r.deadline = l.now + Time(l.shortDeadline)
	}
	if l.shortObjective > 0 && r.short {
		r.objective = l.now + Time(l.shortObjective)
	}
	l.requests[l.lastID] = r
	l.byArrival = append(l.byArrival, r)
	l.cell.Submit(l.now, Request{
		ID: l.lastID, Idempotent: r.idempotent, Replayable: true,
		Objective: r.objective, Deadline: r.deadline,
	})
}

func (l *crowd) collect() {
	for _, e := range l.cell.Events() {
		if e.Kind == EventAvoided && e.Reason == ReasonFailures || e.Kind == EventEjected {
			l.suspected++
		}
	}
	for _, d := range append([]Decision(nil), l.cell.Decisions()...) {
		r := l.requests[d.Request]
		switch d.Kind {
		case DecisionRun:
			mu := math.Log(l.service.Seconds()) - l.spread*l.spread/2
			service := time.Duration(math.Exp(mu+l.spread*l.random.NormFloat64()) * float64(time.Second))
			l.running = append(l.running, crowdRun{d.Request, l.now, l.now + Time(service)})
		case DecisionRefuse:
			r.refused, r.heldFor = true, time.Duration(l.now-r.at)
		}
	}
}

func (l *crowd) finish() {
	var due []crowdRun
	rest := l.running[:0]
	for _, run := range l.running {
		if min(run.end, l.requests[run.id].deadline) <= l.now {
			due = append(due, run)
			continue
		}
		rest = append(rest, run)
	}
	l.running = rest
	for _, run := range due {
		r := l.requests[run.id]
		o := Outcome{Kind: OutcomeTimeout, Written: true, ServiceTime: time.Duration(l.now - run.start)}
		if run.end <= r.deadline {
			r.served, r.inTime = true, l.now <= r.objective
			o.Kind = OutcomeSuccess
		}
		l.cell.Finish(l.now, run.id, o)
	}
	l.collect()
}

// window summarizes the requests that came between two times.
func (l *crowd) window(from, to time.Duration) crowdWindow {
	var w crowdWindow
	for _, r := range l.byArrival {
		at := time.Duration(r.at) - time.Second
		if at < from || at >= to {
			continue
		}
		w.asked++
		switch {
		case r.inTime:
			w.inTime++
		case r.served:
			w.late++
		case r.refused:
			w.refused++
		default:
			w.failed++
		}
	}
	return w
}

// medianHold returns the median time that refused requests were held.
func (l *crowd) medianHold() time.Duration {
	var held []time.Duration
	for _, r := range l.byArrival {
		if r.refused {
			held = append(held, r.heldFor)
		}
	}
	if len(held) == 0 {
		return 0
	}
	sort.Slice(held, func(i, j int) bool { return held[i] < held[j] })
	return held[len(held)/2]
}

// bothOrders returns the crowds with each order of the waiting requests.
func bothOrders(crowds ...crowd) []crowd {
	out := crowds
	for _, c := range crowds {
		c.scheduling = table.SchedulePriority
		out = append(out, c)
	}
	return out
}

// between returns a load that is high from one time to another, and base before and after.
func between(from, to time.Duration, high, base float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return base
	}
}

// Guards against a queue that outlasts its cause (metastable overload): after a crowd has gone, at a load that the targets can
// carry, requests must be in time again, and while the crowd lasts the targets must work on responses that are in time.
func TestQueueEndsWithTheCrowd(t *testing.T) {
	const crowdStart, crowdEnd, length = 10 * time.Second, 18 * time.Second, 40 * time.Second
	// settle is the time in which the queue must be empty again.
	const settle = 2 * time.Second
	for _, c := range bothOrders(
		// Orders of Arouca, notices of the gravel permits, and the notices of the large site.
		crowd{targets: 31, slots: 2, service: 210 * time.Millisecond, spread: 0.5, objective: 600 * time.Millisecond, deadline: 1500 * time.Millisecond, idempotent: 0.28},
		crowd{targets: 19, slots: 4, service: 320 * time.Millisecond, spread: 0.5, objective: 1500 * time.Millisecond, deadline: 3 * time.Second},
		crowd{targets: 71, slots: 4, service: 510 * time.Millisecond, spread: 0.5, objective: 2500 * time.Millisecond, deadline: 6 * time.Second},
	) {
		for _, high := range []float64{1.3, 2} {
			t.Run(fmt.Sprintf("%d targets, %.1f %s", c.targets, high, c.scheduling), func(t *testing.T) {
				is := is.New(t)
				l := c
				l.load = between(crowdStart, crowdEnd, high, 0.9)
				l.run(1, length)
				during, after := l.window(crowdStart, crowdEnd), l.window(crowdEnd+settle, length-l.deadline)
				capacity := (crowdEnd - crowdStart).Seconds() * float64(l.targets*l.slots) / l.service.Seconds()
				t.Logf("during: %v, credit %.2f of capacity; refused after %v; after: %v", during, during.credit()/capacity, l.medianHold(), after)
				is.True(l.window(0, crowdStart).inTimeFraction() >= 0.9)
				is.True(float64(during.inTime) >= 0.75*capacity)
				is.True(after.inTimeFraction() >= 0.9)
				is.True(l.medianHold() <= l.objective/4)
			})
		}
	}
}

// Guards against taking healthy targets for failing ones because their responses take longer than callers with short
// deadlines wait.
func TestShortDeadlinesMakeNoTargetSuspect(t *testing.T) {
	is := is.New(t)
	l := crowd{targets: 31, slots: 2, service: 210 * time.Millisecond, spread: 0.5, deadline: 1500 * time.Millisecond, shortDeadline: 260 * time.Millisecond}
	l.load = func(time.Duration) float64 { return 0.6 }
	l.run(1, 30*time.Second)
	w := l.window(0, 30*time.Second)
	t.Logf("%v; %d times a target became suspect", w, l.suspected)
	is.True(w.failed > 0)
	is.True(l.suspected <= w.failed/50)
}

// Guards against refusing all requests of routes with a short objective, because the queue is as long as the others can wait.
func TestShortObjectivesAreServedUnderOverload(t *testing.T) {
	for _, l := range bothOrders(crowd{
		targets: 10, slots: 4, service: 430 * time.Millisecond, spread: 0.5, objective: 1500 * time.Millisecond,
		shortObjective: time.Second, deadline: 2500 * time.Millisecond, idempotent: 1,
	}) {
		is := is.New(t)
		l.load = func(time.Duration) float64 { return 1.3 }
		l.run(1, 40*time.Second)
		served, asked := map[bool]float64{}, map[bool]float64{}
		for _, r := range l.byArrival[len(l.byArrival)/4:] {
			asked[r.short]++
			if r.served {
				served[r.short]++
			}
		}
		short, other := served[true]/asked[true], served[false]/asked[false]
		t.Logf("%s: served: %.2f of the requests with a short objective, %.2f of the others", l.scheduling, short, other)
		is.True(short >= other/2)
	}
}
