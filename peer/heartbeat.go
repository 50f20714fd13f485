package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// SendHeartbeat sends a heartbeat in the background, where a missing connection is opened first, in place of an
// older one if several are waiting already; it never blocks.
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
	l := n.linkTo(o.ID)
	l.address = o.Address
	for {
		select {
		case l.queue <- b:
			return
		default:
		}
		// The newest heartbeat counts; it may say that the entry serves or leaves.
		select {
		case <-l.queue:
			n.Counters.HeartbeatsDropped.Add(1)
		default:
		}
	}
}

// sendQueue hands the heartbeats of one peer to its connection. It is a task of its own because
// SendDatagram blocks while the congestion window is full, and because a heartbeat waits for a missing
// connection: the next one may not be due for seconds.
func (n *Node) sendQueue(l *link) {
	for {
		select {
		case <-n.ctx.Done():
			return
		case b := <-l.queue:
			c, waited := n.connectForHeartbeat(l)
			if waited {
				b = newest(l.queue, b)
			}
			if c == nil || c.SendDatagram(b) != nil {
				n.Counters.HeartbeatsDropped.Add(1)
				continue
			}
			n.Counters.HeartbeatsSent.Add(1)
		}
	}
}

// newest returns the last heartbeat that waits, or b if none does: one that has waited for a connection is outdated.
func newest(queue <-chan []byte, b []byte) []byte {
	for {
		select {
		case b = <-queue:
		default:
			return b
		}
	}
}

// connectForHeartbeat returns the connection with a peer. It opens one if there is none, after leaving the other
// end its turn and not sooner than Redial after the last attempt; nil means that there is none. waited says that
// there was none at first.
func (n *Node) connectForHeartbeat(l *link) (c *connection, waited bool) {
	n.mu.Lock()
	c = n.best(l)
	pause := time.Until(l.nextDial)
	n.mu.Unlock()
	if c != nil {
		return c, false
	}
	if n.ID > l.id {
		pause = max(pause, n.Timeouts.DialDelay)
	}
	select {
	case <-n.ctx.Done():
		return nil, true
	case <-time.After(pause):
	}
	n.mu.Lock()
	if c = n.best(l); c != nil || n.closed {
		n.mu.Unlock()
		return c, true
	}
	d := n.startDial(l)
	n.mu.Unlock()
	<-d.done
	return d.connection, true
}

// receiveDatagrams takes the heartbeats that arrive on a connection.
func (n *Node) receiveDatagrams(id fleet.EntryID, c *connection) {
	leaf := c.ConnectionState().TLS.PeerCertificates[0]
	for {
		b, err := c.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		h, err := decodeMessage[fleet.Heartbeat](b, maxHeartbeat)
		if err != nil {
			n.Counters.HeartbeatsMalformed.Add(1)
			continue
		}
		if !namedBy(leaf, h.From) {
			n.Counters.HeartbeatsWrongSender.Add(1)
			n.Log.Warn().Str("peer", string(id)).Str("from", string(h.From)).
				Msg("heartbeat names another sender than the certificate; dropped")
			continue
		}
		n.heard(c)
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
