package measure

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// newDetectionJob returns a job with one run of a single fault.
func newDetectionJob(p Profile, l Load, name string) detectionJob {
	i := slices.IndexFunc(singleFaults, func(c scenario) bool { return c.name == name })
	return detectionJob{subject{p, l, CellPolicy}, singleFaults[i], 1, 1}
}

// Guards against results that depend on goroutine scheduling or map order, so that a run can't be
// reproduced from its seed.
func TestSameSeedSameFigures(t *testing.T) {
	is := is.New(t)
	jobs := []detectionJob{
		newDetectionJob(Profiles[0], Peak, "failsFast"),
		newDetectionJob(Profiles[1], Day, "slow4"),
		newDetectionJob(Profiles[3], Peak, "crash"),
	}
	printed := func(workers int, seed uint64) string {
		var out bytes.Buffer
		emit := Print(&out)
		for _, r := range runAll(Options{Workers: workers}, jobs, func(j detectionJob) []Result { return j.measure(seed) }) {
			is.NoErr(emit(r))
		}
		return out.String()
	}
	first := printed(1, 7)
	is.Equal(first, printed(3, 7))
	is.True(first != printed(1, 8)) // the seed must reach the runs
}

// Guards against simulated service times that differ from the documented distribution, which would
// change the meaning of loads and goals.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	const samples = 400_000
	random := rand.New(rand.NewPCG(1, 2))
	factors := make([]float64, samples)
	sum := 0.0
	for i := range factors {
		factors[i] = drawServiceTime(random, time.Second).Seconds()
		sum += factors[i]
	}
	is.True(math.Abs(quantile(factors, 0.5)-1) < 0.02)
	is.True(math.Abs(sum/samples-meanServiceFactor) < 0.02)
	// A plain log-normal with the same sigma has its 99.9th percentile at 4.7.
	is.True(quantile(factors, 0.999) > 5.5)
}

// Guards against simulated targets that fail more or less often than documented, with and without a
// fault.
func TestFailureRatio(t *testing.T) {
	for _, test := range []struct {
		fault FaultName
		ratio float64
	}{{"", 0.005}, {"fails20", 0.204}, {"failsFast", 1}, {"truncates", 1}, {"slow4", 0.005}} {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			sim := NewSimulation(Profiles[0], 3, BalancerFactories[RoundRobin])
			if test.fault != "" {
				startFaultOn(test.fault, len(sim.targets))(sim)
			}
			sim.SetRate(Day.Rate(sim.profile))
			sim.Run(10 * time.Minute)
			ended := sim.stats.succeeded + sim.stats.failed
			is.True(ended > 50_000)
			is.True(math.Abs(float64(sim.stats.failed)/float64(ended)-test.ratio) < 0.005)
		})
	}
}

// Guards against an offered load that differs from the documented fraction of the slots.
func TestLoadShare(t *testing.T) {
	is := is.New(t)
	sim := NewSimulation(Profiles[1], 5, BalancerFactories[LeastInFlight])
	sim.SetRate(Peak.Rate(sim.profile))
	busy, samples := 0, 0
	for range 2_000 {
		sim.Run(100 * time.Millisecond)
		samples++
		for _, target := range sim.targets {
			busy += len(target.inService)
		}
	}
	busyFraction := float64(busy) / float64(samples*sim.profile.Targets*sim.profile.Slots)
	is.True(math.Abs(busyFraction-peakUtilization) < 0.02)
}

// Guards against events that run out of order, also between the heap and the FIFO queue.
func TestClockOrder(t *testing.T) {
	is := is.New(t)
	var clock Clock
	random := rand.New(rand.NewPCG(1, 1))
	var ran []pool.Time
	record := func() { ran = append(ran, clock.Now()) }
	for range 500 {
		clock.After(time.Duration(random.IntN(1_000)), func() {
			record()
			clock.AfterInOrder(400, record)
			clock.After(time.Duration(random.IntN(50)), record)
		})
	}
	clock.RunUntil(5_000, nil)
	is.Equal(len(ran), 1_500)
	is.True(slices.IsSorted(ran))
	is.Equal(clock.Now(), pool.Time(5_000))
}

// brokenBalancer is a baseline without some of the rules.
type brokenBalancer struct {
	Baseline
	// unlimitedEjections ejects a target on each failure without limit; unlimitedRetries retries every
	// failed request once.
	unlimitedEjections, unlimitedRetries bool
	// ignoresDrain keeps using targets that are leaving; refusesMost refuses three of four requests.
	ignoresDrain, refusesMost bool
	submitted                 int
	retried                   map[pool.RequestID]bool
}

func (b *brokenBalancer) Update(now pool.Time, targets []table.Target, floor int) {
	if b.ignoresDrain {
		targets = slices.Clone(targets)
		for i := range targets {
			targets[i].Leaving = false
		}
	}
	b.Baseline.Update(now, targets, floor)
}

func (b *brokenBalancer) Signal(now pool.Time, target table.TargetID, s pool.Signal) {
	if !b.ignoresDrain {
		b.Baseline.Signal(now, target, s)
	}
}

func (b *brokenBalancer) Submit(now pool.Time, r pool.Request) {
	b.submitted++
	if b.refusesMost && b.submitted%4 != 0 {
		b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionRefuse, Request: r.ID})
		return
	}
	b.Baseline.Submit(now, r)
}

func (b *brokenBalancer) Finish(now pool.Time, id pool.RequestID, o pool.Outcome) {
	t := b.running[id]
	failed := o.Kind != pool.OutcomeSuccess
	if failed && b.unlimitedEjections && t.usable() {
		t.ejectedUntil = now + pool.Time(time.Hour)
		b.events = append(b.events, pool.Event{At: now, Kind: pool.EventEjected, Target: t.id})
	}
	if failed && b.unlimitedRetries && !b.retried[id] {
		b.retried[id] = true
		b.decisions = append(b.decisions, pool.Decision{Kind: pool.DecisionRun, Request: id, Target: t.id, Attempt: 2})
		return
	}
	b.Baseline.Finish(now, id, o)
}

// Guards against bounds that can't be missed: a balancer without a rule must miss the bound that
// checks the rule.
func TestBrokenBalancersMissTheirBounds(t *testing.T) {
	roundRobin := func() *brokenBalancer {
		return &brokenBalancer{Baseline: Baseline{Pick: pickRoundRobin}, retried: make(map[pool.RequestID]bool)}
	}
	ejecting := func() *brokenBalancer { b := roundRobin(); b.unlimitedEjections = true; return b }
	lookup := Profiles[3]
	detection := func(load Load, name string) func() []Result {
		return func() []Result { return newDetectionJob(lookup, load, name).measure(1) }
	}
	onCell := subject{lookup, Peak, CellPolicy}
	noise := func() []Result {
		rec := &resultRecorder{labels: Labels{Policy: CellPolicy}}
		addNoiseResults(rec, []noiseRun{noiseJob{onCell, 0}.run(1, 0.001)})
		return rec.results
	}
	quiet := func(name string) func() []Result {
		i := slices.IndexFunc(disturbances, func(d disturbance) bool { return d.name == name })
		return func() []Result { return quietJob{onCell, disturbances[i]}.measure(1) }
	}
	tests := []struct {
		figure string
		make   func() *brokenBalancer
		run    func() []Result
	}{
		{"seconds.p99", roundRobin, detection(Peak, "failsFast")},
		{"seconds.p99", roundRobin, detection(Day, "slow4")},
		{"undetected", roundRobin, detection(Day, "fails20")},
		{"affected.p99", roundRobin, detection(Night, "failsFast")},
		{"falseEjections", ejecting, noise},
		{"falseEjections", ejecting, quiet("peakTwiceCapacity")},
		{"floorViolations", ejecting, outageJob{onCell, "failsFast"}.measureOne},
		{"floorViolations", ejecting, ownershipJob{onCell, ownershipChanges[0]}.measureOne},
		{"retries", func() *brokenBalancer { b := roundRobin(); b.unlimitedRetries = true; return b }, outageJob{onCell, "failsFast"}.measureOne},
		{"slotViolations", roundRobin, func() []Result { return measureOverload(1, onCell) }},
		{"goodput", func() *brokenBalancer { b := roundRobin(); b.refusesMost = true; return b }, func() []Result { return measureOverload(1, onCell) }},
		{"crashes.most", roundRobin, func() []Result { return measurePoison(1, onCell) }},
		{"ejections", ejecting, func() []Result { return measurePoison(1, onCell) }},
		{"signal.work", func() *brokenBalancer { b := roundRobin(); b.ignoresDrain = true; return b }, func() []Result { return measureDrain(1, onCell) }},
		{"table.seconds", func() *brokenBalancer { b := roundRobin(); b.ignoresDrain = true; return b }, func() []Result { return measureDrain(1, onCell) }},
	}
	original := BalancerFactories[CellPolicy]
	t.Cleanup(func() { BalancerFactories[CellPolicy] = original })
	for _, test := range tests {
		t.Run(test.figure, func(t *testing.T) {
			is := is.New(t)
			BalancerFactories[CellPolicy] = func(Profile, *rand.Rand) Balancer { return test.make() }
			results := test.run()
			is.True(slices.ContainsFunc(results, func(r Result) bool { return r.Name == test.figure && r.Failed() }))
		})
	}
}

func (j outageJob) measureOne() []Result    { return j.measure(1) }
func (j ownershipJob) measureOne() []Result { return j.measure(1) }

// Guards against a misspelled experiment name that runs nothing.
func TestUnknownExperiment(t *testing.T) {
	is := is.New(t)
	err := Run(Options{Only: "none"}, func(Result) error { return nil })
	is.True(Error.Has(err))
}
