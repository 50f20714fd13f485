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

// Simulation is one run: a clock, fake targets, callers and the observers that choose.
type Simulation struct {
	clock        Clock
	random       *rand.Rand
	profile      Profile
	tableTargets []table.Target
	targets      []*Target
	byID         map[table.TargetID]*Target
	observers    []*Observer
	stats        Stats
	trackers     map[int]*faultTracker

	// Trace is called for every event, when it is set.
	Trace func(pool.Event)

	lastID pool.RequestID
	// rate is the callers' requests per second; generation discards arrivals that were
	// scheduled at a former rate.
	rate           float64
	rateGeneration int
	// nextObserver spreads the requests over the observers in turn.
	nextObserver int
	// falseEjections are the targets that were ejected while no fault of theirs harmed work.
	falseEjections []table.TargetID
	// falseAvoidances counts the times that such a target became avoided.
	falseAvoidances int
}

// Stats are the counts of one run.
type Stats struct {
	requests, attempts, retries      int
	succeeded, late, failed, refused int
	ejections                        int
	floorViolations                  int
	slotViolations                   int
	attemptsAfterDrain               int
	lastAttemptAfterDrain            time.Duration
	poisonRefused, nonPoisonRefused  int
}

// accounts are the callers' accounts.
var accounts = []table.AccountName{"account-0", "account-1", "account-2", "account-3", "account-4", "account-5", "account-6", "account-7"}

// Contents of callers' requests. A share of the requests have the
// same content, as for a popular permit, so that a refused fingerprint of theirs is noticed.
const (
	distinctContents = 100_000
	popularFraction  = 0.05
	popularContent   = pool.Fingerprint(1)
	poisonContent    = pool.Fingerprint(2)
)

// faultGracePeriod is how long after a harmful fault an ejection still counts as deserved. After a fault
// that makes requests hang, their deadline is added: they end that much later.
const faultGracePeriod = 10 * time.Second

// deriveSeed derives the seed of one run from the seed of all and the run's names.
func deriveSeed(seed uint64, names ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, names)
	return h.Sum64()
}

// NewSimulation builds a run of the pool with one observer per maker.
func NewSimulation(p Profile, seed uint64, factories ...BalancerFactory) *Simulation {
	sim := &Simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		profile:      p,
		tableTargets: p.TableTargets(),
		byID:         make(map[table.TargetID]*Target),
		trackers:     make(map[int]*faultTracker),
	}
	for i, row := range sim.tableTargets {
		t := &Target{ID: row.ID, index: i, slots: p.Slots, queueLimit: 4 * p.Slots, sim: sim, coldSince: -1}
		sim.targets = append(sim.targets, t)
		sim.byID[row.ID] = t
	}
	for i, factory := range factories {
		o := newObserver(sim, factory(p, rand.New(rand.NewPCG(seed, uint64(2+i)))))
		sim.observers = append(sim.observers, o)
		o.start()
	}
	return sim
}

// SetRate changes the callers' requests per second from now on.
func (s *Simulation) SetRate(rate float64) {
	s.rate = rate
	s.rateGeneration++
	s.scheduleArrival(s.rateGeneration)
}

func (s *Simulation) scheduleArrival(generation int) {
	if s.rate <= 0 {
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	s.clock.After(gap, func() {
		if generation != s.rateGeneration {
			return
		}
		s.arrive()
		s.scheduleArrival(generation)
	})
}

func (s *Simulation) arrive() {
	content := popularContent
	if s.random.Float64() >= popularFraction {
		content = poisonContent + 1 + pool.Fingerprint(s.random.Uint64N(distinctContents))
	}
	s.submit(content)
}

// submitPoison sends the poison request once.
func (s *Simulation) submitPoison() { s.submit(poisonContent) }

func (s *Simulation) submit(content pool.Fingerprint) {
	s.lastID++
	s.stats.requests++
	r := &request{
		Request: pool.Request{
			ID:          s.lastID,
			Route:       table.RouteName(s.profile.Pool),
			Account:     accounts[s.random.IntN(len(accounts))],
			Idempotent:  s.profile.Idempotent,
			Replayable:  !s.profile.Upload,
			Fingerprint: content,
			Upload:      s.profile.Upload,
		},
		poison: content == poisonContent,
	}
	s.nextOwner().submit(r)
}

// nextOwner returns the observers that serve the cell in turn: callers on both sides of a partition
// send their requests.
func (s *Simulation) nextOwner() *Observer {
	for range s.observers {
		s.nextObserver++
		o := s.observers[s.nextObserver%len(s.observers)]
		if o.ownership != fleet.NotOwner {
			return o
		}
	}
	return s.observers[0]
}

// resetStats forgets the requests of the warm-up. Ejections and violations in healthy work
// count from the start.
func (s *Simulation) resetStats() {
	s.stats = Stats{
		ejections:       s.stats.ejections,
		floorViolations: s.stats.floorViolations,
		slotViolations:  s.stats.slotViolations,
	}
}

// Run lets d pass.
func (s *Simulation) Run(d time.Duration) { s.clock.RunUntil(s.clock.Now()+pool.Time(d), nil) }

// slotSharer is implemented by choosers that limit their slots while another observer uses the targets.
type slotSharer interface {
	SetShared(now pool.Time, shared bool)
}

// SetOwnership changes the standing of the observer i.
func (s *Simulation) SetOwnership(i int, ownership fleet.Ownership) {
	o := s.observers[i]
	o.ownership = ownership
	o.handle(func() {
		if c, ok := o.balancer.(slotSharer); ok {
			c.SetShared(s.clock.Now(), ownership == fleet.ContestedOwner)
		}
		o.balancer.SetOwnership(s.clock.Now(), ownership, false)
	})
}

// checkFloor counts a violation when the ejections of all observers that place work leave fewer
// targets than the floor.
func (s *Simulation) checkFloor() {
	remaining := 0
	for i := range s.targets {
		ejected := false
		for _, o := range s.observers {
			placesWork := !o.paused && o.ownership != fleet.NotOwner
			ejected = ejected || placesWork && o.placement[i] == Ejected
		}
		if !ejected {
			remaining++
		}
	}
	if remaining < s.profile.Floor {
		s.stats.floorViolations++
	}
}

// countEjection counts an ejection, and a false one when no fault of the target harms work.
func (s *Simulation) countEjection(t *Target) {
	s.stats.ejections++
	if !t.harmful(faultGracePeriod) {
		s.falseEjections = append(s.falseEjections, t.ID)
	}
}

// countAvoidance counts a target that is avoided although no fault of it harms work.
func (s *Simulation) countAvoidance(t *Target) {
	if !t.harmful(faultGracePeriod) {
		s.falseAvoidances++
	}
}

// faultTracker follows one faulty target until it is out.
type faultTracker struct {
	started pool.Time
	// idleSince is the latest time from which the target got no ordinary work, while it was
	// avoided or ejected; negative while it serves.
	idleSince pool.Time
	// outAt and ejectedAt are negative until the target is out, or ejected.
	outAt, ejectedAt pool.Time
	// harmedStarts are the starts of ordinary attempts that the fault harmed.
	harmedStarts []pool.Time
	// endedAt is when the fault was switched off, returned when the target served again after
	// that; negative until then.
	endedAt, returnedAt pool.Time
}

// minOutOfUse is how long an avoided target must have had no work to count as out.
const minOutOfUse = time.Second

// StartTrackedFault starts to measure how long the target i stays in use, and switches a fault on.
func (s *Simulation) StartTrackedFault(i int, f Fault) {
	now := s.clock.Now()
	tr := &faultTracker{started: now, idleSince: -1, outAt: -1, ejectedAt: -1, endedAt: -1, returnedAt: -1}
	s.trackers[i] = tr
	s.targets[i].startFault(f)
	s.trackPlacement(i, s.observers[0].placement[i])
}

// EndTrackedFault switches the fault off.
func (s *Simulation) EndTrackedFault(i int, f Fault) {
	s.targets[i].endFault(f.Name)
	tr := s.trackers[i]
	if tr == nil {
		return
	}
	now := s.clock.Now()
	tr.confirmOut(now)
	tr.endedAt = now
	if s.observers[0].placement[i] == Serving {
		tr.returnedAt = now
	}
}

// confirmOut accepts an avoided target as out when it had no work for minOutOfUse.
func (tr *faultTracker) confirmOut(now pool.Time) {
	if tr.outAt < 0 && tr.idleSince >= 0 && now-tr.idleSince >= pool.Time(minOutOfUse) {
		tr.outAt = tr.idleSince
	}
}

// trackPlacement follows the placement of a watched target.
func (s *Simulation) trackPlacement(i int, p Placement) {
	tr := s.trackers[i]
	if tr == nil {
		return
	}
	now := s.clock.Now()
	if tr.endedAt >= 0 {
		if p == Serving && tr.returnedAt < 0 {
			tr.returnedAt = now
		}
		return
	}
	switch p {
	case Serving:
		tr.confirmOut(now)
		tr.idleSince = -1
	case Avoided:
		if tr.idleSince < 0 {
			tr.idleSince = now
		}
	case Ejected:
		if tr.idleSince < 0 {
			tr.idleSince = now
		}
		if tr.outAt < 0 {
			tr.outAt = tr.idleSince
		}
		if tr.ejectedAt < 0 {
			tr.ejectedAt = now
		}
	}
}

// trackDispatch notes ordinary work for the target i.
func (s *Simulation) trackDispatch(i int) {
	if tr := s.trackers[i]; tr != nil && tr.endedAt < 0 && tr.idleSince >= 0 && tr.outAt < 0 {
		tr.idleSince = s.clock.Now()
	}
}

// trackHarm notes an ordinary attempt that a fault harmed.
func (s *Simulation) trackHarm(a *attempt) {
	if tr := s.trackers[a.target.index]; tr != nil && !a.trial {
		tr.harmedStarts = append(tr.harmedStarts, a.started)
	}
}

// affectedAttempts counts the harmed attempts before the target was out.
func (tr *faultTracker) affectedAttempts() int {
	n := 0
	for _, at := range tr.harmedStarts {
		if tr.outAt < 0 || at <= tr.outAt {
			n++
		}
	}
	return n
}

// lastHarmedStart returns how long after the fault began the last harmed attempt before the target was out
// started. It is earlier than out when the chooser steers work away before it avoids the target.
func (tr *faultTracker) lastHarmedStart() time.Duration {
	var last time.Duration
	for _, at := range tr.harmedStarts {
		if tr.outAt < 0 || at <= tr.outAt {
			last = time.Duration(at - tr.started)
		}
	}
	return last
}
