package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// connPool holds the connections to all targets of a Client.
type connPool struct {
	dialer                   net.Dialer
	maxOpen                  int
	idleTimeout              time.Duration
	nonIdempotentReuseWindow time.Duration
	// trustIdle disables the checks for unread bytes and for nonces; only tests set it.
	trustIdle bool

	mu     sync.Mutex
	closed bool
	hosts  map[string]*hostConns
	// expiryTimer calls closeExpired while there are idle connections.
	expiryTimer *time.Timer
}

// hostConns holds the connections to one address.
type hostConns struct {
	// open counts the connections in use, idle and being dialed.
	open int
	// idle is ordered by idleSince; the last one is reused first.
	idle []*conn
}

// get returns an idle connection for a request. If there is none, or the request needs a new one, it
// reserves a new connection and returns nil; the caller then dials. A non-idempotent request gets only
// a connection that has recently received bytes, because an older one may be silent.
func (p *connPool) get(r *Request) (*conn, error) {
	for {
		c, err := p.popIdle(r)
		if c == nil || err != nil {
			return nil, err
		}
		// Unread bytes would be mistaken for the next response.
		if p.trustIdle || c.noUnreadBytes() {
			return c, nil
		}
		p.discard(r.Address, c)
	}
}

// popIdle removes a suitable idle connection. If there is none, it reserves a new one and returns nil.
func (p *connPool) popIdle(r *Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	h := p.hosts[r.Address]
	if h == nil {
		h = &hostConns{}
		p.hosts[r.Address] = h
	}
	if last := len(h.idle) - 1; last >= 0 && !r.NewConnection {
		c := h.idle[last]
		now := time.Now()
		if now.Sub(c.idleSince) < p.idleTimeout && (r.Idempotent || now.Sub(c.lastReadAt) <= p.nonIdempotentReuseWindow) {
			h.idle[last] = nil
			h.idle = h.idle[:last]
			return c, nil
		}
	}
	return nil, p.reserveLocked(h)
}

// reserve counts a new connection that is about to be dialed alongside an existing one.
func (p *connPool) reserve(address string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	return p.reserveLocked(p.hosts[address])
}

func (p *connPool) reserveLocked(h *hostConns) error {
	if h.open >= p.maxOpen {
		if len(h.idle) == 0 {
			return ErrConnectionLimit
		}
		h.idle[0].Close()
		h.idle = slices.Delete(h.idle, 0, 1)
		h.open--
	}
	h.open++
	return nil
}

// dial opens a reserved connection. If it fails, it releases the reservation.
func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.discard(address, nil)
		return nil, Error.Wrap(err)
	}
	c, err := newConn(raw)
	if err != nil {
		raw.Close()
		p.discard(address, nil)
		return nil, err
	}
	return c, nil
}

// put makes a connection available for the next request.
func (p *connPool) put(address string, c *conn) {
	c.releaseReader()
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		p.releaseLocked(address)
		return
	}
	h := p.hosts[address]
	h.idle = append(h.idle, c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
}

// discard closes a connection, or releases a reservation if c is nil.
func (p *connPool) discard(address string, c *conn) {
	if c != nil {
		c.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(address)
}

func (p *connPool) releaseLocked(address string) {
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// closeIdle closes all idle connections to a target.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		p.closeOldestIdleLocked(address, h, len(h.idle))
	}
}

// closeOldestIdleLocked closes the n connections that have been idle longest.
func (p *connPool) closeOldestIdleLocked(address string, h *hostConns, n int) {
	for _, c := range h.idle[:n] {
		c.Close()
	}
	h.idle = slices.Delete(h.idle, 0, n)
	h.open -= n
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// closeExpired closes the connections that have been idle for idleTimeout and sets the timer for
// the next ones.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	next := p.idleTimeout
	anyIdle := false
	for address, h := range p.hosts {
		n := 0
		for n < len(h.idle) && now.Sub(h.idle[n].idleSince) >= p.idleTimeout {
			n++
		}
		if n < len(h.idle) {
			anyIdle = true
			next = min(next, p.idleTimeout-now.Sub(h.idle[n].idleSince))
		}
		p.closeOldestIdleLocked(address, h, n)
	}
	p.expiryTimer = nil
	if anyIdle && !p.closed {
		p.expiryTimer = time.AfterFunc(next, p.closeExpired)
	}
}

// close closes all idle connections. Connections in use are closed when they are put back.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.expiryTimer != nil {
		p.expiryTimer.Stop()
	}
	for address, h := range p.hosts {
		p.closeOldestIdleLocked(address, h, len(h.idle))
	}
}

// counts returns the number of open and of idle connections to a target.
func (p *connPool) counts(address string) (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		return h.open, len(h.idle)
	}
	return 0, 0
}
