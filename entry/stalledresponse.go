package entry

import (
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/peer"
)

// stallable is implemented by response writers that know whether their reader reads.
type stallable interface {
	// Stalled reports whether a write is pending of which nothing has been read for too long.
	Stalled() bool
	// AbortWrite makes the pending write fail. The response is then truncated.
	AbortWrite()
}

// responseWatch ends a response that its caller does not read, while another request waits for the slot of its target.
type responseWatch struct {
	writer stallable
	// saturated reports whether another request would have to wait for a slot.
	saturated func() bool

	mu sync.Mutex
	// timer calls check; nil if the watch has ended.
	timer *time.Timer
}

// watchResponse watches the response on w until stop is called.
func watchResponse(w peer.ResponseWriter, saturated func() bool) (stop func()) {
	s, ok := w.(stallable)
	for !ok {
		wrapper, wraps := w.(interface{ Unwrap() peer.ResponseWriter })
		if !wraps {
			return func() {}
		}
		w = wrapper.Unwrap()
		s, ok = w.(stallable)
	}
	watch := &responseWatch{writer: s, saturated: saturated}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(stalledAfter, watch.check)
	return watch.stop
}

func (w *responseWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// check ends the pending write if it has stalled, and looks again later otherwise.
func (w *responseWatch) check() {
	if w.writer.Stalled() && w.saturated() {
		w.writer.AbortWrite()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(writeCheckInterval)
	}
}
