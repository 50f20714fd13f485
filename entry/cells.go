package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// decisionBufferSize is the capacity of a request's decision channel. At most a run and the final decision can
// be due before the request receives the first one.
const decisionBufferSize = 4

// cellRunner gives many goroutines access to one pool.Cell, which is not safe for concurrent use. Every call of
// the cell holds mu, and the decisions that it made are delivered before mu is released.
type cellRunner struct {
	key fleet.CellKey
	log zerolog.Logger
	// now returns the monotonic time of the process.
	now func() pool.Time

	mu       sync.Mutex
	cell     *pool.Cell
	revision table.Revision
	// targets has every target that the cell may choose, and the removed ones, because they may still have
	// requests in flight.
	targets map[table.TargetID]table.Target
	// abandonable ends the attempt of each request that the cell may abandon.
	abandonable map[pool.RequestID]context.CancelCauseFunc
	// unsent has the attempts that have begun and not sent anything yet.
	unsent map[pool.RequestID]*unsentAttempt
	// pending has the decision channel of each submitted request without a final decision.
	pending map[pool.RequestID]chan pool.Decision
	lastID  pool.RequestID
	// lastResponse is when each target last completed a response to a request; probes do not count.
	lastResponse map[table.TargetID]time.Time
	// probeNow probes a target at once.
	probeNow func(table.TargetID)
	// ownership is the last one set; lastUsed is when the cell last got a request.
	ownership fleet.Ownership
	lastUsed  time.Time
	// shared says that another entry is likely to serve the cell too.
	shared bool
	// partitioned says that this entry has lost its links with most of the fleet.
	partitioned bool
	closed      bool
}

// withCell calls f with the cell locked and delivers the decisions that follow.
func (c *cellRunner) withCell(f func(now pool.Time, cell *pool.Cell)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now(), c.cell)
	c.dispatch()
}

// dispatch delivers the decisions of the cell and logs its events. The caller holds mu.
func (c *cellRunner) dispatch() {
	for _, d := range c.cell.Decisions() {
		if d.Kind == pool.DecisionAbandon {
			if end := c.abandonable[d.Request]; end != nil {
				end(errAbandoned)
			}
			continue
		}
		ch := c.pending[d.Request]
		if ch == nil {
			continue
		}
		if d.Kind != pool.DecisionRun {
			delete(c.pending, d.Request)
		}
		ch <- d
	}
	for _, e := range c.cell.Events() {
		c.logEvent(e)
	}
}

func (c *cellRunner) logEvent(e pool.Event) {
	c.log.Info().
		Str("event", "placementDecision").
		Str("pool", string(c.key.Pool)).
		Int("cell", c.key.Index).
		Str("kind", string(e.Kind)).
		Str("target", string(e.Target)).
		Uint64("fingerprint", uint64(e.Fingerprint)).
		Str("reason", string(e.Reason)).
		Float64("evidence", e.Evidence).
		Float64("threshold", e.Threshold).
		Int("samples", e.Samples).
		Stringer("revision", c.revision).
		Msg("target placement changed")
}

func (c *cellRunner) logOwnership(ownership fleet.Ownership, shared, partitioned bool) {
	c.log.Info().
		Str("event", "ownershipChanged").
		Str("pool", string(c.key.Pool)).
		Int("cell", c.key.Index).
		Str("ownership", ownershipNames[ownership]).
		Bool("shared", shared).
		Bool("partitioned", partitioned).
		Msg("ownership of a cell changed")
}

// submit queues a request and returns its ID and the channel of its decisions, or false if the cell is closed.
func (c *cellRunner) submit(r pool.Request) (pool.RequestID, <-chan pool.Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.lastID++
	r.ID = c.lastID
	ch := make(chan pool.Decision, decisionBufferSize)
	c.pending[r.ID] = ch
	c.lastUsed = time.Now()
	c.cell.Submit(c.now(), r)
	c.dispatch()
	return r.ID, ch, true
}

// suspectsHead reports whether a request with the head recently lost its connection while its body wasn't known.
func (c *cellRunner) suspectsHead(head pool.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.SuspectsHead(c.now(), head)
}

// unsentAttempt is an attempt that waits for a connection.
type unsentAttempt struct {
	end        context.CancelCauseFunc
	handedOver bool
}

// errHandedOver is the cause of the end of an attempt that has sent nothing when this entry hands the cell over.
var errHandedOver = Error.New("the cell has been handed over")

// endUnsent ends the attempts that have sent nothing. The caller holds mu.
func (c *cellRunner) endUnsent() {
	for _, a := range c.unsent {
		a.handedOver = true
		a.end(errHandedOver)
	}
}

// beginWrite is called before the request of an attempt is sent. It fails if the cell has been handed over since the
// attempt began.
func (c *cellRunner) beginWrite(id pool.RequestID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.unsent[id]; a != nil && a.handedOver {
		return errHandedOver
	}
	delete(c.unsent, id)
	return nil
}

// errAbandoned is the cause of the end of an attempt that the cell has abandoned.
var errAbandoned = Error.New("the attempt probably hangs")

// beginAttempt returns the context of an attempt, which the cell may abandon until responded is called. responded
// reports whether it has done so. The context ends with ctx or when release is called.
func (c *cellRunner) beginAttempt(ctx context.Context, id pool.RequestID) (attempt context.Context, responded func() bool, release func()) {
	attempt, end := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandonable[id] = end
	c.unsent[id] = &unsentAttempt{end: end}
	responded = func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.abandonable, id)
		return context.Cause(attempt) == errAbandoned
	}
	return attempt, responded, func() {
		end(nil)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.unsent, id)
	}
}

// responseBegan reports that the response to the attempt of a request has begun.
func (c *cellRunner) responseBegan(id pool.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cell.Responded(c.now(), id)
}

// finish reports the end of an attempt at a target.
func (c *cellRunner) finish(id pool.RequestID, t table.TargetID, o pool.Outcome) {
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		switch o.Kind {
		case pool.OutcomeSuccess, pool.OutcomeFailed, pool.OutcomeShed:
			c.lastResponse[t] = time.Now()
		}
		cell.Finish(now, id, o)
	})
	if o.Kind == pool.OutcomeConnectionLost && o.Written && c.allowProbe(t) {
		// The probe shows whether the target has crashed. If it has, the request may be the cause; if not, the
		// connection was.
		c.probeNow(t)
	}
}

// probeSkipAge is the age of a target's last response below which no probe is sent.
const probeSkipAge = time.Second

// respondedRecently reports whether the target has just completed a response to a request. Every response
// carries the drain signal, and a probe of a working target shows nothing else. With 200,000 targets, probing
// all of them every second would use up the network share of control traffic.
func (c *cellRunner) respondedRecently(t table.TargetID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastResponse[t]) < probeSkipAge
}

// allowProbe reports whether the rate limit of the target allows a probe now, which then counts as sent.
func (c *cellRunner) allowProbe(t table.TargetID) (allowed bool) {
	c.withCell(func(now pool.Time, cell *pool.Cell) { allowed = cell.AllowProbe(now, t) })
	return allowed
}

// cancel cancels a request that waits for a target. If the cell has assigned one in the meantime, the attempt
// ends as not started, which frees the target's slot.
func (c *cellRunner) cancel(id pool.RequestID, decisions <-chan pool.Decision) {
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		cell.Cancel(now, id)
		delete(c.pending, id)
		for {
			select {
			case d := <-decisions:
				if d.Kind == pool.DecisionRun {
					cell.Finish(now, id, pool.Outcome{Kind: pool.OutcomeNotStarted})
				}
				continue
			default:
			}
			return
		}
	})
}

// abort ends a request whose attempt was not started and that can't be retried.
func (c *cellRunner) abort(id pool.RequestID) {
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		cell.Cancel(now, id)
		cell.Finish(now, id, pool.Outcome{Kind: pool.OutcomeNotStarted})
		delete(c.pending, id)
	})
}

// Bounds of the silence timeout. Below the minimum, scheduling delays on a busy VM look like silence.
const (
	silenceTimeoutFactor = 10
	minSilenceTimeout    = 100 * time.Millisecond
	maxSilenceTimeout    = 5 * time.Second
)

// silenceTimeout returns how long a reused connection may stay silent before an idempotent request moves to a
// new one. It is a multiple of the cell's mean service time.
func (c *cellRunner) silenceTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(minSilenceTimeout, silenceTimeoutFactor*c.cell.MeanServiceTime()), maxSilenceTimeout)
}

// acceptsRequests reports whether a target that was chosen may still be sent a request.
func (c *cellRunner) acceptsRequests(id table.TargetID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.AcceptsRequests(c.now(), id)
}

// target returns a target by ID.
func (c *cellRunner) target(id table.TargetID) table.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[id]
}

// saturated reports whether another request would have to wait for a trusted target.
func (c *cellRunner) saturated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.SpareSlots(c.now()) <= 0
}

// servesSoon reports whether a request that comes now gets a slot soon; see pool.Cell.ServesSoon.
func (c *cellRunner) servesSoon(r *pool.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.ServesSoon(c.now(), r)
}

// signal passes on what a target's own endpoints report.
func (c *cellRunner) signal(t table.TargetID, s pool.Signal) {
	c.withCell(func(now pool.Time, cell *pool.Cell) { cell.Signal(now, t, s) })
}

// owned reports whether this entry owns the cell, alone or not.
func (c *cellRunner) owned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownership != fleet.NotOwner
}

// idle reports whether the cell got no request for d and none is pending.
func (c *cellRunner) idle(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && time.Since(c.lastUsed) > d
}

// closeIfIdle closes the cell to new requests and returns true, unless requests are pending.
func (c *cellRunner) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = len(c.pending) == 0
	return c.closed
}
