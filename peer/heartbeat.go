package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// SendHeartbeat sends a heartbeat, or drops it if there is no connection yet; it never blocks. A
// missing connection is opened in the background.
func (n *Node) SendHeartbeat(o fleet.Outgoing) {
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
	if n.best(l) == nil {
		n.Counters.HeartbeatsDropped.Add(1)
		n.dialForHeartbeat(l)
		return
	}
	l.firstWanted = time.Time{}
	select {
	case l.queue <- b:
	default:
		n.Counters.HeartbeatsDropped.Add(1)
	}
}

// dialForHeartbeat opens a connection unless it is the other end's turn or the last attempt was too
// recent. n.mu is held.
func (n *Node) dialForHeartbeat(l *link) {
	now := time.Now()
	if l.firstWanted.IsZero() {
		l.firstWanted = now
	}
	if n.ID > l.id && now.Sub(l.firstWanted) < n.Timeouts.Grace || now.Before(l.nextDial) {
		return
	}
	n.startDial(l)
}

// sendQueue hands the heartbeats of one peer to its connection. It is a task of its own because
// SendDatagram blocks while the congestion window is full.
func (n *Node) sendQueue(l *link) {
	for {
		select {
		case <-n.ctx.Done():
			return
		case b := <-l.queue:
			n.mu.Lock()
			c := n.best(l)
			n.mu.Unlock()
			if c == nil || c.SendDatagram(b) != nil {
				n.Counters.HeartbeatsDropped.Add(1)
				continue
			}
			n.Counters.HeartbeatsSent.Add(1)
		}
	}
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
			n.Counters.HeartbeatsForeign.Add(1)
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
