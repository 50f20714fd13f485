package entry

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is cut off although it reads, or although few callers stall, and against newcomers that are cut
// off before the callers that have been stalled for longest.
func TestStalledReaders(t *testing.T) {
	for forwarded, limit := range map[bool]int{true: maxStalledForwards, false: maxStalledDirect} {
		is := is.New(t)
		var s stalledReaders
		now := time.Now()
		conns := make([]*callerConn, limit+2)
		for i := range conns {
			conns[i] = &callerConn{stalled: &s}
		}
		// stalled looks at a caller that has read nothing since a number of milliseconds, for a time.
		stalled := func(i, since int, length time.Duration) error {
			at := now.Add(time.Duration(since) * time.Millisecond)
			return conns[i].mayHoldUp(at.Add(length), at, time.Time{}, forwarded)
		}
		for i := range limit {
			is.NoErr(stalled(i, i, stalledAfter/2))
			is.NoErr(stalled(i, i, stalledAfter))
			is.NoErr(conns[i].mayHoldUp(now, now, time.Time{}, !forwarded)) // reads, of a response of the other kind
			is.NoErr(stalled(i, i, stalledAfter))
		}
		is.NoErr(stalled(limit, limit, stalledAfter))
		is.NoErr(stalled(1, 1, 2*stalledAfter))
		is.Equal(stalled(0, 0, 2*stalledAfter), errTooManyStalled)
		is.NoErr(stalled(1, 1, 2*stalledAfter)) // one less
		is.NoErr(stalled(2, limit+1, 0))        // has read
		is.NoErr(stalled(limit+1, limit+1, stalledAfter))
	}
}

// Guards against a write that waits for a caller beyond the deadline of its request, and against one that is ended before it.
func TestHeldUpWriteEndsAtDeadline(t *testing.T) {
	for _, left := range []time.Duration{0, 600 * time.Millisecond} {
		is := is.New(t)
		entryEnd, callerEnd := net.Pipe()
		defer callerEnd.Close()
		c := &callerConn{Conn: entryEnd, lingering: new(atomic.Int64)}
		start := time.Now()
		c.beginResponse(start.Add(left))
		n, err := c.Write([]byte("response"))
		is.Equal(n, 0)
		is.Equal(err, errCallerStalled)
		is.True(time.Since(start) >= left)
		is.NoErr(c.Conn.Close())
	}
}

// Guards against a write that waits for a caller without end, because the server has cleared the deadline behind an earlier
// response.
func TestHeldUpWriteEndsBehindEarlierResponse(t *testing.T) {
	is := is.New(t)
	entryEnd, callerEnd := net.Pipe()
	defer callerEnd.Close()
	c := &callerConn{Conn: entryEnd, lingering: new(atomic.Int64)}
	c.beginResponse(time.Now())
	go func() { _, _ = io.ReadFull(callerEnd, make([]byte, len("first"))) }()
	_, err := c.Write([]byte("first"))
	is.NoErr(err)
	is.NoErr(c.SetWriteDeadline(time.Time{}))
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("second"))
		written <- err
	}()
	select {
	case err = <-written:
		is.Equal(err, errCallerStalled)
	case <-time.After(10 * time.Second):
		t.Fatal("the write still waits")
	}
}
