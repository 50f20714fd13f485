package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an owner that does not notice that it reaches its targets no more, and against taking busy targets, or
// those that run uploads, for such ones.
func TestStuckTargets(t *testing.T) {
	const hold = 200 * time.Millisecond
	for _, c := range []struct {
		name     string
		age      time.Duration
		upload   bool
		answered bool
		stuck    int
	}{
		{"no answer for long", time.Second, false, false, 6},
		{"no answer yet", hold, false, false, 0},
		{"uploads", time.Second, true, false, 0},
		{"an answer since", time.Second, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := spellCell(6, 6000)
			cell.queue.hold = hold
			for id := RequestID(1); id <= 12; id++ {
				cell.Submit(now, Request{ID: id, Upload: c.upload, Deadline: now + Time(time.Minute)})
			}
			decisions := append([]Decision(nil), cell.Decisions()...)
			is.Equal(len(decisions), 12)
			now += Time(hold)
			if c.answered {
				seen := make(map[string]bool)
				for _, d := range decisions {
					if id := string(d.Target); !seen[id] {
						seen[id] = true
						cell.Finish(now, d.Request, Outcome{Kind: OutcomeSuccess, Written: true, Service: hold})
					}
				}
			}
			is.Equal(len(cell.Stuck(now-Time(hold)+Time(c.age))), c.stuck)
		})
	}
}
