package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// pathCheckInterval is the minimum time between two checks of the network paths. A check opens a connection
	// to every unresponsive target of a cell.
	pathCheckInterval = time.Second
	// pathCheckTimeout is how long a target may take to accept a connection. Usually this takes a few
	// milliseconds, even if the target is slow or hangs.
	pathCheckTimeout = 300 * time.Millisecond
	// If at least minUnreachable targets of a cell and at least the fraction minUnreachableFraction of them are
	// unreachable, a broken path is the likelier cause. Fewer targets may have crashed.
	minUnreachable         = 3
	minUnreachableFraction = 0.3
	// degradedDuration is how long an entry leaves its cells to other entries. It is about as long as broken
	// paths last.
	degradedDuration = 10 * time.Second
	// maxDegraded is how many entries may be degraded at a time. If other entries can't reach the targets
	// either, the targets are at fault.
	maxDegraded = 2
)

// pathMonitor detects that this entry can't reach many of its targets, which other entries may reach.
type pathMonitor struct {
	// dial opens and closes a connection to a target; nil means TCP.
	dial func(ctx context.Context, address string) error

	checking  atomic.Bool
	nextCheck time.Duration
	// degradedUntil is when this entry may own cells again, in nanoseconds since its start; 0 if it is not
	// degraded.
	degradedUntil atomic.Int64
}

// monitorPaths starts a check if many targets of a cell are unresponsive, and ends the degraded state when its
// time is over.
func (e *Entry) monitorPaths() {
	now := e.sinceStart()
	if until := time.Duration(e.pathMonitor.degradedUntil.Load()); until > 0 {
		if now >= until {
			e.pathMonitor.degradedUntil.Store(0)
			e.setHealthy(true)
			e.Log.Info().Str("event", "pathsAssumed").Msg("entry owns cells again after handing them over")
		}
		return
	}
	if now < e.pathMonitor.nextCheck || e.pathMonitor.checking.Load() {
		return
	}
	for _, c := range e.cells.list() {
		if unresponsive, total := c.unresponsive(); pathLikelyBroken(len(unresponsive), total) {
			e.pathMonitor.nextCheck = now + pathCheckInterval
			e.pathMonitor.checking.Store(true)
			e.background.Go(func() {
				defer e.pathMonitor.checking.Store(false)
				e.checkPaths(c, unresponsive, total)
			})
			return
		}
	}
}

// pathLikelyBroken reports whether so many targets of a cell are unreachable that a broken path is the likelier
// cause.
func pathLikelyBroken(unreachable, total int) bool {
	return unreachable >= minUnreachable && float64(unreachable) >= minUnreachableFraction*float64(total)
}

// checkPaths opens a connection to each unresponsive target. If many don't accept one in time, this entry hands
// over its cells.
func (e *Entry) checkPaths(c *servedCell, unresponsive []table.Target, total int) {
	dial := e.pathMonitor.dial
	if dial == nil {
		dial = dialOnce
	}
	var unreachable atomic.Int64
	var checks sync.WaitGroup
	for _, t := range unresponsive {
		checks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pathCheckTimeout)
			defer cancel()
			// A target that refuses a connection is reachable.
			if err := dial(ctx, t.Address); isTimeout(err) {
				unreachable.Add(1)
			}
		})
	}
	checks.Wait()
	if !pathLikelyBroken(int(unreachable.Load()), total) {
		return
	}
	degraded := 0
	for _, m := range e.fleet.view().Members {
		if m.Degraded && m.Live {
			degraded++
		}
	}
	line := e.Log.Warn().Str("event", "pathsLost").Str("pool", string(c.key.Pool)).Int("cell", c.key.Index).
		Int("silent", len(unresponsive)).Int64("outOfReach", unreachable.Load()).Int("targets", total).Int("othersAside", degraded)
	if degraded >= maxDegraded {
		line.Str("outcome", "kept").Msg("many targets unreachable, also from other entries")
		return
	}
	line.Str("outcome", "handedOver").Msg("many targets unreachable; other entries take over the cells of this entry")
	e.pathMonitor.degradedUntil.Store(int64(e.sinceStart() + degradedDuration))
	e.setHealthy(false)
}

func (e *Entry) setHealthy(healthy bool) {
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.SetHealthy(e.sinceStart(), healthy) })
}

func dialOnce(ctx context.Context, address string) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(c.Close())
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// unresponsive returns the unresponsive targets of the cell and the number of all its targets, or zero values
// if this entry does not own it.
func (c *cellRunner) unresponsive() (targets []table.Target, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownership == fleet.NotOwner {
		return nil, 0
	}
	for _, id := range c.cell.UnresponsiveTargets(c.now()) {
		targets = append(targets, c.targets[id])
	}
	return targets, c.cell.ListedCount()
}
