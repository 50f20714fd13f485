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

// detectionOf returns one run of a single fault.
func detectionOf(p Profile, l Load, name string) detectionJob {
	i := slices.IndexFunc(singles, func(c scenario) bool { return c.name == name })
	return detectionJob{subject{p, l, Own}, singles[i], 1, 1}
}

// Guards against figures that depend on goroutines or map order, so that a seed can't be rerun.
func TestSameSeedSameFigures(t *testing.T) {
	is := is.New(t)
	jobs := []detectionJob{
		detectionOf(Profiles[0], Peak, "failsFast"),
		detectionOf(Profiles[1], Day, "slow4"),
		detectionOf(Profiles[3], Peak, "crash"),
	}
	printed := func(workers int, seed uint64) string {
		var out bytes.Buffer
		emit := Print(&out)
		for _, l := range each(Options{Workers: workers}, jobs, func(j detectionJob) []Line { return j.measure(seed) }) {
			is.NoErr(emit(l))
		}
		return out.String()
	}
	first := printed(1, 7)
	is.Equal(first, printed(3, 7))
	is.True(first != printed(1, 8)) // the seed must reach the runs
}

// Guards against a fake whose work differs from the stated distribution, which would make loads and
// goals mean something else.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	const samples = 400_000
	random := rand.New(rand.NewPCG(1, 2))
	factors := make([]float64, samples)
	sum := 0.0
	for i := range factors {
		factors[i] = serviceTime(random, time.Second).Seconds()
		sum += factors[i]
	}
	is.True(math.Abs(quantile(factors, 0.5)-1) < 0.02)
	is.True(math.Abs(sum/samples-meanFactor) < 0.02)
	// A plain log-normal with the same sigma has its 99.9th percentile at 4.7.
	is.True(quantile(factors, 0.999) > 5.5)
}

// Guards against fakes that fail more or less often than stated, with and without a fault.
func TestFailureRatio(t *testing.T) {
	for _, test := range []struct {
		fault FaultName
		ratio float64
	}{{"", 0.005}, {"fails20", 0.204}, {"failsFast", 1}, {"truncates", 1}, {"slow4", 0.005}} {
		t.Run(string(test.fault), func(t *testing.T) {
			is := is.New(t)
			w := NewWorld(Profiles[0], 3, Makers[RoundRobin])
			if test.fault != "" {
				onTargets(test.fault, len(w.targets))(w)
			}
			w.SetRate(Day.Rate(w.profile))
			w.Run(10 * time.Minute)
			ended := w.stats.good + w.stats.failed
			is.True(ended > 50_000)
			is.True(math.Abs(float64(w.stats.failed)/float64(ended)-test.ratio) < 0.005)
		})
	}
}

// Guards against an offered load other than the stated share of the slots.
func TestLoadShare(t *testing.T) {
	is := is.New(t)
	w := NewWorld(Profiles[1], 5, Makers[LeastInFlight])
	w.SetRate(Peak.Rate(w.profile))
	busy, samples := 0, 0
	for range 2_000 {
		w.Run(100 * time.Millisecond)
		samples++
		for _, target := range w.targets {
			busy += len(target.inService)
		}
	}
	share := float64(busy) / float64(samples*w.profile.Targets*w.profile.Slots)
	is.True(math.Abs(share-peakShare) < 0.02)
}

// Guards against events that run out of order, between the heap and the queue of deadlines too.
func TestClockOrder(t *testing.T) {
	is := is.New(t)
	var clock Clock
	random := rand.New(rand.NewPCG(1, 1))
	var ran []pool.Time
	note := func() { ran = append(ran, clock.Now()) }
	for range 500 {
		clock.After(time.Duration(random.IntN(1_000)), func() {
			note()
			clock.AfterInOrder(400, note)
			clock.After(time.Duration(random.IntN(50)), note)
		})
	}
	clock.RunUntil(5_000, nil)
	is.Equal(len(ran), 1_500)
	is.True(slices.IsSorted(ran))
	is.Equal(clock.Now(), pool.Time(5_000))
}

// faulty is a chooser with rules switched off.
type faulty struct {
	Baseline
	// ejectOnFailure ejects without limit; fullRetries retries every failure once.
	ejectOnFailure, fullRetries bool
	// forgetsDrain uses leaving targets; refuses refuses three of four requests.
	forgetsDrain, refuses bool
	submitted             int
	retried               map[pool.RequestID]bool
}

func (f *faulty) Update(now pool.Time, targets []table.Target, floor int) {
	if f.forgetsDrain {
		targets = slices.Clone(targets)
		for i := range targets {
			targets[i].Leaving = false
		}
	}
	f.Baseline.Update(now, targets, floor)
}

func (f *faulty) Signal(now pool.Time, target table.TargetID, s pool.Signal) {
	if !f.forgetsDrain {
		f.Baseline.Signal(now, target, s)
	}
}

func (f *faulty) Submit(now pool.Time, r pool.Request) {
	f.submitted++
	if f.refuses && f.submitted%4 != 0 {
		f.decisions = append(f.decisions, pool.Decision{Kind: pool.DecisionRefuse, Request: r.ID})
		return
	}
	f.Baseline.Submit(now, r)
}

func (f *faulty) Finish(now pool.Time, id pool.RequestID, o pool.Outcome) {
	t := f.running[id]
	failed := o.Kind != pool.OutcomeSuccess
	if failed && f.ejectOnFailure && t.usable() {
		t.ejectedUntil = now + pool.Time(time.Hour)
		f.events = append(f.events, pool.Event{At: now, Kind: pool.EventEjected, Target: t.id})
	}
	if failed && f.fullRetries && !f.retried[id] {
		f.retried[id] = true
		f.decisions = append(f.decisions, pool.Decision{Kind: pool.DecisionRun, Request: id, Target: t.id, Attempt: 2})
		return
	}
	f.Baseline.Finish(now, id, o)
}

// Guards against checks that can't fail: each rule that is switched off must fail the figure that
// watches it.
func TestKnownBadChoosersMissTheirBounds(t *testing.T) {
	inTurn := func() *faulty {
		return &faulty{Baseline: Baseline{Pick: pickInTurn}, retried: make(map[pool.RequestID]bool)}
	}
	hasty := func() *faulty { f := inTurn(); f.ejectOnFailure = true; return f }
	lookup := Profiles[3]
	detection := func(l Load, name string) func() []Line {
		return func() []Line { return detectionOf(lookup, l, name).measure(1) }
	}
	own := subject{lookup, Peak, Own}
	noise := func() []Line {
		s := &sheet{labels: Labels{Policy: Own}}
		noiseLines(s, []noiseRun{noiseJob{own, 0}.run(1, 0.001)})
		return s.lines
	}
	quiet := func(name string) func() []Line {
		i := slices.IndexFunc(troubles, func(t trouble) bool { return t.name == name })
		return func() []Line { return quietJob{own, troubles[i]}.measure(1) }
	}
	tests := []struct {
		figure string
		make   func() *faulty
		run    func() []Line
	}{
		{"seconds.p99", inTurn, detection(Peak, "failsFast")},
		{"seconds.p99", inTurn, detection(Day, "slow4")},
		{"undetected", inTurn, detection(Day, "fails20")},
		{"affected.p99", inTurn, detection(Night, "failsFast")},
		{"falseEjections", hasty, noise},
		{"falseEjections", hasty, quiet("peakTwiceCapacity")},
		{"floorViolations", hasty, outageJob{own, "failsFast"}.measureOne},
		{"floorViolations", hasty, viewJob{own, views[0]}.measureOne},
		{"retries", func() *faulty { f := inTurn(); f.fullRetries = true; return f }, outageJob{own, "failsFast"}.measureOne},
		{"slotViolations", inTurn, func() []Line { return measureOverload(1, own) }},
		{"goodput", func() *faulty { f := inTurn(); f.refuses = true; return f }, func() []Line { return measureOverload(1, own) }},
		{"crashes.most", inTurn, func() []Line { return measurePoison(1, own) }},
		{"ejections", hasty, func() []Line { return measurePoison(1, own) }},
		{"signal.work", func() *faulty { f := inTurn(); f.forgetsDrain = true; return f }, func() []Line { return measureDrain(1, own) }},
		{"table.seconds", func() *faulty { f := inTurn(); f.forgetsDrain = true; return f }, func() []Line { return measureDrain(1, own) }},
	}
	cell := Makers[Own]
	t.Cleanup(func() { Makers[Own] = cell })
	for _, test := range tests {
		t.Run(test.figure, func(t *testing.T) {
			is := is.New(t)
			Makers[Own] = func(Profile, *rand.Rand) Chooser { return test.make() }
			lines := test.run()
			is.True(slices.ContainsFunc(lines, func(l Line) bool { return l.Name == test.figure && l.Failed() }))
		})
	}
}

func (j outageJob) measureOne() []Line { return j.measure(1) }
func (j viewJob) measureOne() []Line   { return j.measure(1) }

// Guards against an experiment name that is misspelt and runs nothing.
func TestUnknownExperiment(t *testing.T) {
	is := is.New(t)
	err := Run(Options{Only: "none"}, func(Line) error { return nil })
	is.True(Error.Has(err))
}
