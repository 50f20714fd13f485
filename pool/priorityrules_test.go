package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

func newPrioritySimulation(p simPool, seed uint64, utilization float64) *simulation {
	s := newSimulation(p, seed, utilization)
	s.cell.Policy.Scheduling = table.SchedulePriority
	return s
}

// Guards against an order of the waiting requests under which poison requests crash more than two targets.
func TestPoisonStopsUnderPriority(t *testing.T) {
	for _, p := range []simPool{bescheid, mengen, pas} {
		is := is.New(t)
		for seed := range uint64(3) {
			s := newPrioritySimulation(p, seed, peakLoad)
			s.run(time.Minute)
			s.poison = 0.002
			s.run(6 * time.Minute)
			is.True(s.crashes > 0)
			is.True(len(s.crashed) <= 2)
			is.Equal(s.count(EventPoison), 1)
		}
	}
}

// Guards against an order under which targets out of service get no trials, and so never return.
func TestReturnUnderPriority(t *testing.T) {
	for _, p := range []simPool{bescheid, pas} {
		for _, f := range []fault{failLate, hung, {refuse: true}} {
			is := is.New(t)
			s := newPrioritySimulation(p, 5, dayLoad)
			s.run(5 * time.Minute)
			s.faults["t03"] = &f
			s.run(6 * time.Minute)
			delete(s.faults, "t03")
			s.run(16 * time.Minute)
			is.Equal(s.cell.targets.get("t03").state, TargetServing)
		}
	}
}

// Guards against an order under which retries, the floor of targets in use and the abandonment of hanging attempts serve
// fewer requests than today, while targets have failure episodes.
func TestEpisodesUnderPriority(t *testing.T) {
	const seeds = 10
	hangingLookups := lookupPool.with(0.03, 0.07)
	hangingLookups.failing = 1
	for _, f := range []mixedFaults{
		noticePool.with(0.25, 0.2), lookupPool.with(0, 0.4), orderPool.with(0.25, 0.2), hangingLookups,
	} {
		is := is.New(t)
		today, byPriority := 0.0, 0.0
		for seed := range uint64(seeds) {
			_, _, served := f.run(seed, mixedRun)
			today += served / seeds
			scheduled := f
			scheduled.scheduling = table.SchedulePriority
			broken, _, served := scheduled.run(seed, mixedRun)
			byPriority += served / seeds
			is.Equal(len(broken), 0)
		}
		t.Logf("%d targets: %.4f served, %.4f by priority", f.targets, today, byPriority)
		is.True(byPriority >= today-0.01)
	}
}
