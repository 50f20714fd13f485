package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/memory"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// maxReadAhead is how many bytes of further requests are read while a response is pending.
	maxReadAhead = 16 << 10
	// lingerTime is how long a connection is read after its last response. The kernel resets a closed connection on which
	// bytes are unread or arrive, and the caller might lose the response.
	lingerTime = 500 * time.Millisecond
)

// longAgo is a deadline that ends a pending Read.
var longAgo = time.Unix(1, 0)

// callerListener wraps the connections of callers.
type callerListener struct {
	net.Listener
	// limits returns the operators' limits.
	limits func() table.CallerLimits
	// lingering counts the connections that are still read after Close.
	lingering *atomic.Int64
	// stalled holds the callers that don't read their responses; nil sets no limit.
	stalled *stalledReaders
	// memory, if set, is what the connections are charged to.
	memory *memoryAccount
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	if l.memory != nil {
		l.memory.awaitRoom()
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: c, limits: l.limits, lingering: l.lingering, stalled: l.stalled}
	if l.memory != nil {
		caller.memory.holder = l.memory.budget.Open(caller.evict)
		caller.memory.refused = l.memory.headsRefused
		caller.memory.inHead.Store(true)
	}
	return caller, nil
}

// callerConn is a connection of a caller. While a handler runs, net/http waits for one byte, which may be the end of the
// connection. A pipelined request is such a byte, and from then on net/http does not see that the caller has left. From
// then on callerConn reads ahead.
type callerConn struct {
	net.Conn
	// limits returns the operators' limits; nil means that there are none.
	limits func() table.CallerLimits
	// lingering counts the connections that are still read after Close.
	lingering *atomic.Int64
	// stalled holds the callers that don't read their responses; nil sets no limit.
	stalled *stalledReaders

	mu sync.Mutex
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	// ahead has the bytes that were read ahead, at most maxReadAhead and one read.
	ahead []byte
	// readErr is the error that ended the reading ahead. The requests behind it are not read.
	readErr error
	// pipelined says that a request has arrived before the response to an earlier one.
	pipelined bool
	// writtenAt is the time of the last write.
	writtenAt time.Time
	// writeCheckAt is when a write that is held up returns.
	writeCheckAt time.Time
	// heldUpSince is since when a write has waited for the caller to read; nil if none does.
	heldUpSince atomic.Pointer[time.Time]
	// writeAborted says that abortWrite was called.
	writeAborted bool
	// responseDeadline is the deadline of the request that is being answered; zero if it has none.
	responseDeadline time.Time
	// forwarded says that the response comes from a peer.
	forwarded bool
	// lingerUntil is until when Close reads on because the caller is still sending a body; zero if it is not.
	lingerUntil time.Time
	// closed says that Close was called.
	closed bool
	// done is closed when the goroutine that reads ahead has ended; nil if there is none.
	done chan struct{}
	// onGone is called when the caller has left; nil if no request is running.
	onGone func()
	// lengths counts the lines that were read, of header or body, that may be Content-Length fields. expectedLengths is how
	// many of them net/http has shown in requests.
	lengths         lengthCounter
	expectedLengths int

	// reading is held while Read reads from Conn.
	reading sync.Mutex

	memory callerMemory
}

type callerConnKey struct{}

// withCallerConn returns a context from which callerConnOf gets the connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

func callerConnOf(ctx context.Context) (c *callerConn, ok bool) {
	c, ok = ctx.Value(callerConnKey{}).(*callerConn)
	return c, ok
}

// untilCallerLeaves returns a context that ends when the caller of the request with ctx has left, and a function that
// releases it. The context goes on if the caller leaves after its response was delivered.
func untilCallerLeaves(ctx context.Context, delivered func() bool) (context.Context, func()) {
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	onGone := func() {
		if !delivered() {
			cancel()
		}
	}
	stop := context.AfterFunc(ctx, onGone)
	c, ok := callerConnOf(ctx)
	if ok {
		c.notify(onGone)
	}
	return requestCtx, func() {
		stop()
		if ok {
			c.notify(nil)
		}
		cancel()
	}
}

// lingerUntil makes the end of the connection of the request with ctx wait, at most until a time, for the rest of the
// request's body.
func lingerUntil(ctx context.Context, end time.Time) {
	if c, ok := callerConnOf(ctx); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lingerUntil = end
	}
}

// hasConflictingFraming reports whether the head of a request with a chunked body may also have had a Content-Length, which
// net/http removes. RFC 9112, section 6.1, requires that its connection is closed after the response. It is also true if a
// body, or the head of a pipelined request that has been read, has a line that looks like one.
func hasConflictingFraming(r *http.Request) bool {
	c, ok := callerConnOf(r.Context())
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectedLengths += len(r.Header["Content-Length"])
	return len(r.TransferEncoding) > 0 && c.lengths.count > c.expectedLengths
}

// lengthPrefix begins a line with a Content-Length field, in lower case.
const lengthPrefix = "\ncontent-length:"

// lengthCounter counts how often lengthPrefix occurs in a stream, in any case.
type lengthCounter struct {
	count int
	// matched is how many bytes of lengthPrefix the stream ends with.
	matched int
}

func (l *lengthCounter) add(p []byte) {
	for len(p) > 0 {
		if l.matched == 0 {
			i := bytes.IndexByte(p, '\n')
			if i < 0 {
				return
			}
			l.matched, p = 1, p[i+1:]
			continue
		}
		b := p[0]
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != lengthPrefix[l.matched] {
			// Only the first byte of the prefix is a line feed. The byte is looked at again.
			l.matched = 0
			continue
		}
		p = p[1:]
		if l.matched++; l.matched == len(lengthPrefix) {
			l.count++
			l.matched = 0
		}
	}
}

// notify sets the function to call when the caller has left.
func (c *callerConn) notify(onGone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onGone = onGone
	if c.readErr != nil && onGone != nil {
		onGone()
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.stopReadingAhead()
	n, err := c.readBuffered(p)
	if n > 0 {
		c.memory.holder.Shrink(memory.Bytes(n))
	} else if err == nil {
		n, err = c.readConn(p)
	}
	if c.memory.holder.Evicted() {
		return 0, readError(errEvicted)
	}
	if len(p) > 1 {
		// A single byte may be read while a handler begins.
		if err := c.chargeHead(p[:n]); err != nil {
			return 0, err
		}
	}
	c.mu.Lock()
	c.lengths.add(p[:n])
	c.mu.Unlock()
	if n == 1 && len(p) == 1 {
		// A single byte is what net/http waits for while a handler runs.
		c.startReadingAhead()
	}
	return n, err
}

// readConn reads bytes that were not read ahead. What arrives after Close is dropped.
func (c *callerConn) readConn(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	// A single byte is what net/http waits for while a handler runs.
	if len(p) > 1 && c.memory.holder.AwaitCaller() {
		defer c.memory.holder.Resume()
	}
	n, err := c.Conn.Read(p)
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// readBuffered returns bytes that were read ahead.
func (c *callerConn) readBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

func (c *callerConn) startReadingAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined = true
	if c.done != nil || c.readErr != nil || c.closed {
		return
	}
	c.done = make(chan struct{})
	// An error means that the connection is closed, which the read reports.
	_ = c.Conn.SetReadDeadline(time.Time{})
	go c.readAhead(c.done)
}

// readAhead reads until the caller has left, the buffer is full, or stopReadingAhead ends it.
func (c *callerConn) readAhead(done chan struct{}) {
	defer close(done)
	var buf [2 << 10]byte
	for {
		n, err := c.Conn.Read(buf[:])
		full := !c.memory.holder.Grow(memory.Bytes(n))
		if full {
			// What has been read is kept, but nothing more is read.
			c.memory.holder.Force(memory.Bytes(n))
		}
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		full = full || len(c.ahead) >= maxReadAhead
		if timeout, ok := err.(net.Error); err != nil && (!ok || !timeout.Timeout()) {
			c.readErr, c.ahead = err, nil
			if c.onGone != nil {
				c.onGone()
			}
		}
		c.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// stopReadingAhead ends the goroutine that reads ahead and restores the deadline of the server.
func (c *callerConn) stopReadingAhead() {
	c.mu.Lock()
	done := c.done
	if done != nil {
		_ = c.Conn.SetReadDeadline(longAgo) // an error means that the connection is closed, which ends the read too
	}
	c.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == done {
		c.done = nil
		if !c.closed && !c.memory.holder.Evicted() {
			_ = c.Conn.SetReadDeadline(c.readDeadline)
		}
	}
}

// SetReadDeadline implements net.Conn. The deadline does not apply to reading ahead.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.memory.inHead.Load() {
		// The server lifts the limit on the time for a head before the handler begins, and may itself read the body.
		return nil
	}
	t = c.withinLimits(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.done != nil || c.closed || c.memory.holder.Evicted() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// withinLimits returns the deadline t of the server, or a later one if the operators let callers take longer. The server
// waits for readHeaderTimeout at most while it reads a header, and longer on an idle connection.
func (c *callerConn) withinLimits(t time.Time) time.Time {
	now := time.Now()
	if c.limits == nil || !t.After(now) {
		return t
	}
	limits := c.limits()
	if t.Sub(now) > readHeaderTimeout {
		return latest(t, now.Add(limits.IdleTimeoutMs.Duration()))
	}
	return latest(t, now.Add(limits.HeaderTimeoutMs.Duration()))
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends the sending direction.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the last response may not have arrived yet, it ends the sending direction and reads on in
// the background.
func (c *callerConn) Close() error {
	// The budget calls evict, which locks mu, so it must not be asked while mu is held.
	evicted := c.memory.holder.Evicted()
	mayLinger := !evicted || c.memory.holder.MayLinger()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	now, end := time.Now(), c.lingerUntil
	if evicted {
		end = time.Time{}
	}
	if c.pipelined || now.Sub(c.writtenAt) < lingerTime {
		end = latest(end, now.Add(lingerTime))
	}
	linger := end.After(now) && c.readErr == nil && mayLinger
	if linger {
		c.lingering.Add(1)
	}
	c.mu.Unlock()
	c.stopReadingAhead()
	if !linger {
		c.memory.holder.Close()
		return c.Conn.Close()
	}
	c.memory.answered.Store(true)
	c.memory.holder.Linger()
	// The expired deadline ends a pending Read of the server.
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(longAgo) != nil {
		c.memory.holder.Close()
		c.lingering.Add(-1)
		return c.Conn.Close()
	}
	go c.linger(end)
	return nil
}

// linger reads until the caller has closed the connection, at most until a time, and closes it.
func (c *callerConn) linger(end time.Time) {
	defer c.lingering.Add(-1)
	defer c.memory.holder.Close()
	c.reading.Lock()
	err := c.Conn.SetReadDeadline(end)
	c.reading.Unlock()
	if err == nil {
		_, _ = io.Copy(io.Discard, c.Conn) // the responses are sent; nothing depends on what is read
	}
	_ = c.Conn.Close()
}
