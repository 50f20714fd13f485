package peer

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// supersede opens a second connection between two nodes, by the one with the higher ID, so that the first is preferred.
// It returns the second, as each end sees it. endRequest must be called for it at the higher end before that closes it.
func supersede(t *testing.T, lower, higher *Node) (atLower, atHigher *connection) {
	t.Helper()
	for _, n := range []*Node{lower, higher} {
		n.mu.Lock()
		n.Timeouts.MaxSilence = time.Hour // only preferOnly makes a connection silent
		n.mu.Unlock()
	}
	connect(t, lower, higher)
	higher.mu.Lock()
	l := higher.findOrAddLink(lower.ID)
	l.address = lower.LocalAddress()
	d := higher.startDial(l)
	higher.mu.Unlock()
	<-d.done
	if d.err != nil {
		t.Fatal(d.err)
	}
	higher.mu.Lock()
	d.connection.sending++
	higher.mu.Unlock()
	waitFor(t, func() bool {
		lower.mu.Lock()
		defer lower.mu.Unlock()
		for _, c := range lower.links[higher.ID].connections {
			if c.dialer == higher.ID {
				atLower = c
			}
		}
		return atLower != nil
	})
	return atLower, d.connection
}

// preferOnly makes a node take a message to have arrived last on one connection of a link.
func preferOnly(n *Node, l *link, c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range l.connections {
		other.receivedAt.Store(-int64(n.Timeouts.MaxSilence))
	}
	n.markReceived(c)
}

// Guards against an unknown outcome of a request that is on its way when the peer closes a superseded connection.
func TestRequestOvertakenByCloseOfSupersededConnectionProvesNotRun(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	called := func(context.Context, ForwardHeader, io.Reader, ResponseWriter) { calls.Add(1) }
	socket := &lossySocket{}
	a := startLossyNode(t, "a", &testHandler{}, socket)
	b := startNode(t, "b", &testHandler{forward: called})
	atA, atB := supersede(t, a, b)
	preferOnly(a, a.links["b"], atA)
	socket.toDrop.Store(1 << 30)
	results := forward(a, b, nil)
	waitFor(t, func() bool { return a.Counters.ForwardsSent.Load() == 1 })
	b.endRequest(atB)
	b.closeSuperseded(b.links["a"], atB)
	is.True(atB.Context().Err() != nil)
	got := <-results
	is.Equal(calls.Load(), int64(0))
	is.True(WasNotSent(got.err))
}

// Guards against closing a superseded connection that a request has just chosen, or on which a response is on its way.
func TestSupersededConnectionInUseIsNotClosed(t *testing.T) {
	is := is.New(t)
	returned := make(chan struct{})
	socket := &lossySocket{}
	a := startNode(t, "a", &testHandler{})
	b := startLossyNode(t, "b", &testHandler{forward: func(_ context.Context, _ ForwardHeader, _ io.Reader, w ResponseWriter) {
		defer close(returned)
		socket.toDrop.Store(3)
		_ = w.WriteHeader(ResponseHeader{Status: 204})
		_ = w.Finish(nil)
	}}, socket)
	atA, atB := supersede(t, a, b)
	preferOnly(b, b.links["a"], atB)
	chosen, err := b.connectForRequest(context.Background(), "a", "")
	is.NoErr(err)
	is.Equal(chosen, atB)
	b.endRequest(atB) // only the choice holds it now
	for _, c := range b.links["a"].connections {
		if c != atB {
			preferOnly(b, b.links["a"], c)
		}
	}
	b.closeSuperseded(b.links["a"], atB)
	is.NoErr(atB.Context().Err())

	preferOnly(a, a.links["b"], atA)
	results := forward(a, b, nil)
	<-returned
	b.endRequest(chosen)
	b.closeSuperseded(b.links["a"], atB)
	is.NoErr((<-results).err)
	waitFor(t, func() bool {
		b.closeSuperseded(b.links["a"], atB)
		return atB.Context().Err() != nil
	})
}
