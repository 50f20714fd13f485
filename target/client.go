package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Defaults of the fields of Client.
const (
	// defaultMaxConnections keeps a fleet of 44 entries below the 400 connections that a target
	// accepts, also during a handover: only the owner and the entries in handover connect.
	defaultMaxConnections           = 100
	defaultIdleTimeout              = 5 * time.Second
	defaultNonIdempotentReuseWindow = 500 * time.Millisecond
	// defaultDialTimeout leaves room for one lost SYN, which the kernel retransmits after 1 s.
	defaultDialTimeout            = 1500 * time.Millisecond
	defaultTCPUserTimeout         = 3 * time.Second
	defaultMaxResponseHeaderBytes = 256 << 10
)

// Client sends requests to targets. Its fields must be set before the first call of Do; a zero
// value selects the default. A Client is safe for concurrent use.
type Client struct {
	// MaxConnections is the maximum number of connections to one target; the default is 100.
	MaxConnections int
	// IdleTimeout is how long an unused connection is kept; the default is 5 s.
	IdleTimeout time.Duration
	// NonIdempotentReuseWindow limits the reuse of a connection for a non-idempotent request: the
	// last byte from the target must not be older than this. The default is 500 ms.
	NonIdempotentReuseWindow time.Duration
	// DialTimeout limits how long opening a connection may take; the default is 1.5 s.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the connection is
	// closed; the default is 3 s.
	TCPUserTimeout time.Duration
	// MaxResponseHeaderBytes is the maximum size of a response header; the default is 256 KiB.
	MaxResponseHeaderBytes int
	// Protocol is the target protocol; nil selects DefaultProtocol.
	Protocol *Protocol

	// noPathMonitor disables pathMonitor; only tests set it.
	noPathMonitor bool

	once   sync.Once
	conns  *connPool
	active sync.WaitGroup
}

func (c *Client) init() {
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.NonIdempotentReuseWindow, defaultNonIdempotentReuseWindow)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.TCPUserTimeout, defaultTCPUserTimeout)
	setDefault(&c.MaxResponseHeaderBytes, defaultMaxResponseHeaderBytes)
	if c.Protocol == nil {
		c.Protocol = &DefaultProtocol
	}
	c.conns = &connPool{
		dialer:                   c.dialer(),
		maxOpen:                  c.MaxConnections,
		idleTimeout:              c.IdleTimeout,
		nonIdempotentReuseWindow: c.NonIdempotentReuseWindow,
		hosts:                    make(map[string]*hostConns),
	}
}

// dialer returns a dialer whose connections detect a broken path in about TCPUserTimeout. The user
// timeout covers unacknowledged bytes; keep-alive probes cover a connection that waits for a response.
func (c *Client) dialer() net.Dialer {
	interval := max(c.TCPUserTimeout/3, time.Second)
	return net.Dialer{
		Timeout: c.DialTimeout,
		Control: userTimeoutControl(c.TCPUserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: interval, Interval: interval, Count: 2,
		},
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Do sends r once and returns when the response header has arrived. Every error is an
// *AttemptError. When ctx ends, the connection is closed, which ends both the request and the
// reading of the response.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	c.once.Do(c.init)
	if err := r.check(); err != nil {
		return nil, notStarted(err)
	}
	if !c.beginRequest() {
		return nil, notStarted(ErrClosed)
	}
	a := &attempt{client: c, ctx: ctx, request: r, deadline: earlierDeadline(ctx, r.Deadline)}
	response, err := a.run()
	if err != nil {
		a.release(false)
		return nil, err
	}
	return response, nil
}

// beginRequest counts an active request. It returns false if the client is closed.
func (c *Client) beginRequest() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.conns.closed {
		return false
	}
	c.active.Add(1)
	return true
}

// earlierDeadline returns the earlier of the deadline of ctx and the given one; zero means no deadline.
func earlierDeadline(ctx context.Context, deadline time.Time) time.Time {
	d, ok := ctx.Deadline()
	if ok && (deadline.IsZero() || d.Before(deadline)) {
		return d
	}
	return deadline
}

// Connections returns the number of open connections to a target and how many of them are idle.
func (c *Client) Connections(address string) (open, idle int) {
	c.once.Do(c.init)
	return c.conns.counts(address)
}

// Close refuses further requests, closes idle connections, and waits until every response has been
// read or closed. To abort active requests, cancel their contexts.
func (c *Client) Close() error {
	c.once.Do(c.init)
	c.conns.close()
	c.active.Wait()
	return nil
}

// newResponse converts a response header to a Response without a body.
func newResponse(p *Protocol, r *http.Response) *Response {
	class := p.Classify(r.StatusCode, r.Header)
	DropHopByHop(r.Header)
	limit, limitErr := p.rateLimit(r.Header)
	return &Response{
		Status:        r.StatusCode,
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
		Shed:          class == ClassShed || class == ClassMisdirected,
		Misdirected:   class == ClassMisdirected,
		RetryAfter:    ParseRetryAfter(r.Header, time.Now()),
		Draining:      p.draining(r.Header),
		RateLimit:     limit,
		RateLimitErr:  limitErr,
	}
}

// OutcomeKind returns the outcome kind of an error of this package. Any other error counts as not started.
func OutcomeKind(err error) pool.OutcomeKind {
	if e, ok := asAttemptError(err); ok {
		return e.Kind
	}
	return pool.OutcomeNotStarted
}
