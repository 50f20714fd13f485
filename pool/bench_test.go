package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

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

func newCycle(targets, accounts int) *loadCycle {
	y := &loadCycle{cell: benchCell(targets), oldest: 1}
	for i := range accounts {
		y.account = append(y.account, table.AccountName(fmt.Sprint("a", i)))
	}
	for range 2 * targets {
		y.submit()
	}
	return y
}

func (y *loadCycle) submit() {
	y.next++
	y.cell.Submit(y.now, Request{
		ID: y.next, Idempotent: true, Replayable: true, Account: y.account[int(y.next)%len(y.account)],
		Deadline: y.now + Time(time.Minute), Fingerprint: Fingerprint(y.next),
	})
}

func (y *loadCycle) step() {
	y.now += Time(10 * time.Microsecond)
	y.cell.Finish(y.now, y.oldest, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: 50 * time.Millisecond})
	y.oldest++
	y.submit()
	y.cell.Decisions()
	y.cell.Events()
	if y.now-y.cell.lastTick > Time(TickInterval) {
		y.cell.Tick(y.now)
	}
}

var benchSizes = []int{6, 64, 512}

func BenchmarkSubmitFinish(b *testing.B) {
	for _, size := range benchSizes {
		for _, accounts := range []int{1, 100_000} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", size, accounts), func(b *testing.B) {
				y := newCycle(size, accounts)
				b.ReportAllocs()
				for b.Loop() {
					y.step()
				}
			})
		}
	}
}

// BenchmarkQueued measures the same with a full queue, where fairness between accounts applies.
func BenchmarkQueued(b *testing.B) {
	for _, accounts := range []int{1, 1000, 100_000} {
		b.Run(fmt.Sprintf("targets=64/accounts=%d", accounts), func(b *testing.B) {
			y := newCycle(64, accounts)
			for range 2*64 + 500 {
				y.submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				y.step()
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			y := newCycle(size, 10)
			for range 100 * size {
				y.step()
			}
			b.ReportAllocs()
			for b.Loop() {
				y.now += Time(TickInterval)
				y.cell.Tick(y.now)
			}
		})
	}
}

// Guards against allocations on the path of every request.
func TestNoAllocationsPerRequest(t *testing.T) {
	is := is.New(t)
	y := newCycle(64, 100)
	for range 10_000 {
		y.step()
	}
	is.True(testing.AllocsPerRun(10_000, y.step) < 0.5)
}
