package entry

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that is cut off although it reads, or although few callers stall, and against newcomers that are cut
// off before the callers that have been stalled for longest.
func TestStalledReaders(t *testing.T) {
	is := is.New(t)
	var s stalledReaders
	now := time.Now()
	conns := make([]*callerConn, maxStalledForwards+2)
	for i := range conns {
		conns[i] = &callerConn{stalled: &s}
	}
	for i, c := range conns[:maxStalledForwards] {
		since := now.Add(time.Duration(i) * time.Millisecond)
		is.NoErr(c.mayHoldUp(since.Add(stalledAfter/2), since, time.Time{}, true))
		is.NoErr(c.mayHoldUp(since.Add(stalledAfter), since, time.Time{}, false)) // not forwarded
		is.NoErr(c.mayHoldUp(since.Add(stalledAfter), since, time.Time{}, true))
	}
	late := now.Add(time.Second)
	is.NoErr(conns[maxStalledForwards].mayHoldUp(late.Add(stalledAfter), late, time.Time{}, true))
	is.NoErr(conns[1].mayHoldUp(late.Add(stalledAfter), now.Add(time.Millisecond), time.Time{}, true))
	is.Equal(conns[0].mayHoldUp(late.Add(stalledAfter), now, time.Time{}, true), errTooManyStalled)
	is.NoErr(conns[1].mayHoldUp(late.Add(stalledAfter), now.Add(time.Millisecond), time.Time{}, true)) // one less
	is.NoErr(conns[2].mayHoldUp(late, late, time.Time{}, true))                                        // has read
	is.NoErr(conns[maxStalledForwards+1].mayHoldUp(late.Add(stalledAfter), late, time.Time{}, true))
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
