package measure

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Policies of the experiment "cost" besides CellPolicy, RoundRobin and LeastInFlight, which is a cell that doesn't know
// of costs.
const (
	TwoChoices PolicyName = "twoChoices"
	// Oracle knows the work of each request and the speed of each target, and chooses the earliest completion among the
	// targets with a free slot.
	Oracle PolicyName = "oracle"
)

var costPolicies = []PolicyName{CellPolicy, RoundRobin, LeastInFlight, TwoChoices, Oracle}

// Loads of the experiment, as fractions of the capacity.
var costUtilizations = []float64{0.7, 0.95}

// Parameters of the experiment "cost". The aim and the deadline are in units of the mean work.
const (
	costWarmUp   = 60 * time.Second
	costDuration = 240 * time.Second
	// relearnDuration is how long is measured after a change of the owner.
	relearnDuration = 20 * time.Second
	costAim         = 4.0
	costDeadline    = 20.0
	// costEpisode makes cells track failure episodes, as on the platform. None occur.
	costEpisode = 6000
	costSeeds   = 3
	// relearnSeeds make up for the short time that is measured after a change of the owner.
	relearnSeeds = 24
	// goalOfOracle is how much of the way from LeastInFlight to Oracle the choice by cost is to go.
	goalOfOracle = 0.5
	// minGap is the distance between the two, relative to LeastInFlight, below which the way means nothing. The choice
	// by cost is then to do no harm beyond maxHarm.
	minGap  = 0.01
	maxHarm = 0.02
)

// costPool places the requests of one run.
type costPool interface {
	submit(r *costRequest)
	finish(r *costRequest, at *costTarget)
	tick()
}

// costRun is one run: targets, callers, and a policy.
type costRun struct {
	clock       Clock
	load        *costLoad
	callers     *callers
	targets     []*costTarget
	policy      costPool
	aim, limit  float64
	measureFrom float64
	latencies   []float64
	inTime      int
}

// costFigures are the result of one run.
type costFigures struct {
	p99, inTime float64
}

func (s *costRun) now() float64 { return time.Duration(s.clock.Now()).Seconds() }

func (s *costRun) after(seconds float64, fn func()) {
	s.clock.After(time.Duration(seconds*float64(time.Second)), fn)
}

func runCostLoad(l *costLoad, utilization float64, policy PolicyName, seed uint64) costFigures {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &costRun{load: l, targets: l.targets(random), callers: newCallers(l, rand.New(rand.NewPCG(seed, 2)))}
	mean := s.callers.meanWork()
	s.aim, s.limit, s.measureFrom = costAim*mean, costDeadline*mean, costWarmUp.Seconds()
	s.policy = newCostPool(policy, s, seed)
	arrivals := rand.New(rand.NewPCG(seed, 3))
	rate := utilization * capacity(s.targets) / mean
	var arrive func()
	id := uint64(0)
	arrive = func() {
		s.after(arrivals.ExpFloat64()/rate, arrive)
		r := s.callers.draw()
		id++
		r.id, r.submitted, r.left = id, s.now(), r.work
		s.policy.submit(r)
	}
	var tick func()
	tick = func() {
		s.policy.tick()
		s.clock.After(tickInterval, tick)
	}
	tick()
	arrive()
	if l.slowEpisodes {
		s.scheduleEpisode(random)
	}
	s.clock.RunUntil(pool.Time(costWarmUp), nil)
	if l.ownerChange {
		if cell, ok := s.policy.(*costCell); ok {
			s.policy = cell.successor()
		}
	}
	duration := costDuration
	if l.ownerChange {
		duration = relearnDuration
	}
	s.clock.RunUntil(pool.Time(costWarmUp+duration), nil)
	return costFigures{p99: quantile(s.latencies, 0.99), inTime: percent(s.inTime, len(s.latencies))}
}

// scheduleEpisode makes some targets slow for a time, again and again.
func (s *costRun) scheduleEpisode(random *rand.Rand) {
	for _, t := range s.targets {
		if random.Float64() >= episodeFraction {
			continue
		}
		s.setSpeed(t, t.speed/episodeFactor)
		s.after(episodeLength, func() { s.setSpeed(t, t.speed*episodeFactor) })
	}
	s.after(episodeInterval, func() { s.scheduleEpisode(random) })
}

func (s *costRun) setSpeed(t *costTarget, speed float64) {
	t.advance(s.now())
	t.speed = speed
	s.schedule(t)
}

// start begins a request at a target, which may queue it.
func (s *costRun) start(t *costTarget, r *costRequest) {
	t.advance(s.now())
	r.started = s.now()
	if len(t.running) >= costSlots {
		if len(t.waiting) >= costQueueLimit {
			s.end(r, false)
			s.policy.finish(r, t)
			return
		}
		t.waiting = append(t.waiting, r)
		return
	}
	t.running = append(t.running, r)
	s.schedule(t)
}

func (s *costRun) schedule(t *costTarget) {
	t.generation++
	at, first := t.next()
	if first == nil {
		return
	}
	generation := t.generation
	s.after(at-s.now(), func() {
		if generation == t.generation {
			s.complete(t, first)
		}
	})
}

func (s *costRun) complete(t *costTarget, r *costRequest) {
	t.advance(s.now())
	for i, o := range t.running {
		if o == r {
			t.running = append(t.running[:i], t.running[i+1:]...)
			break
		}
	}
	for len(t.waiting) > 0 && len(t.running) < costSlots {
		t.running = append(t.running, t.waiting[0])
		t.waiting = t.waiting[1:]
	}
	s.schedule(t)
	s.end(r, true)
	s.policy.finish(r, t)
}

// end counts a request. One that was not served counts as taking until its deadline.
func (s *costRun) end(r *costRequest, served bool) {
	if r.submitted < s.measureFrom {
		return
	}
	took := min(s.limit, s.now()-r.submitted)
	if !served {
		took = s.limit
	}
	s.latencies = append(s.latencies, took)
	if took <= s.aim {
		s.inTime++
	}
}

// costJob is one load at one utilization.
type costJob struct {
	load        *costLoad
	utilization float64
}

// runCost compares the choice of targets by expected completion with baselines and an oracle.
func runCost(o Options) ([]Result, error) {
	var jobs []costJob
	for i := range costLoads {
		for _, u := range costUtilizations {
			jobs = append(jobs, costJob{&costLoads[i], u})
		}
	}
	return runAll(o, jobs, func(j costJob) []Result { return j.measure(o.Seed) }), nil
}

func (j costJob) measure(seed uint64) []Result {
	var results []Result
	means := make(map[PolicyName]costFigures)
	label := percentName(j.utilization)
	seeds := costSeeds
	if j.load.ownerChange {
		seeds = relearnSeeds
	}
	for _, policy := range costPolicies {
		var sum costFigures
		for i := range seeds {
			f := runCostLoad(j.load, j.utilization, policy, deriveSeed(seed, "cost", j.load.name, j.utilization, i))
			sum.p99 += f.p99 / float64(seeds)
			sum.inTime += f.inTime / float64(seeds)
		}
		means[policy] = sum
		rec := j.recorder(seed, label, policy)
		rec.add("p99", sum.p99, unitSeconds)
		rec.add("inTime", sum.inTime, unitPercent)
		results = append(results, rec.results...)
	}
	own, least, oracle := means[CellPolicy], means[LeastInFlight], means[Oracle]
	rec := j.recorder(seed, label, CellPolicy)
	rec.compare("p99", least.p99, own.p99, oracle.p99)
	rec.compare("notInTime", 100-least.inTime, 100-own.inTime, 100-oracle.inTime)
	return append(results, rec.results...)
}

func (j costJob) recorder(seed uint64, label string, policy PolicyName) *resultRecorder {
	return &resultRecorder{seed: seed, labels: Labels{Pool: j.load.name, Load: Load(label), Policy: policy}}
}

// compare records how much of the way from least to oracle the policy goes, of a figure that is better if lower. Where
// there is no way to go, it records by how much the policy is worse than least.
func (r *resultRecorder) compare(name string, least, own, oracle float64) {
	if least-oracle > minGap*least {
		r.atLeast(name+".ofOracle", (least-own)/(least-oracle), unitRatio, goalOfOracle)
		return
	}
	harm := 0.0
	if least > 0 {
		harm = own/least - 1
	}
	r.atMost(name+".harm", harm, unitRatio, maxHarm)
}

func percentName(utilization float64) string {
	if utilization == 0.7 {
		return "70%"
	}
	return "95%"
}

// costCell places requests by a pool.Cell.
type costCell struct {
	run       *costRun
	seed      uint64
	costAware bool
	cell      *pool.Cell
	requests  map[pool.RequestID]*costRequest
	// former is the cell of the former owner, with its requests in flight.
	former *costCell
}

func newCostCell(s *costRun, seed uint64, costAware bool) *costCell {
	c := &costCell{run: s, seed: seed, costAware: costAware, requests: make(map[pool.RequestID]*costRequest)}
	c.cell = &pool.Cell{
		Key:            fleet.CellKey{Pool: "pool"},
		Policy:         table.Policy{FalseEjectionEveryHours: kiesbankFalseEjectionHours, SpellMs: costEpisode, CostAware: costAware},
		SlotsPerTarget: costSlots, Floor: costTargets / 2, Random: rand.New(rand.NewPCG(seed, 4)),
	}
	var rows []table.Target
	for _, t := range s.targets {
		rows = append(rows, table.Target{ID: t.id, Slots: costSlots})
	}
	now := s.clock.Now()
	c.cell.Update(now, rows, costTargets/2)
	c.cell.SetOwnership(now, fleet.ExclusiveOwner, false)
	return c
}

// successor is the cell of a new owner, which knows nothing of the requests that the former one has in flight.
func (c *costCell) successor() *costCell {
	next := newCostCell(c.run, c.seed+1, c.costAware)
	next.former = c
	return next
}

func (c *costCell) submit(r *costRequest) {
	id := pool.RequestID(r.id)
	c.requests[id] = r
	c.cell.Submit(c.run.clock.Now(), pool.Request{
		ID: id, Route: r.features.Route, Cost: r.features,
		Deadline: c.run.clock.Now() + pool.Time(c.run.limit*float64(time.Second)),
	})
	c.apply()
}

func (c *costCell) finish(r *costRequest, _ *costTarget) {
	id := pool.RequestID(r.id)
	if c.requests[id] == nil && c.former != nil {
		c.former.finish(r, nil)
		return
	}
	took := c.run.now() - r.started
	c.cell.Finish(c.run.clock.Now(), id, pool.Outcome{
		Kind: pool.OutcomeSuccess, Written: true, ServiceTime: time.Duration(took * float64(time.Second)),
	})
	c.apply()
}

func (c *costCell) tick() {
	if c.former != nil {
		c.former.tick()
	}
	c.cell.Tick(c.run.clock.Now())
	c.apply()
}

func (c *costCell) apply() {
	c.cell.Events()
	for _, d := range c.cell.Decisions() {
		r := c.requests[d.Request]
		switch d.Kind {
		case pool.DecisionRun:
			for _, t := range c.run.targets {
				if t.id == d.Target {
					c.run.start(t, r)
				}
			}
		case pool.DecisionRefuse:
			c.run.end(r, false)
			delete(c.requests, d.Request)
		case pool.DecisionFinal:
			delete(c.requests, d.Request)
		}
	}
}
