package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against suspecting targets because connections to many of them were reset at once, by a common cause.
// Seen in a run: eight targets of a pool became suspect within half a second, and requests waited for 1.2 s.
// Resets of single targets, or right after the request, must count as before.
func TestSharedResetsMakeNoTargetSuspect(t *testing.T) {
	for _, c := range []struct {
		name     string
		targets  int
		service  time.Duration
		gap      time.Duration
		suspects int
	}{
		{"many targets at once", 6, 80 * time.Millisecond, time.Millisecond / 10, 0},
		{"two targets at once", 2, 80 * time.Millisecond, time.Millisecond / 10, 2},
		{"many targets one after the other", 6, 80 * time.Millisecond, time.Second / 4, 6},
		{"many targets that reset each request", 6, time.Millisecond, time.Millisecond / 10, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cell, now := newEpisodeCell(12, 60_000)
			cell.Tick(now)
			for id := RequestID(1); id <= 12; id++ {
				cell.Submit(now, Request{ID: id, Deadline: now + Time(time.Minute)})
			}
			running := make(map[table.TargetID]RequestID)
			for _, d := range cell.Decisions() {
				running[d.Target] = d.Request
			}
			is.Equal(len(running), 12)
			now += Time(c.service)
			for i := range c.targets {
				now += Time(c.gap)
				if c.gap >= TickInterval {
					cell.Tick(now)
				}
				id := running[table.TargetID(fmt.Sprintf("t%02d", i))]
				cell.Finish(now, id, Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: c.service})
			}
			is.Equal(len(cell.suspectTargets(now)), c.suspects)
		})
	}
}
