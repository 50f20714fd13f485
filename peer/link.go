package peer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// heartbeatQueueSize is the maximum number of heartbeats that wait for a connection or for the socket. Older
// ones are of no use.
const heartbeatQueueSize = 4

// link holds the connections with one peer. Its fields are guarded by Node.mu.
type link struct {
	id          fleet.EntryID
	address     string
	connections []*connection
	pendingDial *pendingDial
	nextDialAt  time.Time
	heartbeats  chan []byte
}

// connection is one QUIC connection with a peer.
type connection struct {
	*quic.Conn
	// dialer is the entry that opened the connection.
	dialer fleet.EntryID
	// receivedAt is when a heartbeat, a request or a response last arrived, in nanoseconds since
	// Node.startedAt.
	receivedAt atomic.Int64

	// The fields below are guarded by Node.mu.

	// sending counts the open requests of this entry, from the choice of the connection on.
	sending int
	// serving counts the requests of the peer that were accepted and are not over.
	serving int
	// unconfirmed says that a handler was called for a request whose sender may still wait for the response.
	unconfirmed bool
	// retired says that no further request is sent or accepted on the connection.
	retired bool
}

// closeCode returns the code with which to close a connection on which no further request is accepted: codeDrained if
// that is true, else otherwise. Node.mu must be held.
func (c *connection) closeCode(otherwise quic.ApplicationErrorCode) quic.ApplicationErrorCode {
	if c.serving == 0 && !c.unconfirmed {
		return codeDrained
	}
	return otherwise
}

// markReceived notes that a message arrived on the connection.
func (n *Node) markReceived(c *connection) { c.receivedAt.Store(int64(time.Since(n.startedAt))) }

// receivedRecently reports whether a message arrived within Timeouts.MaxSilence.
func (n *Node) receivedRecently(c *connection) bool {
	return time.Since(n.startedAt)-time.Duration(c.receivedAt.Load()) <= n.Timeouts.MaxSilence
}

// pendingDial is an attempt to open a connection that several callers may wait for.
type pendingDial struct {
	done       chan struct{}
	connection *connection
	err        error
}

// preferredConnection returns the connection to send on; nil if there is none. It prefers connections on which
// a message arrived recently. Of these it picks one that the entry with the lower ID opened, so that both ends
// choose the same, and of several the newest.
func (n *Node) preferredConnection(l *link) *connection {
	var preferred *connection
	preferredRecent := false
	for _, c := range l.connections {
		if c.retired || c.Context().Err() != nil {
			continue
		}
		recent := n.receivedRecently(c)
		if preferred == nil || recent && !preferredRecent || recent == preferredRecent && c.dialer <= preferred.dialer {
			preferred, preferredRecent = c, recent
		}
	}
	return preferred
}

// findOrAddLink returns the link to a peer and adds it if it is new. n.mu must be held.
func (n *Node) findOrAddLink(id fleet.EntryID) *link {
	l := n.links[id]
	if l == nil {
		l = &link{id: id, heartbeats: make(chan []byte, heartbeatQueueSize)}
		n.links[id] = l
		n.tasks.Go(func() { n.sendHeartbeats(l) })
	}
	return l
}

// addConnection adds a new connection and starts to serve it. It closes the connection and returns false if
// the node is closed.
func (n *Node) addConnection(id fleet.EntryID, c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.CloseWithError(c.closeCode(codeClosing), "entry stops")
		return false
	}
	n.markReceived(c)
	l := n.findOrAddLink(id)
	l.connections = append(l.connections, c)
	n.tasks.Go(func() { n.receiveDatagrams(id, c) })
	n.tasks.Go(func() { n.acceptStreams(id, c) })
	n.tasks.Go(func() { n.superviseConnection(l, c) })
	n.Log.Debug().Str("peer", string(id)).Str("dialler", string(c.dialer)).
		Str("remote", c.RemoteAddr().String()).Msg("peer connected")
	return true
}

// supersededCheckInterval is how often an end checks whether its connection is still the preferred one.
const supersededCheckInterval = time.Second

// superviseConnection removes a connection from its link when it has ended. It closes the connection when two checks in
// a row find it superseded.
func (n *Node) superviseConnection(l *link, c *connection) {
	ticker := time.NewTicker(supersededCheckInterval)
	defer ticker.Stop()
	supersededBefore := false
	for c.Context().Err() == nil {
		select {
		case <-c.Context().Done():
		case <-ticker.C:
			n.mu.Lock()
			superseded := n.superseded(l, c)
			n.mu.Unlock()
			if superseded && supersededBefore {
				n.closeSuperseded(l, c)
			}
			supersededBefore = superseded
		}
	}
	n.mu.Lock()
	l.connections = slices.DeleteFunc(l.connections, func(o *connection) bool { return o == c })
	open := c.sending + c.serving
	n.mu.Unlock()
	line := n.Log.Debug()
	if open > 0 {
		line = n.Log.Warn()
	}
	line.Str("event", "peerDisconnected").Str("peer", string(l.id)).Int("requests", open).AnErr("cause", context.Cause(c.Context())).
		Msg("connection with a peer ended")
}

// superseded reports whether this entry should close a connection: it has opened it, another one is preferred, and no
// request is open on it. n.mu must be held.
func (n *Node) superseded(l *link, c *connection) bool {
	return c.dialer == n.ID && c.sending == 0 && c.serving == 0 && n.preferredConnection(l) != c
}

// closeSuperseded closes a connection if it is still superseded. The peer may prefer it, and learns that requests which
// the close overtakes were not run.
func (n *Node) closeSuperseded(l *link, c *connection) {
	n.mu.Lock()
	if !n.superseded(l, c) {
		n.mu.Unlock()
		return
	}
	c.retired = true
	code := c.closeCode(codeSuperseded)
	n.mu.Unlock()
	_ = c.CloseWithError(code, "another connection is in use")
}

// startDial opens a connection in the background, unless an attempt is pending. n.mu must be held.
func (n *Node) startDial(l *link) *pendingDial {
	if l.pendingDial != nil {
		return l.pendingDial
	}
	d := &pendingDial{done: make(chan struct{})}
	l.pendingDial = d
	address := l.address
	n.tasks.Go(func() {
		d.connection, d.err = n.dialPeer(l.id, address)
		n.mu.Lock()
		l.pendingDial = nil
		l.nextDialAt = time.Now().Add(n.Timeouts.RedialInterval)
		n.mu.Unlock()
		close(d.done)
	})
	return d
}

func (n *Node) dialPeer(id fleet.EntryID, address string) (*connection, error) {
	n.Counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(n.ctx, n.Timeouts.Dial)
	defer cancel()
	c, err := n.dialAddress(ctx, id, address)
	if err != nil {
		n.Counters.DialsFailed.Add(1)
		n.Log.Debug().Str("peer", string(id)).Str("remote", address).Err(err).Msg("peer could not be reached")
		return nil, errorClass.Wrap(err)
	}
	connection := &connection{Conn: c, dialer: n.ID}
	if !n.addConnection(id, connection) {
		return nil, errorClass.New("entry stops")
	}
	return connection, nil
}

// connectForRequest returns a connection on which a message arrived recently, and opens one if there is none. The
// caller must call endRequest for it.
func (n *Node) connectForRequest(ctx context.Context, id fleet.EntryID, address string) (*connection, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, errorClass.New("entry stops")
	}
	l := n.findOrAddLink(id)
	if address != "" {
		l.address = address
	}
	if c := n.preferredConnection(l); c != nil && n.receivedRecently(c) {
		c.sending++
		n.mu.Unlock()
		return c, nil
	}
	d := n.startDial(l)
	n.mu.Unlock()
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if d.err != nil {
		return nil, d.err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if d.connection.retired {
		return nil, errorClass.New("another connection is in use")
	}
	d.connection.sending++
	return d.connection, nil
}

// endRequest ends the use of a connection that connectForRequest returned.
func (n *Node) endRequest(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.sending--
}
