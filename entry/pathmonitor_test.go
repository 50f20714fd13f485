package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// witness makes a linked peer in vils-tal answer path checks: it reaches all targets or none, or fails to answer.
func witness(e *Entry, reaches bool, err error) {
	e.receivePeerHeartbeat(1, "mengen-buch", 0)
	e.pathMonitor.ask = func(_ context.Context, _ fleet.Member, c peer.PathCheck) (peer.PathResult, error) {
		if err != nil || !reaches {
			return peer.PathResult{}, err
		}
		return peer.PathResult{Reached: c.Targets}, nil
	}
}

var errNoAnswer = errors.New("no answer")

// Guards against an owner that keeps its cells although it can't reach many of their targets, which other
// entries reach. This happened when the paths from the owner's VM to eight of 18 targets were broken: requests
// were lost until the paths worked again, and these targets got no requests. The owner must not hand over its
// cells if targets hang, have crashed, or are unreachable from other entries too.
func TestOwnerWithBrokenPathHandsOverCells(t *testing.T) {
	refused := errors.New("refused")
	for _, c := range []struct {
		name     string
		dialErr  error
		reaches  bool
		askErr   error
		degraded bool
	}{
		{"targets accept no connections in time", os.ErrDeadlineExceeded, true, nil, true},
		{"targets accept connections", nil, true, nil, false},
		{"targets refuse connections", refused, true, nil, true},
		{"targets refuse connections from the peer too", refused, false, nil, false},
		{"the peer does not reach them either", os.ErrDeadlineExceeded, false, nil, false},
		{"the peer does not answer", os.ErrDeadlineExceeded, false, errNoAnswer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newShardedEntry(t)
			witness(e, c.reaches, c.askErr)
			e.pathMonitor.dial = func(context.Context, string) error { return c.dialErr }
			leaveUnanswered(t, e)
			e.tick()
			e.background.Wait()
			is.Equal(e.pathMonitor.degraded, c.degraded)
			self, _ := e.fleet.view().Member(e.Settings.ID)
			is.Equal(self.Degraded, c.degraded)
		})
	}
}

// Guards against an owner that takes its cells back by the clock while its paths are still broken. This happened
// ten seconds after it had handed them over: requests were lost again, and it made 17 targets suspect, which the
// next owner inherited.
func TestOwnerReturnsWhenPathsWork(t *testing.T) {
	refused := errors.New("refused")
	for _, c := range []struct {
		name     string
		after    time.Duration
		dialErr  error
		reaches  bool
		askErr   error
		unlisted bool
		degraded bool
	}{
		{"paths work, but not for long enough", degradedDuration - time.Second, nil, true, nil, false, true},
		{"paths work", degradedDuration, nil, true, nil, false, false},
		{"targets refuse connections", degradedDuration, refused, true, nil, false, true},
		{"targets refuse connections from the peer too", degradedDuration, refused, false, nil, false, false},
		{"paths still broken", degradedDuration, os.ErrDeadlineExceeded, true, nil, false, true},
		{"paths still broken after a while", maxDegradedDuration - time.Second, os.ErrDeadlineExceeded, true, nil, false, true},
		{"paths still broken for long", maxDegradedDuration, os.ErrDeadlineExceeded, true, nil, false, true},
		{"the peer does not reach them either", degradedDuration, os.ErrDeadlineExceeded, false, nil, false, false},
		{"the peer does not answer", maxDegradedDuration - time.Second, os.ErrDeadlineExceeded, false, errNoAnswer, false, true},
		{"targets out of reach for good", maxDegradedDuration, os.ErrDeadlineExceeded, false, errNoAnswer, false, false},
		{"targets are gone", degradedDuration, os.ErrDeadlineExceeded, true, nil, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newShardedEntry(t)
			witness(e, true, nil)
			e.pathMonitor.dial = func(context.Context, string) error { return os.ErrDeadlineExceeded }
			leaveUnanswered(t, e)
			e.tick()
			e.background.Wait()
			is.True(e.pathMonitor.degraded)
			if c.unlisted {
				e.tables.active.Store(newActiveTables(&table.Pair{Revision: 2, Routes: &table.Routes{}, Pools: &table.Pools{}}, e.Settings.ID, time.Now()))
			}
			witness(e, c.reaches, c.askErr)
			e.pathMonitor.dial = func(context.Context, string) error { return c.dialErr }
			e.startTime = e.startTime.Add(-c.after)
			e.monitorPaths()
			e.background.Wait()
			is.Equal(e.pathMonitor.degraded, c.degraded)
			e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
			self, _ := e.fleet.view().Member(e.Settings.ID)
			is.Equal(self.Degraded, c.degraded)
		})
	}
}

// Guards against a peer that has this entry connect to addresses which are no targets, or to any number of them.
func TestPathCheckOfUnlistedTargets(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	dials := 0
	var mu sync.Mutex
	e.pathMonitor.dial = func(context.Context, string) error {
		mu.Lock()
		defer mu.Unlock()
		dials++
		return nil
	}
	check := peer.PathCheck{Pool: "mengen-buch", Targets: []table.TargetID{"mengen-buch-01", "unknown"}}
	is.Equal(e.CheckPaths(t.Context(), check).Reached, []table.TargetID{"mengen-buch-01"})
	is.Equal(dials, 1)
	for i := range 30 {
		check.Targets = append(check.Targets, table.TargetID(fmt.Sprintf("mengen-buch-%02d", i)))
	}
	e.CheckPaths(t.Context(), check)
	is.True(dials <= 1+maxCheckedTargets)
	is.Equal(len(e.CheckPaths(t.Context(), peer.PathCheck{Pool: "unknown", Targets: check.Targets}).Reached), 0)
}

// leaveUnanswered starts a request at each of the 35 targets of a cell and lets a second pass without a response.
func leaveUnanswered(t *testing.T, e *Entry) {
	t.Helper()
	is := is.New(t)
	e.tick()
	cell, ok := e.cells.getOrCreate(fleet.CellKey{Pool: "mengen-buch", Index: 0})
	is.True(ok)
	for range 35 {
		_, _, ok := cell.submit(pool.Request{Deadline: e.now() + pool.Time(time.Minute)})
		is.True(ok)
	}
	e.startTime = e.startTime.Add(-time.Second)
	e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
}

// Guards against an incident in which no log told when the owner had handed its cells over: its own lines had been
// discarded, and no other entry logged the change.
func TestPeersLogHealthChanges(t *testing.T) {
	is := is.New(t)
	e := newShardedEntry(t)
	var log bytes.Buffer
	e.Log = zerolog.New(&log)
	for i, degraded := range []bool{false, true, true, false} {
		e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
			From: "127.0.0.1:12", Incarnation: 1, Sequence: uint64(i + 1), State: fleet.StateServing, Full: true,
			FailureDomain: "vils-tal", ReceiverIncarnation: e.dedup.Incarnation, Degraded: degraded,
		})
		e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
		e.tick()
	}
	is.Equal(strings.Count(log.String(), `"event":"peerHealthChanged"`), 2)
	is.Equal(strings.Count(log.String(), `"peer":"127.0.0.1:12","domain":"vils-tal","degraded":true`), 1)
}
