package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// conditionTimeout limits how long a test waits for a condition. It decides no verdict of a correct node.
const conditionTimeout = 20 * time.Second

// lossySocket drops the next packets that a node sends.
type lossySocket struct {
	net.PacketConn
	toDrop  atomic.Int64 // packets that are still to be dropped
	dropped atomic.Int64
}

func (s *lossySocket) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.toDrop.Add(-1) >= 0 {
		s.dropped.Add(1)
		return len(b), nil
	}
	return s.PacketConn.WriteTo(b, to)
}

// startLossyNode is startNode with a socket that can drop packets.
func startLossyNode(t testing.TB, id fleet.EntryID, h *testHandler, socket *lossySocket) *Node {
	t.Helper()
	dir, err := certificates()
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{ID: id, Address: "127.0.0.1:0", TLS: DevelopmentTLSFiles(dir, id), Handler: h}
	n.WrapSocket = func(c net.PacketConn) net.PacketConn {
		socket.PacketConn = c
		return socket
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// connect opens the connection from one node to another, so that the next request is the first packet on it.
func connect(t testing.TB, from, to *Node) {
	t.Helper()
	if _, err := from.FetchPair(context.Background(), member(to), 7); err != nil {
		t.Fatal(err)
	}
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

// drainAndClose closes a node as a planned stop does.
func drainAndClose(n *Node) error {
	if d, ok := any(n).(interface{ Drain(context.Context) error }); ok {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		if err := d.Drain(ctx); err != nil {
			return err
		}
	}
	return n.Close()
}

// result is what the sender of a request got.
type result struct {
	body string
	err  error
}

// forward sends a request in the background.
func forward(from, to *Node, body io.Reader) <-chan result {
	results := make(chan result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
		defer cancel()
		response, err := from.Forward(ctx, member(to), ForwardHeader{To: to.ID, Method: "POST"}, body)
		if err != nil {
			results <- result{err: err}
			return
		}
		received, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		results <- result{string(received), err}
	}()
	return results
}

// Guards against a planned stop that discards a response: the handler has returned, but the packets of the
// response were lost and are not sent again.
func TestStopKeepsResponsesThatAreOnTheirWay(t *testing.T) {
	for _, c := range []struct {
		name string
		body func() (io.Reader, func())
	}{
		{"no request body", func() (io.Reader, func()) { return nil, func() {} }},
		{"response before the end of the request body", func() (io.Reader, func()) {
			r, w := io.Pipe()
			return r, func() { _ = w.Close() }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := startNode(t, "a", &testHandler{})
			returned := make(chan struct{})
			socket := &lossySocket{}
			respond := func(_ context.Context, _ ForwardHeader, _ io.Reader, w ResponseWriter) {
				defer close(returned)
				socket.toDrop.Store(3) // the response, and what else is sent meanwhile
				_ = w.WriteHeader(ResponseHeader{Status: 200, ContentLength: -1})
				_, _ = io.WriteString(w, "done")
				_ = w.Finish(nil)
			}
			b := startLossyNode(t, "b", &testHandler{forward: respond}, socket)
			connect(t, a, b)
			body, closeBody := c.body()
			defer closeBody()
			results := forward(a, b, body)
			<-returned
			is.NoErr(drainAndClose(b))
			got := <-results
			is.NoErr(got.err)
			is.Equal(got.body, "done")
			is.True(socket.dropped.Load() > 0)
		})
	}
}

// Guards against an unknown outcome of a request that a stopping node has rejected without calling its handler.
func TestRejectionByStoppingNodeProvesNotRun(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	called := func(context.Context, ForwardHeader, io.Reader, ResponseWriter) { calls.Add(1) }
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: called})
	connect(t, a, b)
	setClosed := func(closed bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = closed
	}
	setClosed(true)
	defer setClosed(false) // for the cleanup
	got := <-forward(a, b, nil)
	is.Equal(calls.Load(), int64(0))
	is.True(got.err != nil)
	is.True(WasNotSent(got.err)) // the handler was never called
}

// Guards against an unknown outcome of a request that is on its way when the node closes the connection.
func TestRequestOvertakenByCloseProvesNotRun(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	called := func(context.Context, ForwardHeader, io.Reader, ResponseWriter) { calls.Add(1) }
	socket := &lossySocket{}
	a := startLossyNode(t, "a", &testHandler{}, socket)
	b := startNode(t, "b", &testHandler{forward: called})
	connect(t, a, b)
	socket.toDrop.Store(1 << 30)
	results := forward(a, b, nil)
	waitFor(t, func() bool { return a.Counters.ForwardsSent.Load() == 1 })
	before := socket.dropped.Load()
	waitFor(t, func() bool { return socket.dropped.Load() > before })
	is.NoErr(drainAndClose(b))
	got := <-results
	is.Equal(calls.Load(), int64(0))
	var e *Error
	is.True(errors.As(got.err, &e))
	is.True(WasNotSent(got.err)) // the handler was never called
}
