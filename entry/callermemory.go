package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/memory"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/pool"
)

const (
	// headerLineBytes is what a line of a head costs besides its bytes: the strings of the field, its slice of values, and
	// its share of the header map while that grows.
	headerLineBytes memory.Bytes = 192
	// headSlack is how many bytes behind a head may have been read with it; it is the size of net/http's buffer.
	headSlack = 4 << 10
	// memoryRetryAfter is the Retry-After delay of a request for which there is no memory. Requests are over in seconds.
	memoryRetryAfter = time.Second
	// roomCheckInterval is how often connections are evicted while no further one is accepted.
	roomCheckInterval = 10 * time.Millisecond
	// shedLogInterval is the least time between log lines on evictions.
	shedLogInterval = time.Second
)

const (
	reasonMemoryShort      pool.Reason = "memoryShort"
	reasonConnectionsShort pool.Reason = "connectionsShort"
	reasonBodyTimeout      pool.Reason = "bodyTimeout"
)

// errMemoryShort means that there is no memory for the rest of a request. Nothing of it has been passed on.
var errMemoryShort = errs.New("memory for requests is short")

var (
	errHeadTooLarge = errs.New("the head is larger than the limit")
	errEvicted      = errs.New("the connection was closed because memory or connections were short")
)

// readError returns an error on which net/http closes a connection without a response.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// memoryAccount is the memory budget of an entry with its metrics.
type memoryAccount struct {
	budget *memory.Budget
	// evicted, evictedIdle and headsRefused count connections.
	evicted, evictedIdle, headsRefused metrics.Counter

	mu sync.Mutex
	// lastLog is the time of the last log line; unlogged sums up the evictions since.
	lastLog  time.Time
	unlogged memory.Shed
}

// openMemory sets up the budget for the memory that callers hold.
func (e *Entry) openMemory() {
	m := &e.memory
	m.evicted = metrics.GetOrRegisterCounter("memory.evicted", e.Metrics)
	m.evictedIdle = metrics.GetOrRegisterCounter("memory.evictedIdle", e.Metrics)
	m.headsRefused = metrics.GetOrRegisterCounter("memory.headsTooLarge", e.Metrics)
	m.budget = &memory.Budget{
		Limit: memory.Bytes(e.Settings.VM.RequestBytes()), MaxHolders: e.Settings.VM.CallerConnections(),
		Now: e.sinceStart, OnShed: e.logShed,
	}
	metrics.NewRegisteredFunctionalGauge("memory.used", e.Metrics, func() int64 { return int64(m.budget.Used()) })
	metrics.NewRegisteredFunctionalGauge("memory.refused", e.Metrics, m.budget.Refused)
}

// awaitRoom waits until a further connection may be accepted.
func (m *memoryAccount) awaitRoom() {
	for room := m.budget.AwaitRoom(); room != nil; room = m.budget.AwaitRoom() {
		select {
		case <-room:
		case <-time.After(roomCheckInterval):
			m.budget.MakeRoom()
		}
	}
}

// logShed counts evictions and logs their sum, at most once per shedLogInterval.
func (e *Entry) logShed(s memory.Shed) {
	m := &e.memory
	m.evicted.Inc(int64(s.Evicted))
	m.evictedIdle.Inc(int64(s.Idle))
	m.mu.Lock()
	sum := &m.unlogged
	sum.Used, sum.Holders = s.Used, s.Holders
	sum.Evicted += s.Evicted
	sum.Idle += s.Idle
	sum.Busy += s.Busy
	sum.Freed += s.Freed
	sum.LongestHeld = max(sum.LongestHeld, s.LongestHeld)
	logged := *sum
	due := time.Since(m.lastLog) >= shedLogInterval
	if due {
		m.lastLog, m.unlogged = time.Now(), memory.Shed{}
	}
	m.mu.Unlock()
	if !due {
		return
	}
	e.Log.Warn().Str("event", "connectionsEvicted").Int("connections", logged.Evicted).Int("idle", logged.Idle).Int("busy", logged.Busy).
		Int64("freedBytes", int64(logged.Freed)).Int64("usedBytes", int64(logged.Used)).Int64("limitBytes", int64(m.budget.Limit)).
		Int("open", logged.Holders).Int("maxOpen", m.budget.MaxHolders).Int64("longestHeldMs", logged.LongestHeld.Milliseconds()).
		Msg("connections of callers closed: memory or connections are short")
}

// trackCallers makes a server account for what its callers hold, and enforce the limits on heads and on bodies that are left
// unread. Its listener must be a callerListener with a budget. readsBodies says that the handler reads bodies, and closes the
// connection of a request whose body it leaves unread.
func (e *Entry) trackCallers(s *http.Server, readsBodies bool) {
	next := s.Handler
	s.ConnContext = withCallerConn
	// net/http's own handler would read a body without a time limit.
	s.DisableGeneralOptionsHandler = true
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if caller, ok := c.(*callerConn); ok && state == http.StateIdle {
			caller.awaitRequest()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := callerConnOf(r.Context())
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.endHead() {
			// Nothing of the request has been passed on.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			body := newCallerBody(r)
			r = r.WithContext(r.Context())
			r.Body = body
			// Without full duplex, net/http would wait for the body before it sends a response.
			_ = http.NewResponseController(w).EnableFullDuplex() // not supported by writers of tests only
			if !readsBodies {
				w.Header().Set("Connection", "close")
			}
			defer c.discardBody(w, body)
		}
		if limit := c.headLimit(); limit > 0 && headerBytes(r.Header) > limit {
			e.memory.headsRefused.Inc(1)
			w.Header().Set("Connection", "close")
			http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the least size of header fields as they may have been sent.
func headerBytes(h http.Header) int {
	const separators = len(":\n")
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

// callerMemory is what a callerConn knows about the memory that it holds.
type callerMemory struct {
	// holder is nil if there is no budget.
	holder *memory.Holder
	// refused counts the heads that were larger than the limit; nil means that they are not counted.
	refused metrics.Counter
	// inHead says that a head is awaited or being read; headBytes is how much of it has been read.
	inHead    atomic.Bool
	headBytes int
	// answered says that the response was written and the connection is only read to its end.
	answered atomic.Bool
}

// awaitRequest says that the connection has no request. What was read ahead stays charged.
func (c *callerConn) awaitRequest() {
	c.mu.Lock()
	ahead := len(c.ahead)
	c.mu.Unlock()
	c.memory.headBytes = 0
	c.memory.inHead.Store(true)
	c.memory.holder.Idle(memory.Bytes(ahead))
}

// endHead says that a head is complete, and lifts the limit on the time for it. It returns false if the connection was evicted.
func (c *callerConn) endHead() bool {
	c.memory.inHead.Store(false)
	if !c.memory.holder.Received() {
		return false
	}
	c.beginResponse(time.Time{})
	_ = c.SetReadDeadline(time.Time{}) // an error means that the connection is closed, which the next read reports
	return true
}

// discardBody is called when a request was answered. If its body has not ended, the connection ends: net/http gets no more of
// the body, which it would await without a time limit, and Close reads on until lingerUntil.
func (c *callerConn) discardBody(w http.ResponseWriter, body *callerBody) {
	if body.ended.Load() {
		return
	}
	if w.Header().Get("Connection") != "close" {
		closeAfterResponse(w)
	}
	c.memory.answered.Store(true)
	c.memory.holder.Discard()
	_ = c.SetReadDeadline(longAgo) // an error means that the connection is closed
}

// headLimit returns the operators' limit on the size of a header, 0 if there is none.
func (c *callerConn) headLimit() int {
	if c.limits == nil {
		return 0
	}
	return c.limits().MaxHeaderBytes
}

// chargeHead charges for bytes of a head that were read. An error ends the connection.
func (c *callerConn) chargeHead(p []byte) error {
	m := &c.memory
	if !m.inHead.Load() || len(p) == 0 {
		return nil
	}
	if limit := c.headLimit(); limit > 0 && m.headBytes+len(p) > limit+headSlack {
		if m.refused != nil {
			m.refused.Inc(1)
		}
		c.refuseHead()
		return readError(errHeadTooLarge)
	}
	m.headBytes += len(p)
	lines := bytes.Count(p, []byte{'\n'})
	if !m.holder.Receive() || !m.holder.Grow(memory.Bytes(len(p))+memory.Bytes(lines)*headerLineBytes) {
		return readError(errEvicted)
	}
	return nil
}

// refuseHead responds to a head that is larger than the limit. net/http has not seen a request, so it can't.
func (c *callerConn) refuseHead() {
	const response = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Content-Length: 31\r\nConnection: close\r\n\r\nRequest Header Fields Too Large"
	c.beginResponse(time.Now().Add(lingerTime))
	_, _ = c.Write([]byte(response)) // an error means that the caller has left
}

// evict closes the connection if it has no request, an answered one, or one whose response is not read. Otherwise it makes the
// reads fail and cancels the request, which gets a refusal.
func (c *callerConn) evict() {
	if c.memory.inHead.Load() || c.memory.answered.Load() || c.heldUpSince.Load() != nil {
		_ = c.Conn.Close() // nothing depends on what the connection still has
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(longAgo) // an error means that the connection is closed
	if c.onGone != nil {
		c.onGone()
	}
}

// holderOf returns what is charged for the request with ctx; nil if nothing is.
func holderOf(ctx context.Context) *memory.Holder {
	if c, ok := callerConnOf(ctx); ok {
		return c.memory.holder
	}
	return nil
}

// chargeForwarded charges for the header of a request of a peer, and returns a function that gives back all that the
// request is charged for.
func (e *Entry) chargeForwarded(x *exchange) (release func(), err error) {
	x.holder = e.memory.budget.Open(nil)
	lines := 0
	for _, values := range x.Header {
		lines += len(values)
	}
	if !x.holder.Grow(memory.Bytes(headerBytes(x.Header)) + memory.Bytes(lines)*headerLineBytes) {
		err = errMemoryShort
	}
	return x.holder.Close, err
}

// limitBodyWait ends the reading of a body that has not arrived by the deadline of its request. The function that it
// returns ends the limit, and returns false if the deadline had passed.
func (e *Entry) limitBodyWait(x *exchange) (stop func() bool) {
	if x.ContentLength == 0 || x.controller == nil {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(e.deadline(x)), x.expireBody).Stop
}

// attributeToShortage gives a refusal of a request that was canceled because its connection was evicted that reason.
func (r *refusal) attributeToShortage() {
	if r.status < http.StatusInternalServerError || r.reason == reasonMemoryShort {
		return
	}
	r.reason = reasonConnectionsShort
	if r.outcome == notice.OutcomeNotRun {
		r.status, r.retryAfter = http.StatusServiceUnavailable, memoryRetryAfter
	} else {
		r.status = http.StatusBadGateway
	}
}

func memoryRefusal() *refusal {
	refused := notRunRefusal(http.StatusServiceUnavailable, reasonMemoryShort, errMemoryShort.Error())
	refused.retryAfter = memoryRetryAfter
	return refused
}

// bodyRefusal returns the refusal of a request whose body could not be read. Nothing of it has been passed on.
func bodyRefusal(err error) *refusal {
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return notRunRefusal(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, err.Error())
	case errors.Is(err, errMemoryShort):
		return memoryRefusal()
	case errors.As(err, &timeout) && timeout.Timeout():
		return &refusal{
			status: http.StatusRequestTimeout, outcome: notice.OutcomeNotRun, reason: reasonBodyTimeout,
			detail: "the body did not arrive by the deadline",
		}
	}
	return notRunRefusal(http.StatusBadRequest, reasonCallerGone, err.Error())
}
