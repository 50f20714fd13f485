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
	// pathCheckInterval is the least time between two tests of the paths to targets; each opens a connection to every
	// target that gives no answers.
	pathCheckInterval = time.Second
	// pathCheckTimeout is how long a target may take to accept a connection: usually it takes a few milliseconds, also
	// at a target that is slow or hangs.
	pathCheckTimeout = 300 * time.Millisecond
	// minUnreachable and minUnreachableFraction are how many of a cell's targets must be out of reach for the path to be the
	// likelier cause. Fewer may have crashed.
	minUnreachable         = 3
	minUnreachableFraction = 0.3
	// degradedDuration is how long an entry leaves its cells to others: about as long as cuts of links last.
	degradedDuration = 10 * time.Second
	// maxDegraded is how many entries may have stepped aside at a time. If others don't reach the targets either, these
	// are at fault.
	maxDegraded = 2
)

// pathMonitor notices that this entry does not reach many of its targets, which others may reach.
type pathMonitor struct {
	// dial opens a connection to a target and closes it; nil means TCP.
	dial func(ctx context.Context, address string) error

	checking  atomic.Bool
	nextCheck time.Duration
	// degradedUntil is when this entry owns cells again; 0 if it has not stepped aside.
	degradedUntil atomic.Int64
}

// monitorPaths tests the paths to the targets of a cell in which many give no answers, and ends the time aside.
func (e *Entry) monitorPaths() {
	now := e.sinceStart()
	if until := time.Duration(e.pathMonitor.degradedUntil.Load()); until > 0 {
		if now >= until {
			e.pathMonitor.degradedUntil.Store(0)
			e.setHealthy(true)
			e.Log.Info().Str("event", "pathsAssumed").Msg("this entry owns cells again; it has left them to others for a while")
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

// pathLikelyBroken says that so many of a cell's targets are out of reach that the path is the likelier cause.
func pathLikelyBroken(unreachable, total int) bool {
	return unreachable >= minUnreachable && float64(unreachable) >= minUnreachableFraction*float64(total)
}

// checkPaths opens connections to targets that give no answers, and leaves this entry's cells to others if many don't
// accept one in time.
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
			// A target that refuses a connection is in reach.
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
		line.Str("outcome", "kept").Msg("many targets are out of reach, also for others")
		return
	}
	line.Str("outcome", "handedOver").Msg("many targets are out of reach; others take over the cells of this entry")
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

// unresponsive returns the targets of an owned cell that give no answers, and how many it has.
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
