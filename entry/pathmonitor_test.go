package entry

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
)

// Guards against an owner that keeps its cells although it can't reach many of their targets, which other
// entries reach. This happened when the paths from the owner's VM to eight of 18 targets were broken: requests
// were lost until the paths worked again, and these targets got no requests. The owner must not hand over its
// cells if targets hang, have crashed, or are unreachable from other entries too.
func TestOwnerWithBrokenPathHandsOverCells(t *testing.T) {
	for _, c := range []struct {
		name     string
		dialErr  error
		others   int
		degraded bool
	}{
		{"targets accept no connections in time", os.ErrDeadlineExceeded, 0, true},
		{"targets accept connections", nil, 0, false},
		{"targets refuse connections", errors.New("refused"), 0, false},
		{"others are out of reach too", os.ErrDeadlineExceeded, maxDegraded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newShardedEntry(t)
			e.pathMonitor.dial = func(context.Context, string) error { return c.dialErr }
			e.tick()
			cell, ok := e.cells.getOrCreate(fleet.CellKey{Pool: "mengen-buch", Index: 0})
			is.True(ok)
			for range 35 {
				_, _, ok := cell.submit(pool.Request{Deadline: e.now() + pool.Time(time.Minute)})
				is.True(ok)
			}
			e.startTime = e.startTime.Add(-time.Second) // a second passes without a response
			for i := range c.others {
				e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
					From: []fleet.EntryID{"127.0.0.1:12", "127.0.0.1:22"}[i], Incarnation: 1, Sequence: 1,
					State: fleet.StateServing, Full: true, ReceiverIncarnation: e.dedup.Incarnation, Degraded: true,
				})
			}
			e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
			e.tick()
			e.background.Wait()
			is.Equal(e.pathMonitor.degradedUntil.Load() > 0, c.degraded)
			self, _ := e.fleet.view().Member(e.Settings.ID)
			is.Equal(self.Degraded, c.degraded)
			e.startTime = e.startTime.Add(-degradedDuration)
			e.tick()
			self, _ = e.fleet.view().Member(e.Settings.ID)
			is.True(!self.Degraded)
		})
	}
}
