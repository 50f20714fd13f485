package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// readAheadTime is how long a request waits for the start of its body, so that it can be recognized when it
	// comes again. It is at most the part 1/readAheadDivisor of the time left.
	readAheadTime    = 250 * time.Millisecond
	readAheadDivisor = 3
)

// readSuspectedBody reads the start of a body of unknown length if a request with the same head lost its connection
// before. If the start doesn't arrive in time, the request is placed without a fingerprint.
func (e *Entry) readSuspectedBody(ctx context.Context, x *exchange, cell *cellRunner) *refusal {
	if x.ContentLength >= 0 || x.ahead != nil {
		return nil
	}
	if head := x.headFingerprint(); head == 0 || !cell.suspectsHead(head) {
		return nil
	}
	limit := min(readAheadTime, time.Until(e.deadline(x))/readAheadDivisor)
	if err := x.readAhead(ctx, min(e.Settings.ReplayBytes, bodyPrefixBytes), limit); err != nil {
		return bodyRefusal(err)
	}
	return nil
}

// readAhead waits at most limit until the first size bytes of the body, or all of it, are known. The number of bytes
// that are hashed must not depend on how they arrive.
func (x *exchange) readAhead(ctx context.Context, size int64, limit time.Duration) error {
	x.ahead = newAheadBody(x.body, size)
	x.body = x.ahead
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-x.ahead.done:
	case <-timer.C:
		x.ahead.stop()
		return nil
	case <-ctx.Done():
		x.ahead.stop()
		return nil
	}
	prefix, err := x.ahead.buf[:x.ahead.filled], x.ahead.err
	switch {
	case errors.Is(err, io.EOF):
		x.buffered = prefix
		x.ContentLength = int64(len(prefix))
	case err != nil:
		return Error.Wrap(err)
	default:
		x.bodyPrefix = prefix
	}
	return nil
}

// aheadBody reads the start of a body on a goroutine of its own. It passes on all bytes in their order, also those of a
// read that was pending when stop was called.
type aheadBody struct {
	r io.Reader
	// done is closed when the goroutine has ended. Until then only it reads r.
	done chan struct{}

	mu sync.Mutex
	// changed is signalled after each read of the goroutine.
	changed *sync.Cond
	buf     []byte
	// filled is how many bytes of buf have been read; the reader has got taken of them.
	filled, taken int
	// err is the error that ended the reading ahead.
	err     error
	stopped bool
	ended   bool
}

func newAheadBody(r io.Reader, size int64) *aheadBody {
	b := &aheadBody{r: r, done: make(chan struct{}), buf: make([]byte, size)}
	b.changed = sync.NewCond(&b.mu)
	go b.fill()
	return b
}

func (b *aheadBody) fill() {
	defer close(b.done)
	for {
		// Read copies only what is below filled.
		n, err := b.r.Read(b.buf[b.filled:])
		b.mu.Lock()
		b.filled += n
		b.err = err
		b.ended = err != nil || b.filled == len(b.buf) || b.stopped
		ended := b.ended
		b.changed.Broadcast()
		b.mu.Unlock()
		if ended {
			return
		}
	}
}

// stop ends the reading ahead with the pending read, and reports whether there is one.
func (b *aheadBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return !b.ended
}

// Read implements io.Reader.
func (b *aheadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.stopped = true
	for b.taken == b.filled && !b.ended {
		b.changed.Wait()
	}
	n := copy(p, b.buf[b.taken:b.filled])
	b.taken += n
	err := b.err
	b.mu.Unlock()
	if n > 0 || len(p) == 0 {
		return n, nil
	}
	if err != nil {
		return 0, err
	}
	return b.r.Read(p)
}
