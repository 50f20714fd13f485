package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// mutedSocket drops all packets that a node sends while it is muted, as on a connection that goes silent and
// does not recover.
type mutedSocket struct {
	net.PacketConn
	muted *atomic.Bool
}

func (s mutedSocket) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.muted.Load() {
		return len(b), nil
	}
	return s.PacketConn.WriteTo(b, to)
}

// Guards against silent connections that are not replaced, and against heartbeats that block their sender
// meanwhile.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	var muted atomic.Bool
	a := startNode(t, "a", &testHandler{})
	h := &testHandler{heartbeats: make(chan fleet.Heartbeat, 1000)}
	dir, err := certificates()
	is.NoErr(err)
	b := &Node{
		ID: "b", Address: "127.0.0.1:0", TLS: DevelopmentTLSFiles(dir, "b"), Handler: h,
		WrapSocket: func(c net.PacketConn) net.PacketConn { return mutedSocket{c, &muted} },
	}
	is.NoErr(b.Start())
	defer func() { _ = b.Close() }()
	_, err = a.FetchPair(context.Background(), member(b), 7)
	is.NoErr(err)
	a.mu.Lock()
	old := a.preferredConnection(a.links["b"])
	a.mu.Unlock()

	muted.Store(true)
	silentFrom := time.Now()
	forwarded := make(chan error, 1)
	requested := false
	for old.Context().Err() == nil {
		if !requested && !a.receivedRecently(old) {
			requested = true
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				_, err := a.Forward(ctx, member(b), ForwardHeader{To: "b"}, nil)
				forwarded <- err
			}()
		}
		sendAt := time.Now()
		a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "a"}})
		is.True(time.Since(sendAt) < time.Second) // it must only queue the heartbeat
		select {
		case <-old.Context().Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	forwardErr := <-forwarded
	is.True(WasNotSent(forwardErr)) // the request must not be sent on the silent connection
	detectedAfter := time.Since(silentFrom)
	is.True(detectedAfter < 4*time.Second) // idle timeout of 2 s, with a margin for a busy machine
	t.Logf("silent connection ended after %v", detectedAfter)

	muted.Store(false)
	for len(h.heartbeats) > 0 {
		<-h.heartbeats
	}
	for received := false; !received; {
		a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "a"}})
		select {
		case <-h.heartbeats:
			received = true
		case <-time.After(20 * time.Millisecond):
		}
	}
}
