package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

// inFlight holds the requests in flight.
type inFlight struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

// begin holds a request as in flight until the returned function is called.
func (f *inFlight) begin(x *exchange) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.exchanges == nil {
		f.exchanges = make(map[*exchange]struct{})
	}
	f.exchanges[x] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.exchanges, x)
	}
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

// all returns the requests in flight in the order of their arrival.
func (f *inFlight) all() []*exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.SortedFunc(maps.Keys(f.exchanges), func(a, b *exchange) int { return a.arrivedAt.Compare(b.arrivedAt) })
}

// addressClock holds the time of the last address response.
type addressClock struct {
	mu           sync.Mutex
	lastResponse time.Duration
}

func (a *addressClock) record(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastResponse = now
}

// abortMargin is how long before the stop limit the requests in flight are aborted, so that their callers get a final
// answer in place of a closed connection.
const abortMargin = 100 * time.Millisecond

// errStopLimit is the cause of the end of requests that a stopping entry aborts.
var errStopLimit = Error.New("the stop limit has passed")

// stop leaves the fleet. Other entries may direct callers here until they hear that
// this entry leaves, or until it counts as gone if they can't hear it. Their address responses stay valid for
// AnswerValidMs after that, so the entry serves until then, but for at most StopLimitMs. Requests in flight then
// get the rest of StopLimitMs to end, and at least 1 s, less abortMargin; what is left then is aborted. A request that may
// take longer is refused when it comes.
func (e *Entry) stop() {
	startedAt := time.Now()
	limit := settings.Millis(e.Settings.StopLimitMs)
	e.stopAt.Store(int64(e.sinceStart() + limit - abortMargin))
	e.setState(fleet.StateLeaving)
	advertisedFor := settings.Millis(e.Settings.GoneMs + e.Settings.AnswerValidMs)
	if len(e.fleet.view().Members) > 1 && !e.faults.skipAnswerWait {
		time.Sleep(min(advertisedFor, limit))
	}
	if e.faults.cutOnStop {
		return
	}
	err := e.awaitRequests(max(time.Second, limit-time.Since(startedAt)) - abortMargin)
	aborted := e.inFlight.all()
	for _, x := range aborted[:min(len(aborted), maxCutLines)] {
		e.logCut(x)
	}
	if err != nil {
		e.abort(errStopLimit)
		err = e.awaitRequests(abortMargin)
	}
	event := e.Log.Info()
	if len(aborted) > 0 || err != nil {
		event = e.Log.Error().Err(err)
	}
	event.Str("event", "stopped").Int("cutRequests", len(aborted)).Int64("lingeringConnections", e.lingering.Load()).
		Dur("took", time.Since(startedAt)).Msg("entry stopped")
}

// awaitRequests stops listening for callers, waits until the requests in flight are over and drains the node. It returns an
// error if that takes longer than the timeout. Until the node drains, the requests of peers are admitted like those of
// callers, so that senders of earlier builds, which don't know its rejections, get true refusals.
func (e *Entry) awaitRequests(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := e.callerServer.Shutdown(ctx); err != nil {
		return Error.Wrap(err)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// The exit of the process would reset the connections that linger.
	for e.inFlight.count() > 0 || e.lingering.Load() > 0 {
		select {
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return Error.Wrap(e.node.Drain(ctx))
}

// isAborted reports whether this entry has aborted the requests in flight. No request is sent to a target from then on.
func (e *Entry) isAborted() bool { return e.aborted != nil && e.aborted.Err() != nil }

// untilAborted returns a context that also ends when this entry aborts the requests in flight.
func (e *Entry) untilAborted(ctx context.Context) (context.Context, func()) {
	if e.aborted == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.aborted, func() { cancel(context.Cause(e.aborted)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// maxCutLines is the maximum number of log lines on requests that a stop aborts.
const maxCutLines = 100

// logCut logs that a request in flight is aborted by the end of this process. An empty destination means this entry.
func (e *Entry) logCut(x *exchange) {
	e.Log.Error().
		Str("event", "requestCut").
		Str("caller", x.caller).
		Str("requestId", x.requestID).
		Str("destination", string(x.To)).
		Int64("sinceArrivalMs", time.Since(x.arrivedAt).Milliseconds()).
		Msg("the stop limit has passed while the request is in flight")
}

// leavingRetryAfter is the Retry-After delay of a request that a leaving entry refuses; other entries serve it at once.
const leavingRetryAfter = 5 * time.Millisecond

// refuseIfLeaving refuses a request that may not end before this entry stops, if another entry can serve it.
func (e *Entry) refuseIfLeaving(x *exchange) *refusal {
	stopAt := time.Duration(e.stopAt.Load())
	if fleet.State(e.state.Load()) != fleet.StateLeaving || e.sinceStart()+time.Until(e.deadline(x)) < stopAt {
		return nil
	}
	if !slices.ContainsFunc(e.fleet.view().Members, func(m fleet.Member) bool { return m.Live && m.State == fleet.StateServing }) {
		return nil
	}
	refused := notRunRefusal(http.StatusServiceUnavailable, reasonLeaving, "this entry stops before the deadline of the request")
	refused.retryAfter = leavingRetryAfter
	return refused
}
