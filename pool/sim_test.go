package pool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// simPool is a pool of one of the two operators.
type simPool struct {
	name               table.PoolName
	targets            int
	slots              int
	floor              int
	mean               time.Duration
	falseEjectionHours float64
	idempotent         bool
	upload             bool
	deadline           time.Duration
}

// The operators differ only in these rows.
var (
	bescheid = simPool{"bescheid-info", 10, 4, 7, 50 * time.Millisecond, 20000, true, false, 2 * time.Second}
	mengen   = simPool{"mengen-buch", 20, 4, 14, 150 * time.Millisecond, 20000, false, false, 5 * time.Second}
	peilung  = simPool{"peilung-ablage", 6, 4, 4, 2 * time.Second, 20000, false, true, 30 * time.Second}
	kat      = simPool{"kat-serviss", 12, 2, 8, 50 * time.Millisecond, 2000, true, false, 2 * time.Second}
	pas      = simPool{"pas-serviss", 18, 2, 12, 150 * time.Millisecond, 2000, false, false, 5 * time.Second}
	mak      = simPool{"mak-serviss", 6, 2, 4, 2 * time.Second, 2000, false, true, 30 * time.Second}
	simPools = []simPool{bescheid, mengen, peilung, kat, pas, mak}
)

// rate returns the requests per second that use the given fraction of the pool's slots.
func (p simPool) rate(utilization float64) float64 {
	return utilization * float64(p.targets*p.slots) / p.mean.Seconds()
}

// fault describes what is wrong with a target.
type fault struct {
	// failFraction of the requests fail after failAfter, or after their service time if that is 0.
	failFraction float64
	failAfter    time.Duration
	kind         OutcomeKind
	// slow is the factor by which the service time is longer; 0 means none.
	slow float64
	hang bool
	// refuse makes connections fail to open.
	refuse bool
}

type simEvent struct {
	at       Time
	do       func(now Time)
	sequence uint64
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation runs one cell against simulated targets in virtual time.
type simulation struct {
	pool     simPool
	cell     *Cell
	random   *rand.Rand
	now      Time
	rate     float64
	events   simHeap
	sequence uint64
	nextID   RequestID
	faults   map[table.TargetID]*fault
	open     map[RequestID]Request
	// poison is the probability of a poison request, which crashes the target that runs it for crashTime.
	poison  float64
	crashed map[table.TargetID]Time
	running map[table.TargetID][]RequestID
	paused  bool

	runs, retries, trials, finals, succeeded, refused int
	// ordinaryRequests counts the requests at the watched target apart from trials, and lastOrdinary is the
	// time of the last one.
	watched          table.TargetID
	lastOrdinary     Time
	ordinaryRequests int
	eventLog         []Event
	crashes          int
}

const crashTime = 3 * time.Second

func newSimulation(p simPool, seed uint64, utilization float64) *simulation {
	s := &simulation{
		pool: p, random: rand.New(rand.NewPCG(seed, 1)), rate: p.rate(utilization),
		faults: map[table.TargetID]*fault{}, open: map[RequestID]Request{},
		crashed: map[table.TargetID]Time{}, running: map[table.TargetID][]RequestID{},
	}
	s.cell = &Cell{
		Key: fleet.CellKey{Pool: p.name}, SlotsPerTarget: p.slots, Random: rand.New(rand.NewPCG(seed, 2)),
		Policy: table.Policy{FalseEjectionEveryHours: p.falseEjectionHours},
	}
	var targets []table.Target
	for i := range p.targets {
		targets = append(targets, table.Target{ID: table.TargetID(fmt.Sprintf("t%02d", i))})
	}
	s.cell.Update(0, targets, p.floor)
	s.cell.SetOwnership(0, fleet.ExclusiveOwner, false)
	s.at(0, s.tick)
	s.at(0, s.arrive)
	return s
}

func (s *simulation) at(t Time, do func(Time)) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: t, do: do, sequence: s.sequence})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= Time(until) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = max(s.now, e.at)
		e.do(s.now)
		s.handleDecisions()
	}
	s.now = Time(until)
}

func (s *simulation) tick(now Time) {
	s.at(now+Time(TickInterval), s.tick)
	if !s.paused {
		s.cell.SetOwnership(now, fleet.ExclusiveOwner, false)
		s.cell.Tick(now)
	}
}

func (s *simulation) arrive(now Time) {
	s.at(now+Time(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	s.nextID++
	r := Request{
		ID: s.nextID, Idempotent: s.pool.idempotent, Replayable: s.pool.idempotent, Upload: s.pool.upload,
		Deadline: now + Time(s.pool.deadline), Account: accounts[s.nextID%7],
		Fingerprint: Fingerprint(s.nextID),
	}
	if s.random.Float64() < s.poison {
		r.Fingerprint = poisonFingerprint
	}
	s.open[r.ID] = r
	s.cell.Submit(now, r)
}

var accounts = [7]table.AccountName{"a", "b", "c", "d", "e", "f", "g"}

const poisonFingerprint = Fingerprint(1 << 60)

// drawServiceTime draws a service time: log-normal, with one response in a hundred from a heavy tail.
func (s *simulation) drawServiceTime() time.Duration {
	const sigma = 0.5
	x := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	if s.random.Float64() < 0.01 {
		x *= min(30, math.Pow(s.random.Float64(), -1/1.5))
	}
	return time.Duration(x * float64(s.pool.mean))
}

func (s *simulation) handleDecisions() {
	for _, d := range s.cell.Decisions() {
		switch d.Kind {
		case DecisionRun:
			s.start(d)
		case DecisionRefuse:
			s.refused++
			delete(s.open, d.Request)
		case DecisionFinal:
			s.finals++
			delete(s.open, d.Request)
		}
	}
	s.eventLog = append(s.eventLog, s.cell.Events()...)
}

func (s *simulation) start(d Decision) {
	s.runs++
	if d.Attempt > 1 {
		s.retries++
	}
	switch {
	case d.Trial:
		s.trials++
	case d.Target == s.watched:
		s.ordinaryRequests++
		s.lastOrdinary = s.now
	}
	r := s.open[d.Request]
	o := Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: s.drawServiceTime()}
	f := s.faults[d.Target]
	switch {
	case s.now < s.crashed[d.Target], f != nil && f.refuse:
		o = Outcome{Kind: OutcomeConnectFailed, ServiceTime: time.Millisecond}
	case r.Fingerprint == poisonFingerprint:
		s.at(s.now+Time(5*time.Millisecond), func(Time) { s.crash(d.Target) })
		o.ServiceTime = time.Hour
	case f != nil && f.hang:
		o.ServiceTime = time.Hour
	case f != nil && s.random.Float64() < f.failFraction:
		o.Kind = f.kind
		if f.failAfter > 0 {
			o.ServiceTime = f.failAfter
		}
	case s.random.Float64() < 0.005:
		o.Kind = OutcomeFailed
	}
	if f != nil && f.slow > 0 {
		o.ServiceTime = time.Duration(float64(o.ServiceTime) * f.slow)
	}
	if limit := time.Duration(r.Deadline - s.now); o.ServiceTime > limit && o.Kind != OutcomeConnectFailed {
		o = Outcome{Kind: OutcomeTimeout, Written: true, ServiceTime: limit}
	}
	o.TimeAfterBody = o.ServiceTime
	s.running[d.Target] = append(s.running[d.Target], d.Request)
	s.at(s.now+Time(o.ServiceTime), func(now Time) { s.finish(now, d, o) })
}

func (s *simulation) finish(now Time, d Decision, o Outcome) {
	running := s.running[d.Target]
	for i, id := range running {
		if id == d.Request {
			s.running[d.Target] = append(running[:i:i], running[i+1:]...)
			if o.Kind == OutcomeSuccess {
				s.succeeded++
			}
			s.cell.Finish(now, d.Request, o)
			return
		}
	}
}

func (s *simulation) crash(id table.TargetID) {
	s.crashes++
	s.crashed[id] = s.now + Time(crashTime)
	for _, r := range s.running[id] {
		s.cell.Finish(s.now, r, Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: 5 * time.Millisecond})
	}
	s.running[id] = nil
}

func (s *simulation) count(kind EventKind) int {
	n := 0
	for _, e := range s.eventLog {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
