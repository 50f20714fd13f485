package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// store holds the connections to all targets of a Client.
type store struct {
	dialer      net.Dialer
	maxOpen     int
	idleTimeout time.Duration
	freshness   time.Duration
	// trustIdle switches the look for late bytes and the check of nonces off; only tests set it.
	trustIdle bool

	mu     sync.Mutex
	closed bool
	hosts  map[string]*host
	// sweep runs expire while there are idle connections.
	sweep *time.Timer
}

// host is the row of one target's address.
type host struct {
	// open counts the connections in use, idle and being dialled.
	open int
	// idle is ordered by idleSince; the last one is used first.
	idle []*conn
}

// take returns an idle connection for a request, or nil if a new one is needed; the caller then
// dials. Non-idempotent work gets only a connection on which bytes arrived lately, because an older
// one may have gone silent.
func (s *store) take(address string, idempotent bool) (*conn, error) {
	for {
		c, err := s.pop(address, idempotent)
		if c == nil || err != nil {
			return nil, err
		}
		// Bytes that nobody asked for would be taken for the next answer.
		if s.trustIdle || c.quiet() {
			return c, nil
		}
		s.drop(address, c)
	}
}

// pop removes a suitable idle connection, or reserves a place for a new one and returns nil.
func (s *store) pop(address string, idempotent bool) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	h := s.hosts[address]
	if h == nil {
		h = &host{}
		s.hosts[address] = h
	}
	if last := len(h.idle) - 1; last >= 0 {
		c := h.idle[last]
		now := time.Now()
		if now.Sub(c.idleSince) < s.idleTimeout && (idempotent || now.Sub(c.lastByte) <= s.freshness) {
			h.idle[last] = nil
			h.idle = h.idle[:last]
			return c, nil
		}
	}
	return nil, s.reserveLocked(h)
}

// reserve takes a place for a new connection that is dialled beside an existing one.
func (s *store) reserve(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return s.reserveLocked(s.hosts[address])
}

func (s *store) reserveLocked(h *host) error {
	if h.open >= s.maxOpen {
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

// dial opens a connection in a reserved place and gives the place back if it fails.
func (s *store) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		s.drop(address, nil)
		return nil, Error.Wrap(err)
	}
	c, err := newConn(raw)
	if err != nil {
		raw.Close()
		s.drop(address, nil)
		return nil, err
	}
	return c, nil
}

// put keeps a connection for the next request.
func (s *store) put(address string, c *conn) {
	c.rest()
	c.idleSince = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		s.releaseLocked(address)
		return
	}
	h := s.hosts[address]
	h.idle = append(h.idle, c)
	if s.sweep == nil {
		s.sweep = time.AfterFunc(s.idleTimeout, s.expire)
	}
}

// drop closes a connection, if it isn't nil, and gives its place back.
func (s *store) drop(address string, c *conn) {
	if c != nil {
		c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(address)
}

func (s *store) releaseLocked(address string) {
	h := s.hosts[address]
	h.open--
	if h.open == 0 {
		delete(s.hosts, address)
	}
}

// dropIdle closes all idle connections to a target.
func (s *store) dropIdle(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[address]; h != nil {
		s.trimLocked(address, h, len(h.idle))
	}
}

// trimLocked closes the n idle connections that have been idle longest.
func (s *store) trimLocked(address string, h *host, n int) {
	for _, c := range h.idle[:n] {
		c.Close()
	}
	h.idle = slices.Delete(h.idle, 0, n)
	h.open -= n
	if h.open == 0 {
		delete(s.hosts, address)
	}
}

// expire closes the connections that have been idle for idleTimeout and sets the timer for the next.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	next := s.idleTimeout
	left := false
	for address, h := range s.hosts {
		n := 0
		for n < len(h.idle) && now.Sub(h.idle[n].idleSince) >= s.idleTimeout {
			n++
		}
		if n < len(h.idle) {
			left = true
			next = min(next, s.idleTimeout-now.Sub(h.idle[n].idleSince))
		}
		s.trimLocked(address, h, n)
	}
	s.sweep = nil
	if left && !s.closed {
		s.sweep = time.AfterFunc(next, s.expire)
	}
}

// close closes all idle connections; connections in use are closed when they are put back.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.sweep != nil {
		s.sweep.Stop()
	}
	for address, h := range s.hosts {
		s.trimLocked(address, h, len(h.idle))
	}
}

// counts returns the open and idle connections to a target.
func (s *store) counts(address string) (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.hosts[address]; h != nil {
		return h.open, len(h.idle)
	}
	return 0, 0
}
