package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/cost"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// costCell is a cell that chooses targets by cost, with the times at which its attempts end.
type costCell struct {
	*Cell
	is   *is.I
	now  Time
	next RequestID
}

func newCostCell(is *is.I, targets int) *costCell {
	cell, now := newEpisodeCell(targets, 6000)
	cell.Policy.CostAware = true
	return &costCell{Cell: cell, is: is, now: now}
}

// start submits a request and returns the decision to run it.
func (c *costCell) start(route table.RouteName) Decision {
	c.next++
	c.Submit(c.now, Request{ID: c.next, Route: route, Cost: cost.Features{Route: route}, Deadline: c.now + Time(time.Minute)})
	d := c.Decisions()
	c.is.Equal(len(d), 1)
	c.is.Equal(d[0].Kind, DecisionRun)
	return d[0]
}

// pass lets time pass, with the ticks.
func (c *costCell) pass(d time.Duration) {
	for end := c.now + Time(d); c.now < end; {
		c.now = min(end, c.now+Time(TickInterval))
		c.Tick(c.now)
	}
}

func (c *costCell) end(d Decision, service time.Duration) {
	c.Finish(c.now, d.Request, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: service})
	c.Decisions()
}

// work is the service time of a route at a target of ordinary speed.
type work struct {
	route   table.RouteName
	service time.Duration
}

// learn serves rounds of one request of each route per target. Targets in slow take slowFactor times as long.
func (c *costCell) learn(rounds int, routes []work, slow ...table.TargetID) {
	const slowFactor = 1.8
	for range rounds {
		for _, w := range routes {
			var soon, late []Decision
			for range c.targets.len() {
				d := c.start(w.route)
				if slices.Contains(slow, d.Target) {
					late = append(late, d)
				} else {
					soon = append(soon, d)
				}
			}
			c.pass(w.service)
			for _, d := range soon {
				c.end(d, w.service)
			}
			lateService := time.Duration(slowFactor * float64(w.service))
			c.pass(lateService - w.service)
			for _, d := range late {
				c.end(d, lateService)
			}
		}
	}
}

var shortAndLong = []work{{"short", 100 * time.Millisecond}, {"long", time.Second}}

// Guards against other decisions than before while nothing is known of costs.
func TestUnknownCostsChangeNoDecision(t *testing.T) {
	is := is.New(t)
	aware, unaware := newCostCell(is, 6), newCostCell(is, 6)
	unaware.Policy.CostAware = false
	for i := range 15 {
		is.Equal(aware.start("short"), unaware.start("short"))
		if i%3 == 2 {
			d := Decision{Request: RequestID(i)}
			aware.end(d, 100*time.Millisecond)
			unaware.end(d, 100*time.Millisecond)
		}
	}
}

// Guards against choosing targets by the number of requests although one of two is almost done.
func TestTargetWithLessWorkIsChosen(t *testing.T) {
	is := is.New(t)
	c := newCostCell(is, 2)
	c.learn(60, shortAndLong[1:])
	// Three long ones at each target; those at the first have run for most of their time.
	var early []Decision
	for range 6 {
		early = append(early, c.start("long"))
	}
	first := early[0].Target
	c.pass(time.Second)
	for _, d := range early {
		if d.Target != first {
			c.end(d, time.Second)
		}
	}
	is.True(c.start("long").Target != first)
	d := c.start("long")
	is.Equal(d.Target, first) // three almost done against one that has just begun
	is.Equal(d.Reason, ReasonCompletion)
	is.True(d.ExpectedCost > 700*time.Millisecond && d.ExpectedCost < 1400*time.Millisecond)
	is.True(d.TargetWork > 0)
}

// Guards against a preference of fast targets that overrides the failure probability, and so the trials.
func TestCostGivesWayToSuspicion(t *testing.T) {
	is := is.New(t)
	c := newCostCell(is, 3)
	c.learn(40, shortAndLong, "t01", "t02")
	d := c.start("short")
	is.Equal(d.Target, table.TargetID("t00"))
	c.Finish(c.now, d.Request, Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond})
	c.Decisions()
	for range 4 {
		is.True(c.start("short").Target != "t00")
	}
}

// Guards against costs that are forgotten when the tables change, and a speed that outlives the process of its target.
func TestCostsSurviveNewTables(t *testing.T) {
	is := is.New(t)
	c := newCostCell(is, 3)
	c.learn(40, shortAndLong, "t00")
	long := Request{Cost: cost.Features{Route: "long"}}
	before := c.ExpectedServiceTime(&long)
	is.True(before > 0)
	is.True(c.targets.get("t00").work.speed.Slowness() > 1.2)
	policy := c.Policy
	policy.QueueLimit++
	c.SetPolicy(c.now, policy, c.SlotsPerTarget)
	c.Update(c.now, []table.Target{{ID: "t00", Started: 7}, {ID: "t01"}, {ID: "t02"}, {ID: "t03"}}, 2)
	is.Equal(c.ExpectedServiceTime(&long), before)
	is.Equal(c.targets.get("t00").work.speed.Slowness(), 1.0)
}

// Guards against a new owner that decides by the estimates of nobody, or that does not learn soon.
func TestNewOwnerLearnsCosts(t *testing.T) {
	is := is.New(t)
	c := newCostCell(is, 6)
	c.SetOwnership(c.now, fleet.ExclusiveOwner, false)
	is.Equal(c.start("long").Reason, ReasonLeastInFlight)
	c.learn(8, shortAndLong)
	d := c.start("long")
	is.Equal(d.Reason, ReasonCompletion)
	is.True(d.ExpectedCost > 600*time.Millisecond)
	is.True(c.start("short").ExpectedCost < 300*time.Millisecond)
}

// Guards against targets that are avoided as slow because they serve costly requests, while they answer others in time.
// At 0.95 of the capacity, with work of a spread of 0.8 and 3% of requests seven times as long, targets were avoided 6
// times a second, and the slots lost made everyone wait.
func TestCostlyRequestMakesNoTargetSlow(t *testing.T) {
	for _, aware := range []bool{true, false} {
		t.Run(fmt.Sprint("aware=", aware), func(t *testing.T) {
			is := is.New(t)
			c := newCostCell(is, 6)
			c.Policy.CostAware = aware
			c.learn(40, shortAndLong[:1])
			costly := c.start("short")
			avoided := false
			for range 12 {
				var others []Decision
				for range 11 {
					others = append(others, c.start("short"))
				}
				c.pass(100 * time.Millisecond)
				for _, d := range others {
					c.end(d, 100*time.Millisecond)
				}
				avoided = avoided || c.targets.get(costly.Target).state == TargetAvoided
			}
			c.end(costly, 1200*time.Millisecond)
			avoided = avoided || c.targets.get(costly.Target).state == TargetAvoided
			is.Equal(avoided, !aware)
		})
	}
}

// Guards against sound targets that get nothing while others hold several requests, because these are a little faster.
func TestSlowerTargetsStayInUse(t *testing.T) {
	is := is.New(t)
	c := newCostCell(is, 4)
	c.learn(40, shortAndLong[:1], "t02", "t03")
	used := make(map[table.TargetID]int)
	for range 100 { // three requests at a time, over 10 s
		decisions := []Decision{c.start("short"), c.start("short"), c.start("short")}
		c.pass(100 * time.Millisecond)
		for _, d := range decisions {
			used[d.Target]++
			c.end(d, 100*time.Millisecond)
		}
	}
	is.Equal(len(used), 4)
}
