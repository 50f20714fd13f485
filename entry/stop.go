package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
)

// requestCount counts the requests in flight.
type requestCount struct{ n atomic.Int64 }

// enter counts a request in and returns the function that counts it out.
func (r *requestCount) enter() func() {
	r.n.Add(1)
	return func() { r.n.Add(-1) }
}

// answerClock remembers when the last address answer was given.
type answerClock struct {
	mu   sync.Mutex
	last time.Duration
}

func (a *answerClock) given(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = now
}

// stop leaves the fleet without cutting off requests. Other entries may name this one until they
// have heard that it leaves, or until they count it as gone if they can't hear it; answers that
// name it hold for AnswerValidMs after that. Until then the entry goes on serving.
func (e *Entry) stop() {
	began := time.Now()
	limit := settings.Millis(e.Settings.StopLimitMs)
	e.setState(fleet.StateLeaving)
	reachable := settings.Millis(e.Settings.GoneMs + e.Settings.AnswerValidMs)
	if len(e.fleet.view().Members) > 1 && !e.faults.skipAnswerWait {
		time.Sleep(min(reachable, limit))
	}
	if e.faults.cutOnStop {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Second, limit-time.Since(began)))
	defer cancel()
	// Shutdown waits for the requests of callers; forwarded ones are counted apart.
	err := e.callers.Shutdown(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for e.requests.n.Load() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	cut := e.requests.n.Load()
	event := e.Log.Info()
	if cut > 0 || err != nil {
		event = e.Log.Error().Err(err)
	}
	event.Str("event", "stopped").Int64("cutRequests", cut).Dur("took", time.Since(began)).Msg("entry stopped")
}
