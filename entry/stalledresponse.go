package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/peer"
)

// writeAborter is implemented by response writers whose pending write can be ended.
type writeAborter interface {
	// AbortWrite makes a pending write fail. The response is then truncated.
	AbortWrite()
}

// abortWrite ends the pending write of w if that is possible.
func abortWrite(w peer.ResponseWriter) {
	if a, ok := w.(writeAborter); ok {
		a.AbortWrite()
	}
}

// watchedWriter ends a response that its caller has not read for stalledAfter, while another request waits for the slot of
// its target.
type watchedWriter struct {
	peer.ResponseWriter
	aborter writeAborter
	// saturated reports whether another request would have to wait for a slot.
	saturated func() bool
	start     time.Time
	// writingSince is the time after start at which the pending write has begun; 0 if none is pending.
	writingSince atomic.Int64

	mu sync.Mutex
	// timer calls check; nil if the watch has ended.
	timer *time.Timer
}

// watchWriter returns w, and a function that ends the watch, which must be called before the response is over. A w whose
// writes can't be ended is not watched.
func watchWriter(w peer.ResponseWriter, saturated func() bool) (watched peer.ResponseWriter, stop func()) {
	aborter, ok := w.(writeAborter)
	if !ok {
		return w, func() {}
	}
	ww := &watchedWriter{ResponseWriter: w, aborter: aborter, saturated: saturated, start: time.Now()}
	ww.mu.Lock()
	defer ww.mu.Unlock()
	ww.timer = time.AfterFunc(stalledAfter, ww.check)
	return ww, ww.stop
}

func (w *watchedWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// check ends the pending write if it has been held up for long enough, and looks again later otherwise.
func (w *watchedWriter) check() {
	held := w.heldUp()
	if held >= stalledAfter && w.saturated() {
		w.aborter.AbortWrite()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(max(writeCheckInterval, stalledAfter-held))
	}
}

// heldUp returns how long the pending write has taken; 0 if none is pending.
func (w *watchedWriter) heldUp() time.Duration {
	since := w.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(w.start) - time.Duration(since)
}

// Write implements peer.ResponseWriter.
func (w *watchedWriter) Write(p []byte) (int, error) {
	w.writingSince.Store(int64(max(1, time.Since(w.start))))
	defer w.writingSince.Store(0)
	return w.ResponseWriter.Write(p)
}

// Flush implements flusher.
func (w *watchedWriter) Flush() {
	if f, ok := w.ResponseWriter.(flusher); ok {
		w.writingSince.Store(int64(max(1, time.Since(w.start))))
		defer w.writingSince.Store(0)
		f.Flush()
	}
}
