package target

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readers keeps read buffers, so that an idle connection holds none.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// reader is nil while the connection is idle.
	reader *bufio.Reader
	// used says that the connection has served a request.
	used bool
	// lastByte is when bytes from the target arrived last; zero if never.
	lastByte  time.Time
	idleSince time.Time
	// received counts bytes of the answer in progress.
	received int64
	// headLeft is how many bytes the head of the answer may still have; -1 means no limit.
	headLeft int
	// written says that a byte of the request in progress may have left.
	written atomic.Bool
}

// newConn wraps a connected TCP connection.
func newConn(c net.Conn) (*conn, error) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &conn{Conn: c, raw: raw}, nil
}

// begin prepares the connection for a request.
func (c *conn) begin(maxHead int) {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.received = 0
	c.headLeft = maxHead
	c.written.Store(false)
}

// rest gives the read buffer back. It must only be called if nobody reads the connection.
func (c *conn) rest() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// Read implements io.Reader and keeps account of what arrived.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received += int64(n)
		c.lastByte = time.Now()
		if c.headLeft > 0 {
			c.headLeft -= n
		}
	}
	return n, err
}

// Write implements io.Writer and notes whether a byte left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// writeBoth writes a head and a body, which may be empty, in one system call.
func (c *conn) writeBoth(head, body []byte) error {
	if len(body) == 0 {
		_, err := c.Write(head)
		return err
	}
	both := net.Buffers{head, body}
	n, err := both.WriteTo(c.Conn)
	if n > 0 {
		c.written.Store(true)
	}
	return err
}

// quiet says that the connection is open and that no byte waits to be read.
func (c *conn) quiet() bool {
	var n int
	var readErr error
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && (readErr == unix.EAGAIN || readErr == unix.EINTR)
}
