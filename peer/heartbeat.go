package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// SendHeartbeat queues a heartbeat and never blocks. If the queue is full, the oldest heartbeat in it is
// dropped. The heartbeat is sent in the background, on a new connection if there is none.
func (n *Node) SendHeartbeat(o fleet.OutgoingHeartbeat) {
	b, err := encodeHeartbeat(o.Heartbeat)
	if err != nil {
		n.Counters.HeartbeatsDropped.Add(1)
		n.Log.Error().Str("peer", string(o.ID)).Err(err).Msg("heartbeat can't be encoded")
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	l := n.findOrAddLink(o.ID)
	l.address = o.Address
	for {
		select {
		case l.heartbeats <- b:
			return
		default:
		}
		// The newest heartbeat is kept; it may announce that the entry serves or leaves.
		select {
		case <-l.heartbeats:
			n.Counters.HeartbeatsDropped.Add(1)
		default:
		}
	}
}

// sendHeartbeats sends the queued heartbeats of one peer. It runs in its own goroutine for two reasons:
// SendDatagram blocks while the congestion window is full, and a heartbeat waits for a missing connection,
// since the next one may not be due for seconds.
func (n *Node) sendHeartbeats(l *link) {
	for {
		select {
		case <-n.ctx.Done():
			return
		case b := <-l.heartbeats:
			c, waited := n.connectForHeartbeat(l)
			if waited {
				b = latestHeartbeat(l.heartbeats, b)
			}
			if c == nil || c.SendDatagram(b) != nil {
				n.Counters.HeartbeatsDropped.Add(1)
				continue
			}
			n.Counters.HeartbeatsSent.Add(1)
		}
	}
}

// latestHeartbeat returns the last queued heartbeat, or b if the queue is empty. A heartbeat that has waited
// for a connection may be outdated.
func latestHeartbeat(queue <-chan []byte, b []byte) []byte {
	for {
		select {
		case b = <-queue:
		default:
			return b
		}
	}
}

// connectForHeartbeat returns the connection with a peer; nil if there is none and none can be opened. It
// opens one no sooner than RedialInterval after the last attempt, and after DialDelay if the other end is to
// open it first. waited says that there was no connection at first.
func (n *Node) connectForHeartbeat(l *link) (c *connection, waited bool) {
	n.mu.Lock()
	c = n.preferredConnection(l)
	delay := time.Until(l.nextDialAt)
	n.mu.Unlock()
	if c != nil {
		return c, false
	}
	if n.ID > l.id {
		delay = max(delay, n.Timeouts.DialDelay)
	}
	select {
	case <-n.ctx.Done():
		return nil, true
	case <-time.After(delay):
	}
	n.mu.Lock()
	if c = n.preferredConnection(l); c != nil || n.closed {
		n.mu.Unlock()
		return c, true
	}
	d := n.startDial(l)
	n.mu.Unlock()
	<-d.done
	return d.connection, true
}

// receiveDatagrams handles the heartbeats that arrive on a connection.
func (n *Node) receiveDatagrams(id fleet.EntryID, c *connection) {
	leaf := c.ConnectionState().TLS.PeerCertificates[0]
	for {
		b, err := c.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		h, err := decodeMessage[fleet.Heartbeat](b, maxHeartbeatSize)
		if err != nil {
			n.Counters.HeartbeatsMalformed.Add(1)
			continue
		}
		if !certificateNames(leaf, h.From) {
			n.Counters.HeartbeatsWrongSender.Add(1)
			n.Log.Warn().Str("peer", string(id)).Str("from", string(h.From)).
				Msg("heartbeat names another sender than the certificate; dropped")
			continue
		}
		n.markReceived(c)
		n.Counters.HeartbeatsReceived.Add(1)
		n.Handler.Heartbeat(h)
	}
}

func (n *Node) dialAddress(ctx context.Context, id fleet.EntryID, address string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return n.transport.Dial(ctx, to, n.identity.clientConfig(id), n.config())
}
