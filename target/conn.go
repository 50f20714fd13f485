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

// bufioReaderPool holds read buffers, so that idle connections need none.
var bufioReaderPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	raw syscall.RawConn
	// reader is nil while the connection is idle.
	reader *bufio.Reader
	// used reports that the connection has served a request.
	used bool
	// lastReadAt is when the last bytes from the target arrived; zero if none did.
	lastReadAt time.Time
	idleSince  time.Time
	// receivedBytes counts the received bytes of the current response.
	receivedBytes int64
	// headerBytesLeft is how many more bytes the response header may have; -1 means no limit.
	headerBytesLeft int
	// written reports that a byte of the current request may have been sent.
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

// prepare resets the connection for a new request.
func (c *conn) prepare(maxHeaderBytes int) {
	c.reader = bufioReaderPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.receivedBytes = 0
	c.headerBytesLeft = maxHeaderBytes
	c.written.Store(false)
}

// releaseReader returns the read buffer to its pool. It must not be called during a Read.
func (c *conn) releaseReader() {
	if c.reader == nil {
		return
	}
	c.reader.Reset(nil)
	bufioReaderPool.Put(c.reader)
	c.reader = nil
}

// Read implements io.Reader. It counts the received bytes and limits the response header.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, ErrHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && len(p) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedBytes += int64(n)
		c.lastReadAt = time.Now()
		if c.headerBytesLeft > 0 {
			c.headerBytesLeft -= n
		}
	}
	return n, err
}

// Write implements io.Writer and records whether a byte was sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	return n, err
}

// writeHeaderAndBody writes a header and a body, which may be empty, in one system call.
func (c *conn) writeHeaderAndBody(header, body []byte) error {
	if len(body) == 0 {
		_, err := c.Write(header)
		return err
	}
	parts := net.Buffers{header, body}
	n, err := parts.WriteTo(c.Conn)
	if n > 0 {
		c.written.Store(true)
	}
	return err
}

// noUnreadBytes reports whether the connection is open and has no unread bytes.
func (c *conn) noUnreadBytes() bool {
	var n int
	var readErr error
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && (readErr == unix.EAGAIN || readErr == unix.EINTR)
}
