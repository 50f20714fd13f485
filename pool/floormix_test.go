package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// floorSpan is the span over which operators assess the floor of targets in use.
	floorSpan = Time(2 * time.Second)
	// floorShare is the share of the healthy targets that must get requests in each span in which more than
	// minUnserved and less than maxUnserved of the requests are not served.
	floorShare               = 0.7
	minUnserved, maxUnserved = 0.1, 0.5
)

// mixedFaults simulates a cell whose targets have unannounced failure episodes.
type mixedFaults struct {
	targets, slots, perSecond int
	service, deadline         time.Duration
	idempotent                bool
	// resetting and hanging are the fractions of the time that a target spends in episodes of each kind.
	resetting, hanging float64
	// failing is the fraction of requests that fail in an episode.
	failing float64
	// ignoreFloor switches the floor off.
	ignoreFloor bool
}

const mixedEpisode = Time(6 * time.Second)

type mixedRequest struct {
	submitted Time
	served    bool
}

type mixedAttempt struct {
	id      RequestID
	target  table.TargetID
	end     Time
	outcome OutcomeKind
}

// mixedTrace is what a cell received and what its targets did.
type mixedTrace struct {
	requests []mixedRequest
	// starts are the times at which attempts began, and targets where.
	starts  []Time
	targets []table.TargetID
}

// run simulates a cell and returns the spans that break the floor, the number of spans to which it applies, and the
// fraction of the requests that were served.
func (f mixedFaults) run(seed uint64, length Time) (broken []string, applicable int, served float64) {
	return f.assess(length, f.simulate(seed, length))
}

func (f mixedFaults) simulate(seed uint64, length Time) mixedTrace {
	random := rand.New(rand.NewPCG(seed, 5))
	c, now := newEpisodeCell(f.targets, 6000)
	c.SlotsPerTarget = f.slots
	c.injectedFaults.ignoreFloor = f.ignoreFloor
	c.Tick(now)
	type episode struct {
		until Time
		kind  OutcomeKind
	}
	episodes := make(map[table.TargetID]*episode)
	ordered := make([]*episode, f.targets)
	for i := range ordered {
		ordered[i] = &episode{until: now + Time(random.Int64N(int64(mixedEpisode)))}
		episodes[table.TargetID(fmt.Sprintf("t%02d", i))] = ordered[i]
	}
	var requests []mixedRequest
	var starts []Time
	var startTargets []table.TargetID
	var running []mixedAttempt
	step := Time(5 * time.Millisecond)
	gap := Time(time.Second) / Time(f.perSecond)
	next, nextTick := now, now
	begin := now
	for ; now < begin+length; now += step {
		for _, e := range ordered {
			if now < e.until {
				continue
			}
			e.until = now + Time(float64(mixedEpisode)*(0.5+random.Float64()))
			e.kind = OutcomeSuccess
			switch x := random.Float64(); {
			case x < f.resetting:
				e.kind = OutcomeConnectionLost
			case x < f.resetting+f.hanging:
				e.kind = OutcomeTimeout
			}
		}
		if now >= nextTick {
			nextTick += Time(TickInterval)
			c.Tick(now)
		}
		kept := running[:0]
		var ended []mixedAttempt
		for _, a := range running {
			if a.end <= now {
				ended = append(ended, a)
			} else {
				kept = append(kept, a)
			}
		}
		running = kept
		for _, a := range ended {
			if a.outcome == OutcomeSuccess {
				requests[a.id-1].served = true
			}
			c.Finish(now, a.id, Outcome{Kind: a.outcome, Written: true, ServiceTime: f.service})
		}
		for ; next <= now; next += gap {
			requests = append(requests, mixedRequest{submitted: now})
			c.Submit(now, Request{
				ID: RequestID(len(requests)), Idempotent: f.idempotent, Replayable: true, MaxAttempts: 2, Deadline: now + Time(f.deadline),
			})
		}
		for _, d := range append([]Decision(nil), c.Decisions()...) {
			if d.Kind != DecisionRun {
				continue
			}
			starts, startTargets = append(starts, now), append(startTargets, d.Target)
			a := mixedAttempt{id: d.Request, target: d.Target, end: now + Time(float64(f.service)*random.ExpFloat64())}
			deadline := requests[d.Request-1].submitted + Time(f.deadline)
			e := episodes[d.Target]
			switch {
			case e.kind != OutcomeSuccess && random.Float64() < f.failing:
				a.outcome, a.end = e.kind, now+Time(time.Millisecond)
				if e.kind == OutcomeTimeout {
					a.end = deadline
				}
			case a.end > deadline:
				a.outcome, a.end = OutcomeTimeout, deadline
			}
			running = append(running, a)
		}
	}
	return mixedTrace{requests, starts, startTargets}
}

// assess checks the floor over the cells of one pool.
func (f mixedFaults) assess(length Time, cells ...mixedTrace) (broken []string, applicable int, served float64) {
	total := 0
	for _, c := range cells {
		total += len(c.requests)
		for _, r := range c.requests {
			if r.served {
				served++
			}
		}
	}
	served /= float64(total)
	begin := cells[0].requests[0].submitted
	end := begin + length - Time(f.deadline) - floorSpan
	for from := begin + Time(5*time.Second); from < end; from += floorSpan / 4 {
		n, unserved, used := 0, 0, 0
		for _, c := range cells {
			for _, r := range c.requests {
				if r.submitted >= from && r.submitted < from+floorSpan {
					n++
					if !r.served {
						unserved++
					}
				}
			}
			inUse := make(map[table.TargetID]bool)
			for i, at := range c.starts {
				if at >= from && at < from+floorSpan {
					inUse[c.targets[i]] = true
				}
			}
			used += len(inUse)
		}
		loss := float64(unserved) / float64(n)
		if loss <= minUnserved || loss >= maxUnserved {
			continue
		}
		applicable++
		if all := f.targets * len(cells); float64(used) < floorShare*float64(all) {
			broken = append(broken, fmt.Sprintf("%.1f s: %d of %d targets used, %d of %d requests not served",
				time.Duration(from).Seconds(), used, all, unserved, n))
		}
	}
	return broken, applicable, served
}

// mixedFaultCases are the faults of pools with the load and the sizes that their operators have.
var mixedFaultCases = []struct {
	name string
	mixedFaults
	// late are seeds with which the floor is still broken at the onset of losses.
	late []uint64
}{
	{"notices reset", mixedFaults{19, 4, 76, 320 * time.Millisecond, 3 * time.Second, false, 0.4, 0, 0.63, false}, nil},
	{"notices hang", mixedFaults{19, 4, 76, 320 * time.Millisecond, 3 * time.Second, false, 0, 0.4, 0.63, false}, []uint64{1028, 1067, 1109}},
	{"notices reset and hang", mixedFaults{19, 4, 76, 320 * time.Millisecond, 3 * time.Second, false, 0.25, 0.2, 0.63, false}, []uint64{1038, 1098}},
	{"lookups hang", mixedFaults{12, 2, 26, 290 * time.Millisecond, 1500 * time.Millisecond, true, 0, 0.4, 0.63, false}, nil},
	{"orders reset and hang", mixedFaults{18, 2, 52, 220 * time.Millisecond, 2 * time.Second, false, 0.25, 0.2, 0.63, false}, []uint64{1046}},
}

const mixedRun = Time(60 * time.Second)

// Guards against spans of 2 s in which too few targets get requests while many requests are not served, because the
// floor applied only after the losses of the span were known.
func TestInUseFloorWithMixedFaults(t *testing.T) {
	for _, c := range mixedFaultCases {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 40
			spans, broken, served := 0, 0, 0.0
			for seed := range uint64(seeds) {
				found, applicable, share := c.run(seed, mixedRun)
				served += share / seeds
				spans += applicable
				broken += len(found)
				for _, b := range found {
					t.Logf("seed %d, %s", seed, b)
				}
			}
			t.Logf("%.4f served; the floor applied in %d spans and was broken in %d", served, spans, broken)
			is.New(t).Equal(broken, 0)
		})
	}
}

// Guards against the same at the onset of losses, in runs that still fail.
func TestInUseFloorAtOnsetOfLosses(t *testing.T) {
	for _, c := range mixedFaultCases {
		for _, seed := range c.late {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				broken, _, _ := c.run(seed, mixedRun)
				t.Log(broken)
				is.New(t).Equal(len(broken), 0)
			})
		}
	}
}

// Guards against a floor that each cell of a pool keeps by its own losses, while operators assess the pool: cells with few
// losses leave their suspect targets idle while another cell loses many requests. The first case shows that the check
// finds that.
func TestInUseFloorOverCells(t *testing.T) {
	for _, c := range []struct {
		name        string
		ignoreFloor bool
	}{
		{"without the floor", true},
		{"with the floor", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seeds = 20
			mild := mixedFaults{19, 2, 52, 220 * time.Millisecond, 2 * time.Second, false, 0.4, 0, 0.4, c.ignoreFloor}
			severe := mild
			severe.resetting, severe.hanging = 0, 0.8
			spans, broken, served := 0, 0, 0.0
			for seed := range uint64(seeds) {
				found, applicable, share := mild.assess(mixedRun,
					mild.simulate(seed, mixedRun), mild.simulate(seed+1000, mixedRun), severe.simulate(seed, mixedRun))
				spans += applicable
				broken += len(found)
				served += share / seeds
			}
			t.Logf("%.4f served; the floor applied in %d spans and was broken in %d", served, spans, broken)
			is.New(t).Equal(broken > 0, c.ignoreFloor)
		})
	}
}
