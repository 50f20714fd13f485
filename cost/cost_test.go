package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/table"
)

func feature(route table.RouteName, account table.AccountName) Features {
	return Features{Route: route, Method: "GET", Account: account}
}

// near reports whether two times differ by at most the given factor.
func near(got, want time.Duration, factor float64) bool {
	return got > 0 && math.Abs(math.Log(float64(got)/float64(want))) <= math.Log(factor)
}

// Guards against estimates that rest on nothing, and against a route that is taken for unknown because its account is.
func TestUnknownRequests(t *testing.T) {
	is := is.New(t)
	var e Estimator
	is.Equal(e.Expected(feature("a", "x")), time.Duration(0))
	is.Equal(e.Estimate(feature("a", "x")).Remaining(1), 0.0)
	for i := range 200 {
		account := table.AccountName(fmt.Sprint(i % 5))
		e.Observe(feature("short", account), 100*time.Millisecond, 1)
		e.Observe(feature("long", account), 900*time.Millisecond, 1)
	}
	is.True(near(e.Expected(feature("short", "new")), 100*time.Millisecond, 1.3))
	is.True(near(e.Expected(feature("long", "new")), 900*time.Millisecond, 1.3))
	unknown := e.Expected(feature("other", "new"))
	is.True(unknown > 150*time.Millisecond && unknown < 900*time.Millisecond)
}

// Guards against an account with a new kind of request that stays misjudged, or whose cost spreads to other accounts.
func TestNewKindOfAnAccount(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(mean time.Duration) time.Duration {
		return time.Duration(float64(mean) * math.Exp(0.3*random.NormFloat64()))
	}
	for i := range 2000 {
		account := table.AccountName(fmt.Sprint(i % 20))
		service := 200 * time.Millisecond
		if i%20 < 5 {
			service = 600 * time.Millisecond // accounts differ, so that the account counts
		}
		e.Observe(feature("a", account), draw(service), 1)
	}
	export := feature("a", "19")
	export.Shape = ShapeOf("/a/export")
	for range 12 {
		e.Observe(export, draw(3*time.Second), 1)
		e.Observe(feature("a", "18"), draw(200*time.Millisecond), 1)
	}
	is.True(near(e.Expected(export), 3*time.Second, 1.7))
	is.True(near(e.Expected(feature("a", "19")), 200*time.Millisecond, 1.4))
	is.True(near(e.Expected(feature("a", "18")), 200*time.Millisecond, 1.4))
}

// pool simulates targets with a slowness each, whose service times are attributed as in package pool.
type simPool struct {
	estimator Estimator
	speeds    Speeds
	targets   []*Speed
	slowness  []float64
	random    *rand.Rand
}

func newSimPool(targets int) *simPool {
	p := &simPool{random: rand.New(rand.NewPCG(1, 1))}
	for range targets {
		p.targets = append(p.targets, &Speed{})
		p.slowness = append(p.slowness, 1)
	}
	return p
}

func (p *simPool) serve(f Features, target int, work time.Duration) {
	service := float64(work) * p.slowness[target] * math.Exp(0.4*p.random.NormFloat64())
	s := p.targets[target]
	if e := p.estimator.Estimate(f); e.Known() {
		p.speeds.Observe(s, math.Log(service/float64(time.Second))-e.LogMedian(), 0)
	}
	p.estimator.Observe(f, time.Duration(service/s.Slowness()), s.Confidence())
	p.speeds.Settle(func(yield func(*Speed) bool) {
		for _, s := range p.targets {
			if !yield(s) {
				return
			}
		}
	})
}

// Guards against the slowness of a target in the cost of a route that is served there alone, and against the cost of a
// route in the slowness of the target that serves it.
func TestSlowTargetAndCostlyRouteAreToldApart(t *testing.T) {
	is := is.New(t)
	p := newSimPool(10)
	p.slowness[0] = 5
	for i := range 3000 {
		p.serve(feature("common", "x"), i%10, 200*time.Millisecond)
		if i >= 1000 && i%10 == 0 {
			p.serve(feature("rare", "x"), 0, 200*time.Millisecond)
			p.serve(feature("costly", "x"), 1, 2*time.Second)
		}
	}
	is.True(p.targets[0].Slowness() > 3.5 && p.targets[0].Slowness() < 7)
	is.True(near(p.estimator.Expected(feature("rare", "x")), 200*time.Millisecond, 1.6))
	is.True(p.targets[1].Slowness() < 1.3)
	is.True(near(p.estimator.Expected(feature("costly", "x")), 2*time.Second, 1.5))
}

// Guards against preferring some of equal targets because of chance.
func TestEqualTargetsStayEqual(t *testing.T) {
	is := is.New(t)
	p := newSimPool(20)
	for i := range 10_000 {
		p.serve(feature("a", "x"), i%20, 200*time.Millisecond)
	}
	for _, s := range p.targets {
		is.True(math.Abs(s.LogSlowness()) < 0.12)
	}
}

// Guards against taking the work that is left for the mean less the age. Of requests of which 3% take seven times as
// long, an old one is one of these.
func TestRemainingWorkGrowsWithAge(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(1, 1))
	const typical = 200 * time.Millisecond
	for range 20_000 {
		factor := math.Exp(0.2 * random.NormFloat64())
		if random.Float64() < 0.03 {
			factor *= 7
		}
		e.Observe(feature("a", "x"), time.Duration(factor*float64(typical)), 1)
	}
	estimate := e.Estimate(feature("a", "x"))
	young, due, old := estimate.Remaining(0.1), estimate.Remaining(0.2), estimate.Remaining(0.45)
	is.True(estimate.Seconds() > young && due < 0.17)
	is.True(old > 0.7 && old < 1.1) // 1.4 s in all, on average
	is.True(estimate.Remaining(100) >= 50)
}

// Guards against memory that grows with the number of routes and accounts, and against estimates that aren't numbers.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for i := range 200_000 {
		e.Observe(feature(table.RouteName(fmt.Sprint(i%55_000)), table.AccountName(fmt.Sprint(i))), time.Second, 1)
	}
	is.True(len(e.nodes) <= maxNodes && len(e.index) == len(e.nodes))
	is.True(e.distributions <= maxDistributions)
	rapid.Check(t, func(t *rapid.T) {
		var e Estimator
		var last Features
		for range rapid.IntRange(1, 100).Draw(t, "samples") {
			last = feature(table.RouteName(rapid.StringN(0, 2, 2).Draw(t, "route")), "x")
			e.Observe(last, time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "service")), rapid.Float64Range(0, 1).Draw(t, "weight"))
		}
		estimate := e.Estimate(last)
		age := rapid.Float64Range(0, 1e6).Draw(t, "age")
		if left := estimate.Remaining(age); math.IsNaN(left) || math.IsInf(left, 0) || left < 0 || estimate.Known() && left == 0 {
			t.Fatalf("remaining work %v at age %v", left, age)
		}
	})
}

func TestShapeOf(t *testing.T) {
	for _, c := range []struct {
		a, b string
		same bool
	}{
		{"/records/17", "/records/18?full=1", true},
		{"/records/5f2e9c1a", "/records/17", true},
		{"/records/17/wave", "/records/17", false},
		{"/v1/records", "/v2/records", false},
		{"/records", "/events", false},
		{"/a/b", "/b/a", false},
	} {
		t.Run(c.a+" "+c.b, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ShapeOf(c.a) == ShapeOf(c.b), c.same)
		})
	}
}

func TestSizeClassOf(t *testing.T) {
	is := is.New(t)
	for length, class := range map[int64]SizeClass{-1: UnknownSize, 0: 0, 1: 1, 255: 1, 256: 2, 1023: 2, 1024: 3, 4095: 3, 4096: 4} {
		is.Equal(SizeClassOf(length), class)
	}
}
