package measure

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// World is one run: a clock, fake targets, callers and the observers that choose.
type World struct {
	clock     Clock
	random    *rand.Rand
	profile   Profile
	rows      []table.Target
	targets   []*Target
	byID      map[table.TargetID]*Target
	observers []*Observer
	stats     Stats
	watches   map[int]*watch

	// Trace is called for every event, when it is set.
	Trace func(pool.Event)

	lastID pool.RequestID
	// rate is the callers' requests per second; generation discards arrivals that were
	// scheduled at a former rate.
	rate       float64
	generation int
	// nextObserver spreads the requests over the observers in turn.
	nextObserver int
	// falseEjections are the targets that were ejected while no fault of theirs harmed work.
	falseEjections []table.TargetID
	// falseAvoidances counts the times that such a target became avoided.
	falseAvoidances int
}

// Stats are the counts of one run.
type Stats struct {
	requests, attempts, retries    int
	good, late, failed, refused    int
	ejections                      int
	floorViolations                int
	slotViolations                 int
	workAfterDrain                 int
	lastWorkAfterDrain             time.Duration
	poisonRefused, innocentRefused int
}

// accounts are the callers' accounts.
var accounts = []table.AccountName{"account-0", "account-1", "account-2", "account-3", "account-4", "account-5", "account-6", "account-7"}

// Contents of callers' requests. A share of the requests have the
// same content, as for a popular permit, so that a refused fingerprint of theirs is noticed.
const (
	contents       = 100_000
	popularShare   = 0.05
	popularContent = pool.Fingerprint(1)
	poisonContent  = pool.Fingerprint(2)
)

// falseGrace is how long after a harmful fault an ejection still counts as deserved. After a fault
// that makes requests hang, their deadline is added: they end that much later.
const falseGrace = 10 * time.Second

// seedOf derives the seed of one run from the seed of all and the run's names.
func seedOf(seed uint64, names ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, names)
	return h.Sum64()
}

// NewWorld builds a run of the pool with one observer per maker.
func NewWorld(p Profile, seed uint64, makers ...Maker) *World {
	w := &World{
		random:  rand.New(rand.NewPCG(seed, 1)),
		profile: p,
		rows:    p.TableTargets(),
		byID:    make(map[table.TargetID]*Target),
		watches: make(map[int]*watch),
	}
	for i, row := range w.rows {
		t := &Target{ID: row.ID, index: i, slots: p.Slots, queueLimit: 4 * p.Slots, world: w, coldSince: -1}
		w.targets = append(w.targets, t)
		w.byID[row.ID] = t
	}
	for i, m := range makers {
		o := newObserver(w, m(p, rand.New(rand.NewPCG(seed, uint64(2+i)))))
		w.observers = append(w.observers, o)
		o.start()
	}
	return w
}

// SetRate changes the callers' requests per second from now on.
func (w *World) SetRate(rate float64) {
	w.rate = rate
	w.generation++
	w.scheduleArrival(w.generation)
}

func (w *World) scheduleArrival(generation int) {
	if w.rate <= 0 {
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / w.rate * float64(time.Second))
	w.clock.After(gap, func() {
		if generation != w.generation {
			return
		}
		w.arrive()
		w.scheduleArrival(generation)
	})
}

func (w *World) arrive() {
	content := popularContent
	if w.random.Float64() >= popularShare {
		content = poisonContent + 1 + pool.Fingerprint(w.random.Uint64N(contents))
	}
	w.submit(content)
}

// submitPoison sends the poison request once.
func (w *World) submitPoison() { w.submit(poisonContent) }

func (w *World) submit(content pool.Fingerprint) {
	w.lastID++
	w.stats.requests++
	r := &request{
		Request: pool.Request{
			ID:          w.lastID,
			Route:       table.RouteName(w.profile.Pool),
			Account:     accounts[w.random.IntN(len(accounts))],
			Idempotent:  w.profile.Idempotent,
			Replayable:  !w.profile.Upload,
			Fingerprint: content,
			Upload:      w.profile.Upload,
		},
		poison: content == poisonContent,
	}
	w.owner().submit(r)
}

// owner returns the observers that serve the cell in turn: callers on both sides of a partition
// send their requests.
func (w *World) owner() *Observer {
	for range w.observers {
		w.nextObserver++
		o := w.observers[w.nextObserver%len(w.observers)]
		if o.standing != fleet.NotOwner {
			return o
		}
	}
	return w.observers[0]
}

// startMeasuring forgets the requests of the warm-up. Ejections and violations in healthy work
// count from the start.
func (w *World) startMeasuring() {
	w.stats = Stats{
		ejections:       w.stats.ejections,
		floorViolations: w.stats.floorViolations,
		slotViolations:  w.stats.slotViolations,
	}
}

// Run lets d pass.
func (w *World) Run(d time.Duration) { w.clock.RunUntil(w.clock.Now()+pool.Time(d), nil) }

// sharer is implemented by choosers that limit their slots while another observer uses the targets.
type sharer interface {
	SetShared(now pool.Time, shared bool)
}

// SetOwnership changes the standing of the observer i.
func (w *World) SetOwnership(i int, s fleet.Ownership) {
	o := w.observers[i]
	o.standing = s
	o.do(func() {
		if c, ok := o.chooser.(sharer); ok {
			c.SetShared(w.clock.Now(), s == fleet.ContestedOwner)
		}
		o.chooser.SetOwnership(w.clock.Now(), s, false)
	})
}

// checkFloor counts a violation when the ejections of all observers that place work leave fewer
// targets than the floor.
func (w *World) checkFloor() {
	left := 0
	for i := range w.targets {
		ejected := false
		for _, o := range w.observers {
			places := !o.paused && o.standing != fleet.NotOwner
			ejected = ejected || places && o.placement[i] == Ejected
		}
		if !ejected {
			left++
		}
	}
	if left < w.profile.Floor {
		w.stats.floorViolations++
	}
}

// ejected counts an ejection, and a false one when no fault of the target harms work.
func (w *World) ejected(t *Target) {
	w.stats.ejections++
	if !t.harmful(falseGrace) {
		w.falseEjections = append(w.falseEjections, t.ID)
	}
}

// avoided counts a target that is avoided although no fault of it harms work.
func (w *World) avoided(t *Target) {
	if !t.harmful(falseGrace) {
		w.falseAvoidances++
	}
}

// watch follows one faulty target until it is out.
type watch struct {
	since pool.Time
	// candidate is the latest time from which the target got no ordinary work, while it was
	// avoided or ejected; negative while it serves.
	candidate pool.Time
	// out and ejectedAt are negative until the target is out, or ejected.
	out, ejectedAt pool.Time
	// harmed are the starts of ordinary attempts that the fault harmed.
	harmed []pool.Time
	// ended is when the fault was switched off, returned when the target served again after
	// that; negative until then.
	ended, returned pool.Time
}

// leastOut is how long an avoided target must have had no work to count as out.
const leastOut = time.Second

// Watch starts to measure how long the target i stays in use, and switches a fault on.
func (w *World) Watch(i int, f Fault) {
	now := w.clock.Now()
	v := &watch{since: now, candidate: -1, out: -1, ejectedAt: -1, ended: -1, returned: -1}
	w.watches[i] = v
	w.targets[i].switchOn(f)
	w.placed(i, w.observers[0].placement[i])
}

// EndFault switches the fault off.
func (w *World) EndFault(i int, f Fault) {
	w.targets[i].switchOff(f.Name)
	v := w.watches[i]
	if v == nil {
		return
	}
	now := w.clock.Now()
	v.settle(now)
	v.ended = now
	if w.observers[0].placement[i] == Serving {
		v.returned = now
	}
}

// settle accepts an avoided target as out when it had no work for leastOut.
func (v *watch) settle(now pool.Time) {
	if v.out < 0 && v.candidate >= 0 && now-v.candidate >= pool.Time(leastOut) {
		v.out = v.candidate
	}
}

// placed follows the placement of a watched target.
func (w *World) placed(i int, p Placement) {
	v := w.watches[i]
	if v == nil {
		return
	}
	now := w.clock.Now()
	if v.ended >= 0 {
		if p == Serving && v.returned < 0 {
			v.returned = now
		}
		return
	}
	switch p {
	case Serving:
		v.settle(now)
		v.candidate = -1
	case Avoided:
		if v.candidate < 0 {
			v.candidate = now
		}
	case Ejected:
		if v.candidate < 0 {
			v.candidate = now
		}
		if v.out < 0 {
			v.out = v.candidate
		}
		if v.ejectedAt < 0 {
			v.ejectedAt = now
		}
	}
}

// dispatched notes ordinary work for the target i.
func (w *World) dispatched(i int) {
	if v := w.watches[i]; v != nil && v.ended < 0 && v.candidate >= 0 && v.out < 0 {
		v.candidate = w.clock.Now()
	}
}

// watchHarm notes an ordinary attempt that a fault harmed.
func (w *World) watchHarm(a *attempt) {
	if v := w.watches[a.target.index]; v != nil && !a.trial {
		v.harmed = append(v.harmed, a.started)
	}
}

// affected counts the harmed attempts before the target was out.
func (v *watch) affected() int {
	n := 0
	for _, at := range v.harmed {
		if v.out < 0 || at <= v.out {
			n++
		}
	}
	return n
}

// lastHarm returns how long after the fault began the last harmed attempt before the target was out
// started. It is earlier than out when the chooser steers work away before it avoids the target.
func (v *watch) lastHarm() time.Duration {
	var last time.Duration
	for _, at := range v.harmed {
		if v.out < 0 || at <= v.out {
			last = time.Duration(at - v.since)
		}
	}
	return last
}
