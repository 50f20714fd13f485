package standin

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// connKey is the context key for the connection of a request.
type connKey struct{}

// trackingListener is a listener that tracks its open connections.
type trackingListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*targetConn]struct{}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &targetConn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[tc] = struct{}{}
	return tc, nil
}

// silence makes all open connections silent, except the one that the control request came on.
func (l *trackingListener) silence(except *targetConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// reset closes all connections with a TCP reset.
func (l *trackingListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		c.Conn.Close()
	}
}

// count returns the number of open connections.
func (l *trackingListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// targetConn is a connection that can go silent: it accepts bytes and delivers none.
type targetConn struct {
	net.Conn
	listener *trackingListener
	silent   atomic.Bool
}

// Read implements net.Conn. On a silent connection it discards everything until the other end
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
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// requestConn returns the connection of a request.
func requestConn(r *http.Request) *targetConn {
	c, _ := r.Context().Value(connKey{}).(*targetConn)
	return c
}
