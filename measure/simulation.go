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

// Simulation is one run: a clock, simulated targets, callers, and the observers that place requests on
// the targets.
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

	// Trace, if set, is called for every event.
	Trace func(pool.Event)

	lastID pool.RequestID
	// rate is the callers' requests per second. SetRate increments rateGeneration, so that arrivals
	// scheduled at an earlier rate are discarded.
	rate           float64
	rateGeneration int
	// nextObserver distributes the requests over the observers in turn.
	nextObserver int
	// falseEjections are the targets that were ejected while no fault of theirs was harmful.
	falseEjections []table.TargetID
	// falseAvoidances counts how often a target became avoided while no fault of it was harmful.
	falseAvoidances int
}

// Stats are the counts of one run. Succeeded requests include late ones.
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

// accounts are the client accounts of the callers.
var accounts = []table.AccountName{"account-0", "account-1", "account-2", "account-3", "account-4", "account-5", "account-6", "account-7"}

// Contents of callers' requests. A fraction of the requests has the same content, like requests for a
// popular permit, so that a poison detector that blocks this fingerprint by mistake is noticed.
const (
	distinctContents = 100_000
	popularFraction  = 0.05
	popularContent   = pool.Fingerprint(1)
	poisonContent    = pool.Fingerprint(2)
)

// faultGracePeriod is how long after the end of a harmful fault an ejection still counts as correct.
// After a fault that makes requests hang, the request deadline is added, because such requests end
// that much later.
const faultGracePeriod = 10 * time.Second

// deriveSeed derives the seed of one run from the common seed and the names that identify the run.
func deriveSeed(seed uint64, names ...any) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, seed, names)
	return h.Sum64()
}

// NewSimulation returns a simulation of the pool with one observer per factory.
func NewSimulation(p Profile, seed uint64, factories ...BalancerFactory) *Simulation {
	s := &Simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		profile:      p,
		tableTargets: p.TableTargets(),
		byID:         make(map[table.TargetID]*Target),
		trackers:     make(map[int]*faultTracker),
	}
	for i, row := range s.tableTargets {
		t := &Target{ID: row.ID, index: i, slots: p.Slots, queueLimit: 4 * p.Slots, sim: s, coldSince: -1}
		s.targets = append(s.targets, t)
		s.byID[row.ID] = t
	}
	for i, factory := range factories {
		o := newObserver(s, factory(p, rand.New(rand.NewPCG(seed, uint64(2+i)))))
		s.observers = append(s.observers, o)
		o.start()
	}
	return s
}

// SetRate sets the callers' requests per second from now on.
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

// nextOwner returns, in turn, the observers that own the cell or contest it. During a partition,
// callers on both sides send requests.
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

// resetStats discards the request counts of the warm-up. Ejections, floor violations and slot
// violations during the warm-up still count.
func (s *Simulation) resetStats() {
	s.stats = Stats{
		ejections:       s.stats.ejections,
		floorViolations: s.stats.floorViolations,
		slotViolations:  s.stats.slotViolations,
	}
}

// Run advances the simulation by d.
func (s *Simulation) Run(d time.Duration) { s.clock.RunUntil(s.clock.Now()+pool.Time(d), nil) }

// slotSharer is implemented by balancers that limit their slots while another observer uses the same
// targets.
type slotSharer interface {
	SetShared(now pool.Time, shared bool)
}

// SetOwnership sets the ownership of observer i.
func (s *Simulation) SetOwnership(i int, newOwnership fleet.Ownership) {
	o := s.observers[i]
	o.ownership = newOwnership
	o.handle(func() {
		if c, ok := o.balancer.(slotSharer); ok {
			c.SetShared(s.clock.Now(), newOwnership == fleet.ContestedOwner)
		}
		o.balancer.SetOwnership(s.clock.Now(), newOwnership, false)
	})
}

// checkFloor counts a floor violation if the observers that place work have together ejected so many
// targets that fewer than the floor remain.
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

// countEjection counts an ejection. It is a false ejection if no fault of the target is harmful.
func (s *Simulation) countEjection(t *Target) {
	s.stats.ejections++
	if !t.harmful(faultGracePeriod) {
		s.falseEjections = append(s.falseEjections, t.ID)
	}
}

// countAvoidance counts a false avoidance if no fault of the target is harmful.
func (s *Simulation) countAvoidance(t *Target) {
	if !t.harmful(faultGracePeriod) {
		s.falseAvoidances++
	}
}

// faultTracker records how long one faulty target stays in use and when it returns.
type faultTracker struct {
	started pool.Time
	// idleSince is the time since which the target has received no ordinary work while avoided or
	// ejected. It is negative while the target serves.
	idleSince pool.Time
	// outAt and ejectedAt are when the target went out of use and when it was ejected; negative until
	// then.
	outAt, ejectedAt pool.Time
	// harmedStarts are the start times of ordinary attempts that the fault harmed.
	harmedStarts []pool.Time
	// endedAt is when the fault was switched off, and returnedAt when the target served again after that;
	// negative until then.
	endedAt, returnedAt pool.Time
}

// minOutOfUse is how long an avoided target must have had no work to count as out of use.
const minOutOfUse = time.Second

// StartTrackedFault switches a fault of target i on and tracks how long the target stays in use.
func (s *Simulation) StartTrackedFault(i int, f Fault) {
	now := s.clock.Now()
	tr := &faultTracker{started: now, idleSince: -1, outAt: -1, ejectedAt: -1, endedAt: -1, returnedAt: -1}
	s.trackers[i] = tr
	s.targets[i].startFault(f)
	s.trackPlacement(i, s.observers[0].placement[i])
}

// EndTrackedFault switches the fault of target i off.
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

// confirmOut marks the target as out of use if it has been idle for at least minOutOfUse.
func (tr *faultTracker) confirmOut(now pool.Time) {
	if tr.outAt < 0 && tr.idleSince >= 0 && now-tr.idleSince >= pool.Time(minOutOfUse) {
		tr.outAt = tr.idleSince
	}
}

// trackPlacement records a change of the placement of a tracked target.
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

// trackDispatch records that target i received ordinary work.
func (s *Simulation) trackDispatch(i int) {
	if tr := s.trackers[i]; tr != nil && tr.endedAt < 0 && tr.idleSince >= 0 && tr.outAt < 0 {
		tr.idleSince = s.clock.Now()
	}
}

// trackHarm records an ordinary attempt that a fault harmed.
func (s *Simulation) trackHarm(a *attempt) {
	if tr := s.trackers[a.target.index]; tr != nil && !a.trial {
		tr.harmedStarts = append(tr.harmedStarts, a.started)
	}
}

// affectedAttempts returns the number of harmed attempts that started before the target was out of
// use.
func (tr *faultTracker) affectedAttempts() int {
	n := 0
	for _, at := range tr.harmedStarts {
		if tr.outAt < 0 || at <= tr.outAt {
			n++
		}
	}
	return n
}

// lastHarmedStart returns when the last harmed attempt before the target was out of use started, as
// time since the fault began. It is earlier than outAt if the balancer steers work away before it
// avoids the target.
func (tr *faultTracker) lastHarmedStart() time.Duration {
	var last time.Duration
	for _, at := range tr.harmedStarts {
		if tr.outAt < 0 || at <= tr.outAt {
			last = time.Duration(at - tr.started)
		}
	}
	return last
}
