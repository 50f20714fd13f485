package entry

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against a caller that fills the memory of the entry with pipelined requests, and against bytes that are lost or
// reordered between reading ahead and reading.
func TestReadAheadIsBounded(t *testing.T) {
	is := is.New(t)
	caller, entryEnd := net.Pipe()
	c := &callerConn{Conn: entryEnd, lingering: new(atomic.Int64)}
	sent := make([]byte, 4*maxReadAhead)
	for i := range sent {
		sent[i] = byte(i * 7)
	}
	var accepted atomic.Int64
	go func() {
		for i := 0; i < len(sent); i += 1 << 10 {
			n, err := caller.Write(sent[i : i+1<<10])
			if accepted.Add(int64(n)); err != nil {
				return
			}
		}
		_ = caller.Close()
	}()
	first := make([]byte, 1)
	_, err := c.Read(first) // as net/http does while a handler runs
	is.NoErr(err)
	for last := int64(-1); accepted.Load() != last; time.Sleep(50 * time.Millisecond) {
		last = accepted.Load()
	}
	is.True(accepted.Load() >= maxReadAhead)
	is.True(accepted.Load() <= maxReadAhead+4<<10)
	rest, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(bytes.Equal(append(first, rest...), sent))
}

// Guards against a deadline of the server that is lost while bytes are read ahead.
func TestReadAheadKeepsDeadline(t *testing.T) {
	is := is.New(t)
	caller, entryEnd := net.Pipe()
	defer caller.Close()
	c := &callerConn{Conn: entryEnd, lingering: new(atomic.Int64)}
	go func() { _, _ = io.WriteString(caller, "ab") }()
	one := make([]byte, 1)
	_, err := c.Read(one)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	buf := make([]byte, 8)
	n, err := io.ReadAtLeast(c, buf, 2)
	is.Equal(n, 1)
	timeout, ok := err.(net.Error)
	is.True(ok && timeout.Timeout())
	is.NoErr(c.Close())
}

// deadlineConn records the deadline of its reads.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a connection that ends although the operators let callers take longer for a header, or stay idle for longer.
func TestOperatorsLimitsExtendDeadlines(t *testing.T) {
	for _, c := range []struct {
		name         string
		server, want time.Duration
		header, idle time.Duration
	}{
		{"header", readHeaderTimeout, 30 * time.Second, 30 * time.Second, 120 * time.Second},
		{"idle", idleTimeout, 120 * time.Second, 30 * time.Second, 120 * time.Second},
		{"short header", readHeaderTimeout, readHeaderTimeout, 3 * time.Second, 15 * time.Second},
		{"short idle", idleTimeout, idleTimeout, 3 * time.Second, 15 * time.Second},
		{"no limits", idleTimeout, idleTimeout, 0, 0},
		{"aborted", -time.Hour, -time.Hour, 30 * time.Second, 120 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := &deadlineConn{}
			conn := &callerConn{Conn: recorder, limits: func() table.CallerLimits {
				return table.CallerLimits{HeaderTimeoutMs: table.Millis(c.header.Milliseconds()), IdleTimeoutMs: table.Millis(c.idle.Milliseconds())}
			}}
			is.NoErr(conn.SetReadDeadline(time.Now().Add(c.server)))
			is.Equal(time.Until(recorder.deadline).Round(time.Second), c.want)
			is.NoErr(conn.SetReadDeadline(time.Time{}))
			is.True(recorder.deadline.IsZero())
		})
	}
}
