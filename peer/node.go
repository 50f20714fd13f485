package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Timeouts holds the periods that a Node works with. Zero fields are replaced by their defaults.
type Timeouts struct {
	// Idle is after which silence a connection is given up; 2 s.
	Idle time.Duration
	// KeepAlive is after which silence a packet is sent to keep a connection; 700 ms, so that two
	// may be lost.
	KeepAlive time.Duration
	// MaxSilence is how long ago something must have arrived on a connection for a request to be sent on
	// it; 1.2 s, two heartbeats and their jitter. Otherwise a new connection is opened first, so that a
	// request does not get lost on one that went silent.
	MaxSilence time.Duration
	// Dial bounds opening a connection; 2 s.
	Dial time.Duration
	// RedialInterval is the least time between two attempts to open a connection for heartbeats; 500 ms.
	RedialInterval time.Duration
	// DialDelay is how long the entry with the higher id leaves it to the other to open their
	// connection, so that usually there is only one; 300 ms.
	DialDelay time.Duration
	// Fetch bounds fetching a pair; 5 s.
	Fetch time.Duration
}

func (t Timeouts) withDefaults() Timeouts {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.Idle, 2 * time.Second},
		{&t.KeepAlive, 700 * time.Millisecond},
		{&t.MaxSilence, 1200 * time.Millisecond},
		{&t.Dial, 2 * time.Second},
		{&t.RedialInterval, 500 * time.Millisecond},
		{&t.DialDelay, 300 * time.Millisecond},
		{&t.Fetch, 5 * time.Second},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}

// Flow control windows in bytes. They bound the memory that a slow reader of bodies can hold: one
// stream holds at most maxStreamWindow, one peer at most maxConnectionWindow.
const (
	initialStreamWindow     = 128 << 10
	maxStreamWindow         = 512 << 10
	initialConnectionWindow = 1 << 20
	maxConnectionWindow     = 16 << 20
	// maxStreams is how many requests of one peer may run at a time.
	maxStreams = 4096
)

// Counters counts what a Node did since its start.
type Counters struct {
	HeartbeatsSent, HeartbeatsReceived atomic.Uint64
	// HeartbeatsDropped counts heartbeats that were not sent: no connection, or a full queue.
	HeartbeatsDropped atomic.Uint64
	// HeartbeatsWrongSender counts heartbeats whose sender is not the one in the certificate,
	// HeartbeatsMalformed those that can't be decoded.
	HeartbeatsWrongSender, HeartbeatsMalformed atomic.Uint64
	Dials, DialsFailed                         atomic.Uint64
	ForwardsSent, ForwardsReceived             atomic.Uint64
}

// Node is an entry's end of the QUIC connections with its peers. It is safe for concurrent use.
type Node struct {
	ID fleet.EntryID
	// Address is the UDP address to listen on.
	Address string
	// TLS names the files of the entry's identity. Without any, the node makes an identity that nobody
	// vouches for and accepts those of others.
	TLS     TLSFiles
	Handler Handler
	// Log may be left zero.
	Log      zerolog.Logger
	Timeouts Timeouts
	// WrapSocket replaces the socket, for tests that lose packets. It may be nil.
	WrapSocket func(net.PacketConn) net.PacketConn
	Counters   Counters

	identity  *identity
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	began time.Time

	mu     sync.Mutex
	closed bool
	links  map[fleet.EntryID]*link
}

// Start opens the socket and accepts peers. It returns once the socket is open.
func (n *Node) Start() error {
	n.Timeouts = n.Timeouts.withDefaults()
	identity, err := newIdentity(n.TLS, n.ID)
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		return errorClass.Wrap(err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return errorClass.Wrap(err)
	}
	n.began = time.Now()
	n.identity = identity
	n.socket = socket
	if n.WrapSocket != nil {
		n.socket = n.WrapSocket(socket)
	}
	n.transport = &quic.Transport{Conn: n.socket, StatelessResetKey: identity.resetKey()}
	n.listener, err = n.transport.Listen(identity.serverConfig(), n.config())
	if err != nil {
		_ = socket.Close()
		return errorClass.Wrap(err)
	}
	n.links = make(map[fleet.EntryID]*link)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.tasks.Go(n.accept)
	return nil
}

func (n *Node) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           n.Timeouts.Dial / 2,
		MaxIdleTimeout:                 n.Timeouts.Idle,
		KeepAlivePeriod:                n.Timeouts.KeepAlive,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		EnableDatagrams:                true,
		// Heartbeats are small, and probing the path would cost more than all of them: about 15 KB for
		// each connection of a full mesh.
		DisablePathMTUDiscovery: true,
	}
}

// LocalAddress returns the address that the socket is bound to.
func (n *Node) LocalAddress() string { return n.socket.LocalAddr().String() }

// Close resets all requests, closes all connections and waits for all handlers to return.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed || n.listener == nil {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	var connections []*connection
	for _, l := range n.links {
		connections = append(connections, l.connections...)
	}
	n.mu.Unlock()
	n.cancel()
	_ = n.listener.Close()
	for _, c := range connections {
		_ = c.CloseWithError(codeClosing, "entry stops")
	}
	n.tasks.Wait()
	err := n.transport.Close()
	_ = n.socket.Close()
	return errorClass.Wrap(err)
}

// accept takes the connections that peers open.
func (n *Node) accept() {
	for {
		c, err := n.listener.Accept(n.ctx)
		if err != nil {
			return
		}
		id := nameOf(c.ConnectionState().TLS.PeerCertificates[0])
		if id == n.ID {
			_ = c.CloseWithError(codeRefused, "connection from an entry with the same name")
			continue
		}
		n.adopt(id, &connection{Conn: c, dialler: id})
	}
}

// run starts a task that Close waits for; it reports false if the node is closed.
func (n *Node) run(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Go(f)
	return true
}
