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

// begin counts a request in and returns the function that counts it out.
func (r *inFlightCount) begin() func() {
	r.n.Add(1)
	return func() { r.n.Add(-1) }
}

// addressClock remembers when the last address answer was given.
type addressClock struct {
	mu           sync.Mutex
	lastResponse time.Duration
}

func (a *addressClock) record(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastResponse = now
}

// stop leaves the fleet without cutting off requests. Other entries may name this one until they
// have heard that it leaves, or until they count it as gone if they can't hear it; answers that
// name it hold for AnswerValidMs after that. Until then the entry goes on serving.
func (e *Entry) stop() {
	startedAt := time.Now()
	limit := settings.Millis(e.Settings.StopLimitMs)
	e.setState(fleet.StateLeaving)
	namedFor := settings.Millis(e.Settings.GoneMs + e.Settings.AnswerValidMs)
	if len(e.fleet.view().Members) > 1 && !e.faults.skipAnswerWait {
		time.Sleep(min(namedFor, limit))
	}
	if e.faults.cutOnStop {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Second, limit-time.Since(startedAt)))
	defer cancel()
	// Shutdown waits for the requests of callers; forwarded ones are counted apart.
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
