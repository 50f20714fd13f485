package entry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// decisionBufferSize is enough for the decisions that can be due before their request takes the
// first: a run and its end.
const decisionBufferSize = 4

// cellRunner runs the decisions of one cell for many goroutines. The cell itself is not
// concurrent; every call of it holds mu and then hands out the decisions that it made.
type cellRunner struct {
	key fleet.CellKey
	log zerolog.Logger
	// now returns the process's monotonic time.
	now func() pool.Time

	mu       sync.Mutex
	cell     *pool.Cell
	revision table.Revision
	// targets has the rows of all targets that the cell may choose, and of removed ones that
	// still have requests in flight.
	targets map[table.TargetID]table.Target
	// pending has a channel for each submitted request that has no final decision yet.
	pending map[pool.RequestID]chan pool.Decision
	lastID  pool.RequestID
	// lastResponse is when each target last gave a whole answer to real work.
	lastResponse map[table.TargetID]time.Time
	// probeNow asks a target's probe endpoint at once.
	probeNow func(table.TargetID)
	// ownership is the last one set; lastUsed is when the cell last got a request.
	ownership fleet.Ownership
	lastUsed  time.Time
	closed    bool
}

// withCell calls f with the cell locked and hands out the decisions that follow.
func (c *cellRunner) withCell(f func(now pool.Time, cell *pool.Cell)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now(), c.cell)
	c.dispatch()
}

func (c *cellRunner) dispatch() {
	for _, d := range c.cell.Decisions() {
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
		Uint64("revision", uint64(c.revision)).
		Msg("target placement changed")
}

// submit queues a request and returns its id and the channel of its decisions, or false if the
// cell has been closed.
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

// finish reports the end of an attempt at a target.
func (c *cellRunner) finish(id pool.RequestID, t table.TargetID, o pool.Outcome) {
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		switch o.Kind {
		case pool.OutcomeSuccess, pool.OutcomeFailed, pool.OutcomeShed:
			c.lastResponse[t] = time.Now()
		}
		cell.Finish(now, id, o)
	})
	if o.Kind == pool.OutcomeConnectionLost && o.Written {
		// Whether the target crashed decides who is to blame: the request or the connection.
		c.probeNow(t)
	}
}

// probeSkipAge is how old a target's last answer may be for its probe to be left out.
const probeSkipAge = time.Second

// respondedRecently says that the target has just answered real work. Every answer carries the drain signal, and a
// probe of a target that works tells nothing else; at the target size probes of all targets each second
// would use up the share of the network that control may take.
func (c *cellRunner) respondedRecently(t table.TargetID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastResponse[t]) < probeSkipAge
}

// cancel takes back a request that waits for a target. If the cell has given it one in the meantime
// the attempt ends as not started, which frees the target's slot.
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

// abort ends a request whose attempt was not started and that can't be tried again.
func (c *cellRunner) abort(id pool.RequestID) {
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		cell.Cancel(now, id)
		cell.Finish(now, id, pool.Outcome{Kind: pool.OutcomeNotStarted})
		delete(c.pending, id)
	})
}

// Bounds of patience. Below the least one, scheduling on a busy VM looks like silence.
const (
	silenceTimeoutFactor = 10
	minSilenceTimeout    = 100 * time.Millisecond
	maxSilenceTimeout    = 5 * time.Second
)

// silenceTimeout is how long a reused connection may stay silent before an idempotent request moves to a
// new one: several times the usual service time of the cell.
func (c *cellRunner) silenceTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(minSilenceTimeout, silenceTimeoutFactor*c.cell.MeanServiceTime()), maxSilenceTimeout)
}

// target returns the row of a target.
func (c *cellRunner) target(id table.TargetID) table.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[id]
}

// saturated says that a further request would have to wait for a target in no doubt.
func (c *cellRunner) saturated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.SpareSlots(c.now()) <= 0
}

// signal passes on what a target's own endpoints say.
func (c *cellRunner) signal(t table.TargetID, s pool.Signal) {
	c.withCell(func(now pool.Time, cell *pool.Cell) { cell.Signal(now, t, s) })
}

// idle says that nobody has used the cell for d and nothing is waiting.
func (c *cellRunner) idle(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0 && time.Since(c.lastUsed) > d
}

// closeIfIdle refuses new requests; it reports false if some are still waiting.
func (c *cellRunner) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = len(c.pending) == 0
	return c.closed
}
