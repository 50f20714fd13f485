package quota

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// TestMain fixes rapid's seed, unless one is given, to make runs repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var simLimits = []Limit{{2, 2}, {5, 0}, {50, 50}, {245, 12}, {245, 245}, {3, 90}}

// Guards against a refusal of requests that come at random at nine tenths of the quota.
func TestCalmAccountIsServed(t *testing.T) {
	for _, limit := range simLimits {
		for _, n := range []int{1, 3, 6} {
			t.Run(fmt.Sprintf("%g/s burst %g, %d entries", limit.RatePerSecond, limit.Burst, n), func(t *testing.T) {
				is := is.New(t)
				s := newSim(7, n, limit, ledgerFaults{})
				s.run(8*time.Second, 0, n)
				s.run(60*time.Second, 0.9*limit.RatePerSecond, n)
				is.Equal(s.overQuota, 0)
				is.Equal(s.ownerLost, 0)
			})
		}
	}
}

// Guards against credit that is lost when an account sends far more than its quota.
func TestHotAccountGetsItsQuota(t *testing.T) {
	for _, limit := range simLimits {
		for _, n := range []int{1, 6} {
			t.Run(fmt.Sprintf("%g/s burst %g, %d entries", limit.RatePerSecond, limit.Burst, n), func(t *testing.T) {
				is := is.New(t)
				s := newSim(7, n, limit, ledgerFaults{})
				s.run(8*time.Second, 0, n)
				s.run(40*time.Second, 7*limit.RatePerSecond, n)
				is.True(float64(len(s.ran)) >= 0.9*40*limit.RatePerSecond)
				is.True(float64(s.most(0)) <= simTolerance.Bound(limit))
			})
		}
	}
}

// Guards against an owner and spenders that together let more run than the bound allows, whatever fails meanwhile.
func TestBoundHoldsInAnyPlay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		limit := rapid.SampledFrom([]Limit{{2, 2}, {5, 0}, {20, 5}, {50, 50}, {3, 90}}).Draw(t, "limit")
		s := newSim(rapid.Uint64().Draw(t, "seed"), n, limit, ledgerFaults{})
		demand := limit.RatePerSecond * rapid.SampledFrom([]float64{0.9, 3, 7}).Draw(t, "demand")
		entry := rapid.IntRange(0, n-1)
		s.run(8*time.Second, 0, n)
		lowered, lowerAt := limit, Time(0)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s.run(Time(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond, demand, n)
			i := entry.Draw(t, "entry")
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				s.start(i, lowered)
			case 1:
				for j := range n {
					s.start(j, lowered)
				}
			case 2:
				s.freeze(i)
			case 3:
				if s.nodes[i].frozen {
					s.resume(i)
				}
			case 4:
				s.split(rapid.IntRange(1, 3).Draw(t, "parts"), rapid.Bool().Draw(t, "oneWay"))
			case 5:
				s.cut[i][entry.Draw(t, "to")] = true
			case 6:
				if lowerAt == 0 {
					lowered = Limit{limit.RatePerSecond / 4, limit.Burst / 4}
					for _, node := range s.nodes {
						node.limit = lowered
					}
					lowerAt = s.now
				}
			}
		}
		for i := range n {
			if s.nodes[i].frozen {
				s.resume(i)
			}
		}
		s.run(8*time.Second, demand, n)
		if most := s.most(0); float64(most) > simTolerance.Bound(limit) {
			t.Fatalf("%d requests ran in a window, the bound is %v", most, simTolerance.Bound(limit))
		}
		if most := s.most(lowerAt + simTolerance.Window); lowerAt > 0 && float64(most) > simTolerance.Bound(lowered) {
			t.Fatalf("%d requests ran in a window, the lower bound is %v", most, simTolerance.Bound(lowered))
		}
	})
}

// split cuts the paths between parts of the fleet, or those from the lower parts to the higher ones; one part heals all.
func (s *sim) split(parts int, oneWay bool) {
	for i := range s.nodes {
		for j := range s.nodes {
			s.cut[i][j] = i%parts != j%parts && (!oneWay || i%parts < j%parts)
		}
	}
}

// Guards against a play of each kind that no longer finds the rule that prevents it: each must break the bound once its
// rule is off, and hold it otherwise.
func TestPlaysFindRulesThatAreOff(t *testing.T) {
	limit := Limit{RatePerSecond: 50, Burst: 300}
	plays := []struct {
		name   string
		faults ledgerFaults
		play   func(*sim)
	}{
		{"killed herd", ledgerFaults{fullStart: true}, func(s *sim) {
			for i := range s.nodes {
				s.start(i, limit)
			}
		}},
		{"frozen owner", ledgerFaults{noResume: true, fullStart: true}, func(s *sim) {
			s.freeze(0)
			s.run(4*time.Second, 400, 6)
			s.resume(0)
		}},
		{"split into three", ledgerFaults{noMajority: true}, func(s *sim) { s.split(3, false) }},
	}
	for _, p := range plays {
		for _, off := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, off %v", p.name, off), func(t *testing.T) {
				is := is.New(t)
				faults := ledgerFaults{}
				if off {
					faults = p.faults
				}
				s := newSim(3, 6, limit, faults)
				s.run(20*time.Second, 0, 6)
				s.run(2*time.Second, 400, 6)
				p.play(s)
				s.run(20*time.Second, 400, 6)
				is.Equal(float64(s.most(0)) > simTolerance.Bound(limit), off)
			})
		}
	}
}

// Guards against credit that a process spends after it did not run for a while.
func TestCreditExpires(t *testing.T) {
	is := is.New(t)
	limit := Limit{RatePerSecond: 100}
	s := Spender{Tolerance: simTolerance}
	_, w := s.Acquire(0, simAccount, limit, second)
	is.True(w != nil)
	ask := s.Asks()[0]
	ask.Want = 4
	s.Answer(time.Millisecond, ask, Grant{Credit: 4})
	is.Equal((<-w.Verdict).Kind, VerdictRun)
	v, _ := s.Acquire(CreditValidity-1, simAccount, limit, second)
	is.Equal(v.Kind, VerdictRun)
	_, w = s.Acquire(CreditValidity, simAccount, limit, second)
	is.True(w != nil)
}

// Guards against credit that is lost when a request is refused before it ran, and against expired credit that comes back.
func TestCreditIsGivenBack(t *testing.T) {
	is := is.New(t)
	limit := Limit{RatePerSecond: 2}
	s := Spender{Tolerance: simTolerance}
	_, w := s.Acquire(0, simAccount, limit, second)
	s.Answer(0, s.Asks()[0], Grant{Credit: 1})
	v := <-w.Verdict
	s.GiveBack(time.Millisecond, simAccount, v.Expires)
	again, _ := s.Acquire(2*time.Millisecond, simAccount, limit, second)
	is.Equal(again.Kind, VerdictRun)
	s.GiveBack(v.Expires, simAccount, again.Expires)
	_, w = s.Acquire(v.Expires, simAccount, limit, 2*second)
	is.True(w != nil)
}

// Guards against an entry that takes a standing from before it was suspended for the present one.
func TestLedgerAfterSuspension(t *testing.T) {
	is := is.New(t)
	l := Ledger{Tolerance: simTolerance}
	standing := Standing{Owned: []bool{true}, Links: []fleet.LinkCount{{Linked: 3, Known: 3, Self: true}}}
	for now := Time(0); now < 20*second; now += simTick {
		l.SetStanding(now, standing)
	}
	limit := Limit{RatePerSecond: 10, Burst: 100}
	is.True(l.Take(20*second, simAccount, limit, 20).Credit == 20)
	is.True(l.Take(25*second, simAccount, limit, 1).NotOwner)
	l.SetStanding(25*second, standing)
	is.True(l.Take(25*second, simAccount, limit, 1).NotOwner)
	for now := 25 * second; now <= 25*second+resumeDelay; now += simTick {
		l.SetStanding(now, standing)
	}
	is.Equal(l.Take(25*second+resumeDelay, simAccount, limit, 1).Credit, 0)
}

// Guards against a lower limit that leaves the credit of the higher one.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	l := Ledger{Tolerance: simTolerance}
	standing := Standing{Owned: []bool{true}, Links: []fleet.LinkCount{{Linked: 1, Known: 1, Self: true}}}
	for now := Time(0); now < 30*second; now += simTick {
		l.SetStanding(now, standing)
	}
	now := 30 * second
	is.Equal(l.Take(now, simAccount, Limit{RatePerSecond: 10, Burst: 100}, 1).Credit, 1)
	low := Limit{RatePerSecond: 1, Burst: 1}
	is.True(l.Take(now, simAccount, low, 1000).Credit <= int(simTolerance.Bound(low)))
}

// Guards against callers that are all told to come again at the same time.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	limit := Limit{RatePerSecond: 2}
	s := Spender{Tolerance: simTolerance}
	s.Acquire(0, simAccount, limit, second)
	s.Answer(0, s.Asks()[0], Grant{Retry: 900 * time.Millisecond})
	last := Time(0)
	for range 5 {
		v, w := s.Acquire(time.Millisecond, simAccount, limit, second/2)
		is.True(w == nil)
		is.Equal(v.Kind, VerdictOverQuota)
		is.True(v.Retry >= last+100*time.Millisecond)
		last = v.Retry
	}
}

// Guards against a throttle that lets less pass than the quota, or as much as comes.
func TestThrottle(t *testing.T) {
	is := is.New(t)
	var h Throttle
	admitted, passed, room := 0, 0, 0.0
	for i := range 70000 {
		now := Time(i) * time.Millisecond
		room = min(20, room+0.1)
		if _, ok := h.Admit(now, simAccount, float64(i*7919%1000)/1000); !ok {
			continue
		}
		admitted++
		if room >= 1 {
			room--
			passed++
			h.Passed(now, simAccount)
		} else {
			h.Refused(now, simAccount, second)
		}
	}
	is.True(passed >= 6800)
	is.True(admitted < 20000)
}

// Guards against buckets of accounts that no longer send, which would fill the memory.
func TestStateIsForgotten(t *testing.T) {
	is := is.New(t)
	l := Ledger{Tolerance: simTolerance}
	s := Spender{Tolerance: simTolerance}
	standing := Standing{Owned: []bool{true}, Links: []fleet.LinkCount{{Linked: 1, Known: 1, Self: true}}}
	for now := Time(0); now <= 100*second; now += simTick {
		l.SetStanding(now, standing)
		s.Tick(now)
		if now != 10*second {
			continue
		}
		for i := range 1000 {
			name := table.AccountName(fmt.Sprint("a", i))
			s.Acquire(now, name, Limit{RatePerSecond: 1}, now+second)
			for _, a := range s.Asks() {
				s.Answer(now, a, l.Take(now, name, a.Limit, a.Want))
			}
		}
		is.Equal(l.Size(), 1000)
		is.Equal(s.Size(), 1000)
	}
	is.Equal(l.Size(), 0)
	is.Equal(s.Size(), 0)
}
