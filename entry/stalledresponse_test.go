package entry

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/peer"
)

// stuckWriter is a response writer whose writes take a given time, or until they are aborted.
type stuckWriter struct {
	writeTime time.Duration
	aborted   chan struct{}
	// writingSince is when the pending write has begun; nil if none is pending.
	writingSince atomic.Pointer[time.Time]
}

var errStuck = errors.New("aborted")

func (w *stuckWriter) WriteHeader(peer.ResponseHeader) error { return nil }

func (w *stuckWriter) Write(p []byte) (int, error) {
	now := time.Now()
	w.writingSince.Store(&now)
	defer w.writingSince.Store(nil)
	select {
	case <-time.After(w.writeTime):
		return len(p), nil
	case <-w.aborted:
		return 0, errStuck
	}
}

func (w *stuckWriter) Finish(http.Header) error { return nil }

func (w *stuckWriter) Stalled() bool {
	since := w.writingSince.Load()
	return since != nil && time.Since(*since) >= stalledAfter
}

func (w *stuckWriter) AbortWrite() { close(w.aborted) }

// Guards against targets whose slots are taken by responses that nobody reads while others wait for a slot, against the end of
// such a response while none waits, and against that of one which is read slowly.
func TestUnreadResponseGivesUpItsSlot(t *testing.T) {
	const long = time.Minute
	for _, c := range []struct {
		name      string
		writeTime time.Duration
		// saturatedAfter is when others begin to wait.
		saturatedAfter time.Duration
		endsAfter      time.Duration
		aborted        bool
	}{
		{"nothing is read", long, 0, stalledAfter, true},
		{"others come later", long, 10 * time.Second, 10 * time.Second, true},
		{"nobody waits", long, 4 * long, 3 * long, false},
		{"read slowly", stalledAfter - time.Millisecond, 0, 3 * (stalledAfter - time.Millisecond), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				stuck := &stuckWriter{writeTime: c.writeTime, aborted: make(chan struct{})}
				var asked atomic.Int64
				w := &startedWriter{ResponseWriter: stuck}
				stop := watchResponse(w, func() bool {
					asked.Add(1)
					return time.Since(start) >= c.saturatedAfter
				})
				var err error
				for range 3 {
					if _, err = w.Write([]byte("x")); err != nil {
						break
					}
				}
				stop()
				is.Equal(errors.Is(err, errStuck), c.aborted)
				took := time.Since(start)
				is.True(took >= c.endsAfter && took < c.endsAfter+stalledAfter)
				before := asked.Load()
				time.Sleep(long)
				is.Equal(asked.Load(), before) // the watch has ended
			})
		})
	}
}
