package peer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// heartbeatQueue is how many heartbeats wait for a connection or for the socket; older ones are
// worthless.
const heartbeatQueue = 4

// link holds the connections with one peer. Its fields are guarded by Node.mu.
type link struct {
	id          fleet.EntryID
	address     string
	connections []*connection
	dial        *dial
	nextDial    time.Time
	queue       chan []byte
}

// connection is one QUIC connection with a peer.
type connection struct {
	*quic.Conn
	// dialler is the entry that opened it.
	dialler fleet.EntryID
	// requests counts the streams in use.
	requests atomic.Int64
	// heardAt is when a heartbeat, a request or an answer last arrived, since Node.began.
	heardAt atomic.Int64
}

// heard notes that something arrived.
func (n *Node) heard(c *connection) { c.heardAt.Store(int64(time.Since(n.began))) }

// fresh reports whether something arrived lately.
func (n *Node) fresh(c *connection) bool {
	return time.Since(n.began)-time.Duration(c.heardAt.Load()) <= n.Timeouts.MaxSilence
}

// dial is an attempt to open a connection that several callers may wait for.
type dial struct {
	done       chan struct{}
	connection *connection
	err        error
}

// best returns the connection to send on: one on which something arrived lately, of these the one
// that the lower id opened, so that both ends choose the same, and of several the newest.
func (n *Node) best(l *link) *connection {
	var best *connection
	bestFresh := false
	for _, c := range l.connections {
		if c.Context().Err() != nil {
			continue
		}
		fresh := n.fresh(c)
		if best == nil || fresh && !bestFresh || fresh == bestFresh && c.dialler <= best.dialler {
			best, bestFresh = c, fresh
		}
	}
	return best
}

// linkTo returns the link to a peer. n.mu is held.
func (n *Node) linkTo(id fleet.EntryID) *link {
	l := n.links[id]
	if l == nil {
		l = &link{id: id, queue: make(chan []byte, heartbeatQueue)}
		n.links[id] = l
		n.tasks.Go(func() { n.sendQueue(l) })
	}
	return l
}

// adopt takes a new connection into use and serves what arrives on it.
func (n *Node) adopt(id fleet.EntryID, c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.CloseWithError(codeClosing, "entry stops")
		return false
	}
	n.heard(c)
	l := n.linkTo(id)
	l.connections = append(l.connections, c)
	n.tasks.Go(func() { n.receiveDatagrams(id, c) })
	n.tasks.Go(func() { n.acceptStreams(id, c) })
	n.tasks.Go(func() { n.watch(l, c) })
	n.Log.Debug().Str("peer", string(id)).Str("dialler", string(c.dialler)).
		Str("remote", c.RemoteAddr().String()).Msg("peer connected")
	return true
}

// supersededCheck is how often an end looks whether its connection is still the one to use.
const supersededCheck = time.Second

// watch removes a connection when it has ended, and ends one that this entry opened and that both
// ends have stopped using because there is a better one.
func (n *Node) watch(l *link, c *connection) {
	ticker := time.NewTicker(supersededCheck)
	defer ticker.Stop()
	unused := 0
	for c.Context().Err() == nil {
		select {
		case <-c.Context().Done():
		case <-ticker.C:
			n.mu.Lock()
			superseded := n.best(l) != c
			n.mu.Unlock()
			if !superseded || c.dialler != n.ID || c.requests.Load() > 0 {
				unused = 0
				continue
			}
			if unused++; unused > 1 {
				_ = c.CloseWithError(codeSuperseded, "another connection is in use")
			}
		}
	}
	n.mu.Lock()
	l.connections = slices.DeleteFunc(l.connections, func(o *connection) bool { return o == c })
	n.mu.Unlock()
	n.Log.Debug().Str("peer", string(l.id)).AnErr("cause", context.Cause(c.Context())).Msg("peer connection ended")
}

// startDial opens a connection in the background unless one is being opened. n.mu is held.
func (n *Node) startDial(l *link) *dial {
	if l.dial != nil {
		return l.dial
	}
	d := &dial{done: make(chan struct{})}
	l.dial = d
	address := l.address
	n.tasks.Go(func() {
		d.connection, d.err = n.open(l.id, address)
		n.mu.Lock()
		l.dial = nil
		l.nextDial = time.Now().Add(n.Timeouts.RedialInterval)
		n.mu.Unlock()
		close(d.done)
	})
	return d
}

func (n *Node) open(id fleet.EntryID, address string) (*connection, error) {
	n.Counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(n.ctx, n.Timeouts.Dial)
	defer cancel()
	c, err := n.dialAddress(ctx, id, address)
	if err != nil {
		n.Counters.DialsFailed.Add(1)
		n.Log.Debug().Str("peer", string(id)).Str("remote", address).Err(err).Msg("peer could not be reached")
		return nil, errorClass.Wrap(err)
	}
	connection := &connection{Conn: c, dialler: n.ID}
	if !n.adopt(id, connection) {
		return nil, errorClass.New("entry stops")
	}
	return connection, nil
}

// connect returns a connection with the peer and opens one if there is none.
func (n *Node) connect(ctx context.Context, id fleet.EntryID, address string) (*connection, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, errorClass.New("entry stops")
	}
	l := n.linkTo(id)
	if address != "" {
		l.address = address
	}
	if c := n.best(l); c != nil && n.fresh(c) {
		n.mu.Unlock()
		return c, nil
	}
	d := n.startDial(l)
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.connection, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
