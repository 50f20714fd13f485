package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/cost"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

func benchCell(targets int) *Cell {
	c := &Cell{
		Key: fleet.CellKey{Pool: "p"}, SlotsPerTarget: 4, Random: rand.New(rand.NewPCG(1, 2)),
		Policy: table.Policy{FalseEjectionEveryHours: 1000},
	}
	var listed []table.Target
	for i := range targets {
		listed = append(listed, table.Target{ID: table.TargetID(fmt.Sprint("t", i))})
	}
	c.Update(0, listed, targets/2)
	c.SetOwnership(0, fleet.ExclusiveOwner, false)
	return c
}

// loadCycle keeps two requests per target in flight: it ends the oldest one and submits another.
type loadCycle struct {
	cell    *Cell
	now     Time
	next    RequestID
	oldest  RequestID
	account []table.AccountName
}

func newLoadCycle(targets, accounts int) *loadCycle {
	lc := &loadCycle{cell: benchCell(targets), oldest: 1}
	for i := range accounts {
		lc.account = append(lc.account, table.AccountName(fmt.Sprint("a", i)))
	}
	for range 2 * targets {
		lc.submit()
	}
	return lc
}

func (lc *loadCycle) submit() {
	lc.next++
	lc.cell.Submit(lc.now, Request{
		ID: lc.next, Idempotent: true, Replayable: true, Account: lc.account[int(lc.next)%len(lc.account)],
		Priority: int(lc.next % 3),
		Deadline: lc.now + Time(time.Minute), Fingerprint: Fingerprint(lc.next),
		Cost: cost.Features{Route: "r", Method: "GET", Shape: cost.Shape(lc.next % 5000), Account: lc.account[int(lc.next)%len(lc.account)]},
	})
}

func (lc *loadCycle) step() {
	lc.now += Time(10 * time.Microsecond)
	lc.cell.Finish(lc.now, lc.oldest, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: 50 * time.Millisecond})
	lc.oldest++
	lc.submit()
	lc.cell.Decisions()
	lc.cell.Events()
	if lc.now-lc.cell.lastTick > Time(TickInterval) {
		lc.cell.Tick(lc.now)
	}
}

var benchSizes = []int{6, 64, 512}

func BenchmarkSubmitFinish(b *testing.B) {
	for _, size := range benchSizes {
		for _, accounts := range []int{1, 100_000} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", size, accounts), func(b *testing.B) {
				lc := newLoadCycle(size, accounts)
				b.ReportAllocs()
				for b.Loop() {
					lc.step()
				}
			})
		}
	}
}

// BenchmarkSubmitFinishCostAware measures the same with the choice by expected completion. Each account has a shape of its
// own.
func BenchmarkSubmitFinishCostAware(b *testing.B) {
	for _, size := range []int{6, 64, 128} {
		for _, accounts := range []int{1, 100_000} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", size, accounts), func(b *testing.B) {
				lc := newLoadCycle(size, accounts)
				lc.cell.Policy.CostAware = true
				b.ReportAllocs()
				for b.Loop() {
					lc.step()
				}
			})
		}
	}
}

// BenchmarkQueued measures the same with a full queue, where fairness between accounts applies.
func BenchmarkQueued(b *testing.B) {
	for _, accounts := range []int{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("targets=64/accounts=%d", accounts), func(b *testing.B) {
			lc := newLoadCycle(64, accounts)
			for range 2*64 + 500 {
				lc.submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				lc.step()
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			lc := newLoadCycle(size, 10)
			for range 100 * size {
				lc.step()
			}
			b.ReportAllocs()
			for b.Loop() {
				lc.now += Time(TickInterval)
				lc.cell.Tick(lc.now)
			}
		})
	}
}

// Guards against allocations on the path of every request.
func TestNoAllocationsPerRequest(t *testing.T) {
	is := is.New(t)
	lc := newLoadCycle(64, 100)
	for range 10_000 {
		lc.step()
	}
	is.True(testing.AllocsPerRun(10_000, lc.step) < 0.5)
}

// BenchmarkSubmitFinishByPriority measures the same by priority, with waiting requests of 71 accounts at three levels.
func BenchmarkSubmitFinishByPriority(b *testing.B) {
	for _, waiting := range []int{0, 300, 900} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			lc := newLoadCycle(64, 71)
			policy := lc.cell.Policy
			policy.Scheduling = table.SchedulePriority
			lc.cell.SetPolicy(lc.now, policy, 4)
			if waiting > 0 {
				for range 2*64 + waiting {
					lc.submit()
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				lc.step()
			}
		})
	}
}
