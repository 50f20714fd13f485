package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that counts as slow, hanging or unresponsive because callers read its large responses slowly.
func TestResponseThatHasBegunIsNotLate(t *testing.T) {
	const service = 100 * time.Millisecond
	for _, responded := range []bool{true, false} {
		t.Run(fmt.Sprintf("responded %t", responded), func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(4, 6000)
			cell.Tick(now)
			id := RequestID(0)
			submit := func() *target {
				id++
				cell.Submit(now, Request{ID: id, Idempotent: true, Replayable: true, MaxAttempts: 2, Deadline: now + Time(20*time.Second)})
				is.Equal(len(cell.Decisions()), 1)
				return cell.requests.get(id).target
			}
			for range 200 {
				submit()
				now += Time(service)
				cell.Finish(now, id, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: service})
				cell.Decisions()
			}
			at, large := submit(), id
			now += Time(service)
			if responded {
				cell.Responded(now, large)
				for range 200 {
					submit()
					cell.Responded(now, id)
					cell.Finish(now+Time(service), id, Outcome{Kind: OutcomeCanceled, Written: true, ServiceTime: 2 * service, ResponseStarted: true})
					cell.Decisions()
				}
			}
			abandoned := false
			for end := now + Time(8*time.Second); now < end; now += Time(TickInterval) {
				cell.SetOwnership(now, cell.reportedOwnership, false)
				cell.Tick(now)
				for _, d := range cell.Decisions() {
					abandoned = abandoned || d.Kind == DecisionAbandon
				}
			}
			is.Equal(abandoned, !responded)
			is.Equal(len(cell.UnresponsiveTargets(now)) == 0, responded)
			is.Equal(at.evidence.late < 1, responded)
			is.Equal(at.state == TargetServing, responded)
		})
	}
}
