package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connSet is a listener that knows its open connections.
type connSet struct {
	net.Listener

	mu   sync.Mutex
	open map[*targetConn]struct{}
}

// Accept implements net.Listener.
func (s *connSet) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &targetConn{Conn: c, set: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[tc] = struct{}{}
	return tc, nil
}

// silence makes all open connections silent, except the one that the order came on.
func (s *connSet) silence(except *targetConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// reset ends all connections with a TCP reset.
func (s *connSet) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		c.Conn.Close()
	}
}

// count returns the number of open connections.
func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// targetConn is a connection that can go silent: it takes bytes and delivers none.
type targetConn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
}

// Read implements net.Conn. On a silent connection it discards what arrives until the other end
// closes the connection.
func (c *targetConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it sends nothing.
func (c *targetConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// connOf returns the connection of a request.
func connOf(r *http.Request) *targetConn {
	c, _ := r.Context().Value(connKey{}).(*targetConn)
	return c
}
