package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending large responses between failure domains for a wait of some milliseconds, and against a full cell that
// keeps its requests until they are late. The load is the crest of a day in one failure domain: no slot is free, and slots
// become free all the time.
func TestBriefWaitStaysInCell(t *testing.T) {
	const (
		targets   = 10
		service   = 200 * time.Millisecond
		objective = 1500 * time.Millisecond
	)
	for _, c := range []struct {
		name      string
		costAware bool
		waiting   int
		objective time.Duration
		stays     bool
	}{
		{"slots become free soon", true, 5, objective, true},
		{"a long queue", true, 100, objective, false},
		{"an objective that the wait takes", true, 5, 50 * time.Millisecond, false},
		{"no objective", true, 5, 0, false},
		{"a pool that is not cost-aware", false, 5, objective, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(targets, 60_000)
			cell.Policy.CostAware = c.costAware
			cell.queue.meanServiceTime = service
			cell.Tick(now)
			for id := range RequestID(cell.servingSlots) + RequestID(c.waiting) {
				cell.Submit(now, Request{ID: id + 1, Deadline: now + Time(time.Minute)})
			}
			is.True(cell.SpareSlots(now) < 0)
			r := Request{}
			if c.objective > 0 {
				r.Objective = now + Time(c.objective)
			}
			is.Equal(cell.ServesSoon(now, &r), c.stays)
		})
	}
}
