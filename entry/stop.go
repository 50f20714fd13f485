package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

// inFlightCount counts the requests in flight.
type inFlightCount struct{ n atomic.Int64 }

// begin counts a request as in flight until the returned function is called.
func (c *inFlightCount) begin() func() {
	c.n.Add(1)
	return func() { c.n.Add(-1) }
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

// stop leaves the fleet without aborting requests. Other entries may direct callers here until they hear that
// this entry leaves, or until it counts as gone if they can't hear it. Their address responses stay valid for
// AnswerValidMs after that, so the entry serves until then, but for at most StopLimitMs. Requests in flight then
// get the rest of StopLimitMs to end, and at least 1 s.
func (e *Entry) stop() {
	startedAt := time.Now()
	limit := settings.Millis(e.Settings.StopLimitMs)
	e.setState(fleet.StateLeaving)
	advertisedFor := settings.Millis(e.Settings.GoneMs + e.Settings.AnswerValidMs)
	if len(e.fleet.view().Members) > 1 && !e.faults.skipAnswerWait {
		time.Sleep(min(advertisedFor, limit))
	}
	if e.faults.cutOnStop {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Second, limit-time.Since(startedAt)))
	defer cancel()
	// Shutdown waits for the requests of callers; forwarded ones are counted separately.
	err := e.callerServer.Shutdown(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for e.inFlight.n.Load() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	aborted := e.inFlight.n.Load()
	event := e.Log.Info()
	if aborted > 0 || err != nil {
		event = e.Log.Error().Err(err)
	}
	event.Str("event", "stopped").Int64("cutRequests", aborted).Dur("took", time.Since(startedAt)).Msg("entry stopped")
}
