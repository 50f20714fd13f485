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
	// pathTestEvery is the least time between two tests of the paths to targets; each opens a connection to every
	// target that gives no answers.
	pathTestEvery = time.Second
	// pathTestTimeout is how long a target may take to accept a connection: usually it takes a few milliseconds, also
	// at a target that is slow or hangs.
	pathTestTimeout = 300 * time.Millisecond
	// leastLostPaths and lostPathShare are how many of a cell's targets must be out of reach for the path to be the
	// likelier cause. Fewer may have crashed.
	leastLostPaths = 3
	lostPathShare  = 0.3
	// asideFor is how long an entry leaves its cells to others: about as long as cuts of links last.
	asideFor = 10 * time.Second
	// mostAside is how many entries may have stepped aside at a time. If others don't reach the targets either, these
	// are at fault.
	mostAside = 2
)

// paths notices that this entry does not reach many of its targets, which others may reach.
type paths struct {
	// connect opens a connection to a target and closes it; nil means TCP.
	connect func(ctx context.Context, address string) error

	testing  atomic.Bool
	nextTest time.Duration
	// asideUntil is when this entry owns cells again; 0 if it has not stepped aside.
	asideUntil atomic.Int64
}

// watchPaths tests the paths to the targets of a cell in which many give no answers, and ends the time aside.
func (e *Entry) watchPaths() {
	now := e.sinceStart()
	if until := time.Duration(e.paths.asideUntil.Load()); until > 0 {
		if now >= until {
			e.paths.asideUntil.Store(0)
			e.setFit(true)
			e.Log.Info().Str("event", "pathsAssumed").Msg("this entry owns cells again; it has left them to others for a while")
		}
		return
	}
	if now < e.paths.nextTest || e.paths.testing.Load() {
		return
	}
	for _, c := range e.cells.list() {
		if suspects, all := c.silent(); lostPaths(len(suspects), all) {
			e.paths.nextTest = now + pathTestEvery
			e.paths.testing.Store(true)
			e.background.Go(func() {
				defer e.paths.testing.Store(false)
				e.testPaths(c, suspects, all)
			})
			return
		}
	}
}

// lostPaths says that so many of a cell's targets are out of reach that the path is the likelier cause.
func lostPaths(lost, all int) bool {
	return lost >= leastLostPaths && float64(lost) >= lostPathShare*float64(all)
}

// testPaths opens connections to targets that give no answers, and leaves this entry's cells to others if many don't
// accept one in time.
func (e *Entry) testPaths(c *servedCell, suspects []table.Target, all int) {
	connect := e.paths.connect
	if connect == nil {
		connect = connectOnce
	}
	var lost atomic.Int64
	var tests sync.WaitGroup
	for _, t := range suspects {
		tests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pathTestTimeout)
			defer cancel()
			// A target that refuses a connection is in reach.
			if err := connect(ctx, t.Address); isTimeout(err) {
				lost.Add(1)
			}
		})
	}
	tests.Wait()
	if !lostPaths(int(lost.Load()), all) {
		return
	}
	aside := 0
	for _, m := range e.fleet.view().Members {
		if m.Degraded && m.Live {
			aside++
		}
	}
	line := e.Log.Warn().Str("event", "pathsLost").Str("pool", string(c.key.Pool)).Int("cell", c.key.Index).
		Int("silent", len(suspects)).Int64("outOfReach", lost.Load()).Int("targets", all).Int("othersAside", aside)
	if aside >= mostAside {
		line.Str("outcome", "kept").Msg("many targets are out of reach, also for others")
		return
	}
	line.Str("outcome", "handedOver").Msg("many targets are out of reach; others take over the cells of this entry")
	e.paths.asideUntil.Store(int64(e.sinceStart() + asideFor))
	e.setFit(false)
}

func (e *Entry) setFit(fit bool) {
	e.fleet.update(e.sinceStart(), func(m *fleet.Membership) { m.SetHealthy(e.sinceStart(), fit) })
}

func connectOnce(ctx context.Context, address string) error {
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

// silent returns the targets of an owned cell that give no answers, and how many it has.
func (c *cellRunner) silent() (targets []table.Target, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standing == fleet.NotOwner {
		return nil, 0
	}
	for _, id := range c.cell.UnresponsiveTargets(c.now()) {
		targets = append(targets, c.targets[id])
	}
	return targets, c.cell.ListedCount()
}
