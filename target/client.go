package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Defaults of a Client's fields.
const (
	// defaultMaxConnections keeps 44 entries in handover below the 400 connections that a target
	// takes, as only the owner and entries in handover connect.
	defaultMaxConnections = 100
	defaultIdleTimeout    = 5 * time.Second
	defaultFreshness      = 500 * time.Millisecond
	// defaultDialTimeout leaves room for one lost SYN, which the kernel sends again after 1 s.
	defaultDialTimeout  = 1500 * time.Millisecond
	defaultDeadPath     = 3 * time.Second
	defaultMaxHeadBytes = 256 << 10
)

// Client sends requests to targets. Its fields are set before the first call of Do; zero values
// mean the defaults.
type Client struct {
	// MaxConnections is the most connections to one target.
	MaxConnections int
	// IdleTimeout is how long an unused connection is kept; 5 s.
	IdleTimeout time.Duration
	// NonIdempotentReuseWindow is how old the last byte of a connection may be that carries a non-idempotent
	// request; 500 ms.
	NonIdempotentReuseWindow time.Duration
	// DialTimeout bounds the opening of a connection; 1.5 s.
	DialTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the kernel gives the
	// connection up; 3 s.
	TCPUserTimeout time.Duration
	// MaxResponseHeaderBytes bounds the head of an answer; 256 KiB.
	MaxResponseHeaderBytes int
	// Protocol is how targets are spoken to; nil means DefaultProtocol.
	Protocol *Protocol

	// noPathWatch switches pathWatch off; only tests set it.
	noPathWatch bool

	once   sync.Once
	store  *store
	active sync.WaitGroup
}

func (c *Client) init() {
	orDefault(&c.MaxConnections, defaultMaxConnections)
	orDefault(&c.IdleTimeout, defaultIdleTimeout)
	orDefault(&c.NonIdempotentReuseWindow, defaultFreshness)
	orDefault(&c.DialTimeout, defaultDialTimeout)
	orDefault(&c.TCPUserTimeout, defaultDeadPath)
	orDefault(&c.MaxResponseHeaderBytes, defaultMaxHeadBytes)
	if c.Protocol == nil {
		c.Protocol = &DefaultProtocol
	}
	c.store = &store{
		dialer:      c.dialer(),
		maxOpen:     c.MaxConnections,
		idleTimeout: c.IdleTimeout,
		freshness:   c.NonIdempotentReuseWindow,
		hosts:       make(map[string]*host),
	}
}

// dialer returns a dialer whose connections find a dead path in about TCPUserTimeout: unacknowledged bytes
// by the user timeout, and a connection that waits for an answer by keep-alive probes.
func (c *Client) dialer() net.Dialer {
	interval := max(c.TCPUserTimeout/3, time.Second)
	return net.Dialer{
		Timeout: c.DialTimeout,
		Control: userTimeout(c.TCPUserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: interval, Interval: interval, Count: 2,
		},
	}
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Do sends r once and returns when the head of the answer has arrived. Every error is an
// *AttemptError. The end of ctx ends the request and the reading of the answer by closing the
// connection.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	c.once.Do(c.init)
	if err := r.check(); err != nil {
		return nil, notStarted(err)
	}
	if !c.enter() {
		return nil, notStarted(ErrClosed)
	}
	a := &attempt{client: c, ctx: ctx, request: r, deadline: earliest(ctx, r.Deadline)}
	answer, err := a.run()
	if err != nil {
		a.end(false)
		return nil, err
	}
	return answer, nil
}

// enter counts a request in, unless the client is closed.
func (c *Client) enter() bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.closed {
		return false
	}
	c.active.Add(1)
	return true
}

// earliest returns the earlier one of the deadlines of ctx and a request; zero means none.
func earliest(ctx context.Context, deadline time.Time) time.Time {
	d, ok := ctx.Deadline()
	if ok && (deadline.IsZero() || d.Before(deadline)) {
		return d
	}
	return deadline
}

// Connections returns how many connections to a target are open, and how many of them are idle.
func (c *Client) Connections(address string) (open, idle int) {
	c.once.Do(c.init)
	return c.store.counts(address)
}

// Close refuses further requests, closes idle connections and waits until every answer has been read
// or closed. To cut requests off, end their contexts.
func (c *Client) Close() error {
	c.once.Do(c.init)
	c.store.close()
	c.active.Wait()
	return nil
}

// newAnswer turns the head of a response into an Answer without a body.
func newAnswer(p *Protocol, r *http.Response) *Response {
	verdict := p.Classify(r.StatusCode, r.Header)
	DropHopByHop(r.Header)
	return &Response{
		Status:        r.StatusCode,
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
		Shed:          verdict == ClassShed || verdict == ClassMisdirected,
		Misdirected:   verdict == ClassMisdirected,
		RetryAfter:    ParseRetryAfter(r.Header, time.Now()),
		Draining:      p.draining(r.Header),
	}
}

// OutcomeKind returns the kind of outcome of an error of this package.
func OutcomeKind(err error) pool.OutcomeKind {
	if e, ok := asAttemptError(err); ok {
		return e.Kind
	}
	return pool.OutcomeNotStarted
}
