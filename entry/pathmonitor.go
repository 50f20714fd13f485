package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
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
	// degradedDuration is how long an entry leaves its cells to other entries at least. It is about as long as
	// broken paths last.
	degradedDuration = 10 * time.Second
	// maxDegradedDuration is how long it leaves them to others while its paths seem broken and no peer tells whether
	// it reaches the targets.
	maxDegradedDuration = time.Minute
	// maxCheckedTargets is how many of the lost targets a peer checks.
	maxCheckedTargets = 4
	// witnessTimeout is how long a peer may take to respond. It checks all targets at the same time.
	witnessTimeout = pathCheckTimeout + 200*time.Millisecond
	// recheckDelay is the time until the next check after one that found the targets at fault, or that the paths are
	// still broken.
	recheckDelay = 2 * time.Second
	// reachedTTL is how long an entry that reaches a pool's targets checks no further reports about that pool. The peers
	// of a degraded one usually become degraded within this time.
	reachedTTL = 5 * time.Second
)

// pathMonitor detects that this entry can't reach many of its targets, which other entries may reach.
type pathMonitor struct {
	// dial opens and closes a connection to a target; nil means TCP.
	dial func(ctx context.Context, address string) error
	// ask asks a peer which targets it reaches; nil means over the link to it.
	ask func(ctx context.Context, to fleet.Member, c peer.PathCheck) (peer.PathResult, error)

	// checking says that a check runs in the background. The fields below belong to the check while it is true,
	// and to the tick otherwise.
	checking  atomic.Bool
	nextCheck time.Duration
	degraded  bool
	// degradedSince is when the entry handed over its cells because lost targets, of lostCell, did not accept
	// connections. That cell had lostTotal targets.
	degradedSince time.Duration
	lost          []table.Target
	lostCell      fleet.CellKey
	lostTotal     int
	// checkedReports has the degraded peers whose lost targets this entry has checked.
	checkedReports map[fleet.EntryID]bool
	// reachedPool was reached at reachedAt, when a report was checked.
	reachedPool table.PoolName
	reachedAt   time.Duration
}

// uncheckedReport returns a degraded peer whose lost targets this entry should check next. Only hubs check: they may own
// cells next.
func (m *pathMonitor) uncheckedReport(v *fleet.View) (reporter fleet.Member, ok bool) {
	for _, p := range v.Members {
		switch {
		case !p.Degraded || !p.Live:
			delete(m.checkedReports, p.ID)
		case ok || p.ID == v.Self || p.Lost == nil || !v.IsHub() || m.checkedReports[p.ID]:
		case p.Lost.Pool == m.reachedPool && v.At-m.reachedAt <= reachedTTL:
			m.markChecked(p.ID)
		default:
			reporter, ok = p, true
			m.markChecked(p.ID)
		}
	}
	return reporter, ok
}

func (m *pathMonitor) markChecked(id fleet.EntryID) {
	if m.checkedReports == nil {
		m.checkedReports = make(map[fleet.EntryID]bool)
	}
	m.checkedReports[id] = true
}

// monitorPaths starts a check if many targets of a cell are unresponsive, or if this entry may own cells again.
func (e *Entry) monitorPaths() {
	m := &e.pathMonitor
	if m.checking.Load() {
		return
	}
	if reporter, ok := m.uncheckedReport(e.fleet.view()); ok && !m.degraded {
		e.startPathCheck(func() { e.checkReported(reporter) })
		return
	}
	if e.sinceStart() < m.nextCheck {
		return
	}
	if m.degraded {
		e.startPathCheck(e.checkLostPaths)
		return
	}
	for _, c := range e.cells.list() {
		if unresponsive, total := c.unresponsive(); pathLikelyBroken(len(unresponsive), total) {
			e.startPathCheck(func() { e.checkPaths(c, unresponsive, total) })
			return
		}
	}
}

// startPathCheck runs a check in the background. The next one starts after pathCheckInterval, unless this one
// sets a later time.
func (e *Entry) startPathCheck(check func()) {
	e.pathMonitor.nextCheck = e.sinceStart() + pathCheckInterval
	e.pathMonitor.checking.Store(true)
	e.background.Go(func() {
		defer e.pathMonitor.checking.Store(false)
		check()
	})
}

// pathLikelyBroken reports whether so many targets of a cell are unreachable that a broken path is the likelier
// cause.
func pathLikelyBroken(unreachable, total int) bool {
	return unreachable >= minUnreachable && float64(unreachable) >= minUnreachableFraction*float64(total)
}

// unreachable opens a connection to each target and returns those that don't accept one in time. A partition may look
// like targets that hang or like targets that are down.
func (e *Entry) unreachable(ctx context.Context, targets []table.Target) []table.Target {
	dial := e.pathMonitor.dial
	if dial == nil {
		dial = dialOnce
	}
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	failed := make([]bool, len(targets))
	var checks sync.WaitGroup
	for i, t := range targets {
		checks.Go(func() { failed[i] = dial(ctx, t.Address) != nil })
	}
	checks.Wait()
	var lost []table.Target
	for i, t := range targets {
		if failed[i] {
			lost = append(lost, t)
		}
	}
	return lost
}

// CheckPaths implements peer.Handler: it returns which of the targets this entry reaches.
func (e *Entry) CheckPaths(ctx context.Context, c peer.PathCheck) peer.PathResult {
	var targets []table.Target
	for _, id := range c.Targets[:min(len(c.Targets), maxCheckedTargets)] {
		targets = append(targets, e.findTargets(c.Pool, func(t table.Target) bool { return t.ID == id })...)
	}
	lost := e.unreachable(ctx, targets)
	var result peer.PathResult
	for _, t := range targets {
		if !slices.ContainsFunc(lost, func(l table.Target) bool { return l.ID == t.ID }) {
			result.Reached = append(result.Reached, t.ID)
		}
	}
	return result
}

// testimony is what peers say about targets that this entry does not reach.
type testimony struct {
	asked, answered, reaching int
}

// askWitnesses asks peers whether they reach the lost targets. A peer reaches them if it reaches half of a sample. It
// returns once one does, or all have answered or failed.
func (e *Entry) askWitnesses(cell fleet.CellKey, lost []table.Target) testimony {
	ask := e.pathMonitor.ask
	if ask == nil {
		ask = e.node.CheckPaths
	}
	check := peer.PathCheck{Pool: cell.Pool}
	for _, t := range sample(lost) {
		check.Targets = append(check.Targets, t.ID)
	}
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	witnesses := e.fleet.view().PathWitnesses(cell)
	answers := make(chan testimony, len(witnesses))
	for _, m := range witnesses {
		e.background.Go(func() {
			result, err := ask(ctx, m, check)
			switch {
			case err == nil && 2*len(result.Reached) >= len(check.Targets):
				answers <- testimony{answered: 1, reaching: 1}
			case err == nil:
				answers <- testimony{answered: 1}
			default:
				if ctx.Err() != context.Canceled {
					e.Log.Warn().Str("event", "pathCheckFailed").Str("peer", string(m.ID)).Err(err).Msg("a peer did not check paths")
				}
				answers <- testimony{}
			}
		})
	}
	t := testimony{asked: len(witnesses)}
	for range witnesses {
		a := <-answers
		t.answered += a.answered
		t.reaching += a.reaching
		if t.reaching > 0 {
			break
		}
	}
	return t
}

// checkPaths hands over the cells of this entry if many of the unresponsive targets don't accept a connection from it
// and a peer reaches them.
func (e *Entry) checkPaths(c *servedCell, unresponsive []table.Target, total int) {
	lost := e.unreachable(context.Background(), unresponsive)
	if !pathLikelyBroken(len(lost), total) {
		return
	}
	peers := e.askWitnesses(c.key, lost)
	line := e.Log.Warn().Str("event", "pathsLost").Str("pool", string(c.key.Pool)).Int("cell", c.key.Index).
		Int("silent", len(unresponsive)).Int("outOfReach", len(lost)).Int("targets", total).
		Int("peersAsked", peers.asked).Int("peersAnswered", peers.answered).Int("peersReaching", peers.reaching)
	m := &e.pathMonitor
	if peers.reaching == 0 {
		m.nextCheck = e.sinceStart() + recheckDelay
		line.Str("outcome", "kept").Msg("many targets unreachable, and no other entry reaches them")
		return
	}
	line.Str("outcome", "handedOver").Msg("many targets unreachable; other entries take over the cells of this entry")
	e.setDegraded(c.key, lost, total)
}

// checkReported checks whether this entry reaches the targets that a degraded peer has lost, although another peer
// reaches them. If not, it must not take over cells.
func (e *Entry) checkReported(reporter fleet.Member) {
	targets := e.findTargets(reporter.Lost.Pool, func(t table.Target) bool { return slices.Contains(reporter.Lost.Targets, t.ID) })
	lost := e.unreachable(context.Background(), targets)
	degraded := pathLikelyBroken(len(lost), len(targets)) && 2*len(lost) >= len(targets)
	e.Log.Info().Str("event", "lostPathsChecked").Str("peer", string(reporter.ID)).Str("pool", string(reporter.Lost.Pool)).
		Int("outOfReach", len(lost)).Int("targets", len(targets)).Bool("degraded", degraded).
		Msg("checked targets that a peer can't reach")
	if degraded {
		e.setDegraded(fleet.CellKey{Pool: reporter.Lost.Pool}, lost, len(targets))
		return
	}
	e.pathMonitor.reachedPool, e.pathMonitor.reachedAt = reporter.Lost.Pool, e.sinceStart()
}

// setDegraded hands over the cells of this entry, since it can't reach lost targets of a cell's total.
func (e *Entry) setDegraded(cell fleet.CellKey, lost []table.Target, total int) {
	m := &e.pathMonitor
	m.degraded, m.degradedSince = true, e.sinceStart()
	m.lost, m.lostCell, m.lostTotal = lost, cell, total
	m.nextCheck = m.degradedSince + degradedDuration
	loss := &fleet.PathLoss{Pool: cell.Pool}
	for _, t := range sample(lost) {
		loss.Targets = append(loss.Targets, t.ID)
	}
	// The next owner starts with what this one suspects.
	for _, c := range e.cells.list() {
		c.withCell(func(now pool.Time, cell *pool.Cell) { cell.DiscardPathEvidence(now) })
	}
	e.fleet.update(e.sinceStart(), func(f *fleet.Membership) { f.SetDegraded(e.sinceStart(), loss) })
}

// sample returns at most maxCheckedTargets of the targets, spread over all.
func sample(targets []table.Target) []table.Target {
	n := min(len(targets), maxCheckedTargets)
	sampled := make([]table.Target, n)
	for i := range n {
		sampled[i] = targets[i*len(targets)/n]
	}
	return sampled
}

// checkLostPaths ends the degraded state once the targets that were lost accept connections again or are no longer
// listed, or no peer reaches them either, and after maxDegradedDuration if no peer answers.
func (e *Entry) checkLostPaths() {
	m := &e.pathMonitor
	lost := e.unreachable(context.Background(), e.listedTargets(m.lostCell.Pool, m.lost))
	since := e.sinceStart() - m.degradedSince
	line := e.Log.Info().Int("outOfReach", len(lost)).Int("targets", m.lostTotal).Int64("sinceMs", since.Milliseconds())
	if pathLikelyBroken(len(lost), m.lostTotal) {
		peers := e.askWitnesses(m.lostCell, lost)
		line = line.Int("peersAsked", peers.asked).Int("peersAnswered", peers.answered).Int("peersReaching", peers.reaching)
		if peers.reaching > 0 || peers.answered == 0 && since < maxDegradedDuration {
			m.nextCheck = e.sinceStart() + recheckDelay
			line.Str("event", "pathsStillLost").Msg("many targets still unreachable; other entries keep the cells")
			return
		}
	}
	m.degraded, m.lost = false, nil
	e.fleet.update(e.sinceStart(), func(f *fleet.Membership) { f.SetDegraded(e.sinceStart(), nil) })
	line.Str("event", "pathsAssumed").Msg("entry owns cells again after handing them over")
}

// listedTargets returns those of the targets that the active tables list in the pool.
func (e *Entry) listedTargets(name table.PoolName, targets []table.Target) []table.Target {
	return e.findTargets(name, func(l table.Target) bool {
		return slices.ContainsFunc(targets, func(t table.Target) bool { return l.ID == t.ID && l.Address == t.Address })
	})
}

// findTargets returns the targets of a pool in the active tables that match.
func (e *Entry) findTargets(name table.PoolName, match func(table.Target) bool) []table.Target {
	active := e.tables.current()
	if active == nil {
		return nil
	}
	p := active.router.Pool(name)
	if p == nil {
		return nil
	}
	var found []table.Target
	for _, t := range p.Targets {
		if match(t) {
			found = append(found, t)
		}
	}
	return found
}

func dialOnce(ctx context.Context, address string) error {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(c.Close())
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
