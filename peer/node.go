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

// Timeouts holds the timeouts and intervals of a Node. Zero fields are replaced by their defaults.
type Timeouts struct {
	// Idle is the silence after which a connection is closed; default 2 s.
	Idle time.Duration
	// KeepAlive is the silence after which a packet is sent to keep a connection open; default 700 ms, so that
	// two packets may be lost within Idle.
	KeepAlive time.Duration
	// MaxSilence is the maximum silence of a connection that a request is sent on; default 1.2 s, two
	// heartbeats and their jitter. After a longer silence a new connection is opened first, so that the
	// request is not lost on a half-open one.
	MaxSilence time.Duration
	// Dial limits the time to open a connection; default 2 s.
	Dial time.Duration
	// RedialInterval is the minimum time between two attempts to open a connection for heartbeats. The default
	// is 500 ms.
	RedialInterval time.Duration
	// DialDelay is how long the entry with the higher ID waits for the other to open their connection, so that
	// there is usually only one; default 300 ms.
	DialDelay time.Duration
	// Fetch limits the time to fetch a pair; default 5 s.
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

// Flow control windows in bytes. They limit the memory that a slow reader of bodies can occupy:
// maxStreamWindow for each stream, connectionWindow for each connection. What streams hold unread also counts against the
// window of their connection, which grows only as they are read: it must be large from the start, or a few slow readers
// would stop all other responses of the connection. A request that waits for a target is not read. With small windows of
// streams at first, several hundred of them leave room for other requests on the connection.
const (
	initialStreamWindow = 32 << 10
	maxStreamWindow     = 256 << 10
	connectionWindow    = 16 << 20
	// maxStreams is the maximum number of requests of one connection that run at a time.
	maxStreams = 4096
)

// Counters counts the operations of a Node since its start.
type Counters struct {
	HeartbeatsSent, HeartbeatsReceived atomic.Uint64
	// HeartbeatsDropped counts heartbeats that were not sent: there was no connection, or the queue was full.
	HeartbeatsDropped atomic.Uint64
	// HeartbeatsWrongSender counts heartbeats whose sender is not named by the peer's certificate.
	// HeartbeatsMalformed counts those that can't be decoded.
	HeartbeatsWrongSender, HeartbeatsMalformed atomic.Uint64
	Dials, DialsFailed                         atomic.Uint64
	ForwardsSent, ForwardsReceived             atomic.Uint64
}

// Node is an entry's endpoint of the QUIC connections with its peers. It is safe for concurrent use.
type Node struct {
	ID fleet.EntryID
	// Address is the UDP address to listen on.
	Address string
	// TLS names the files of the entry's identity. If it is zero, the node creates a self-signed certificate
	// and accepts certificates of any issuer.
	TLS     TLSFiles
	Handler Handler
	// Log may be the zero value.
	Log      zerolog.Logger
	Timeouts Timeouts
	// WrapSocket wraps the socket, for tests that lose packets. It may be nil.
	WrapSocket func(net.PacketConn) net.PacketConn
	Counters   Counters

	identity  *identity
	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	startedAt time.Time

	mu     sync.Mutex
	closed bool
	links  map[fleet.EntryID]*link
	// draining says that requests of peers are rejected.
	draining bool
	// serving counts the requests of peers that were accepted and are not over.
	serving int
	// drained is closed when draining is set and serving is 0, unless Close came first.
	drained chan struct{}
}

// Start opens the socket, accepts connections of peers in the background, and returns.
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
	n.startedAt = time.Now()
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
	n.drained = make(chan struct{})
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
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     connectionWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		EnableDatagrams:                true,
		// Heartbeats are small. Probing the path would send more bytes than all of them: about 15 KB on each
		// connection of a full mesh.
		DisablePathMTUDiscovery: true,
	}
}

// LocalAddress returns the address that the socket is bound to.
func (n *Node) LocalAddress() string { return n.socket.LocalAddr().String() }

// Drain rejects the requests of peers that arrive from now on, without calling the handler. It returns nil when
// those accepted before are over: their handlers have returned, and their senders have received the complete response
// or have given up. The loss of a peer is noticed after Timeouts.Idle. Heartbeats and the requests of this node go on.
// It returns an error if ctx ends or the node is closed before that. The node goes on to reject requests in all cases.
// Drain may be called several times, after Start.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	if !n.draining {
		n.draining = true
		n.signalIfDrained()
	}
	n.mu.Unlock()
	select {
	case <-n.drained:
		return nil
	case <-n.ctx.Done():
		return errStopping
	case <-ctx.Done():
		n.mu.Lock()
		defer n.mu.Unlock()
		return errorClass.New("%d requests of peers are not over: %w", n.serving, context.Cause(ctx))
	}
}

// signalIfDrained closes n.drained when the last request is over. n.mu must be held.
func (n *Node) signalIfDrained() {
	if n.draining && !n.closed && n.serving == 0 {
		close(n.drained)
	}
}

// Close resets all requests, closes all connections and waits until all handlers have returned. Senders on
// connections without open requests learn that none of their requests without a response was run. After a Drain that
// returned nil, these are all connections but those on which a handler has returned without a complete response.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed || n.listener == nil {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	codes := make(map[*connection]quic.ApplicationErrorCode)
	for _, l := range n.links {
		for _, c := range l.connections {
			codes[c] = c.closeCode(codeClosing)
		}
	}
	n.mu.Unlock()
	n.cancel()
	_ = n.listener.Close()
	for c, code := range codes {
		_ = c.CloseWithError(code, "entry stops")
	}
	n.tasks.Wait()
	err := n.transport.Close()
	_ = n.socket.Close()
	return errorClass.Wrap(err)
}

// accept accepts the connections that peers open until the listener is closed. Those that wait by then are accepted, too,
// so that addConnection closes them.
func (n *Node) accept() {
	for {
		c, err := n.listener.Accept(context.Background())
		if err != nil {
			return
		}
		id := certificateID(c.ConnectionState().TLS.PeerCertificates[0])
		if id == n.ID {
			_ = c.CloseWithError(codeRejected, "connection from an entry with the same name")
			continue
		}
		n.addConnection(id, &connection{Conn: c, dialer: id})
	}
}

// startServing serves a request of a peer in a goroutine, and counts it until it is over. It returns false if the node
// rejects requests. That is decided together with the counts, so Drain and Close miss no request.
func (n *Node) startServing(id fleet.EntryID, c *connection, s *quic.Stream) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.draining || c.retired {
		return false
	}
	n.serving++
	c.serving++
	n.tasks.Go(func() {
		handled := n.serve(id, s)
		n.mu.Lock()
		defer n.mu.Unlock()
		c.unconfirmed = c.unconfirmed || handled && !senderStopped(s)
		c.serving--
		n.serving--
		n.signalIfDrained()
	})
	return true
}

// startTask starts a goroutine that Close waits for. It returns false if the node is closed.
func (n *Node) startTask(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Go(f)
	return true
}
