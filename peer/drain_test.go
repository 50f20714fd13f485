package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

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

// connect opens the connection from one node to another, and returns when no request is open on it.
func connect(t testing.TB, from, to *Node) {
	t.Helper()
	if _, err := from.FetchPair(context.Background(), member(to), 7); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		to.mu.Lock()
		defer to.mu.Unlock()
		return to.serving == 0
	})
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
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	if err := n.Drain(ctx); err != nil {
		return err
	}
	return n.Close()
}

// drain drains a node in the background, and returns when the node rejects requests.
func drain(ctx context.Context, t testing.TB, n *Node) <-chan error {
	t.Helper()
	drained := make(chan error, 1)
	go func() { drained <- n.Drain(ctx) }()
	waitFor(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.draining
	})
	return drained
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

// Guards against a drain that ends before the requests that the node has accepted, runs later ones, or silences the
// node.
func TestDrainFinishesAcceptedRequests(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	started, release := make(chan struct{}, 2), make(chan struct{})
	h := &testHandler{forward: func(ctx context.Context, f ForwardHeader, body io.Reader, w ResponseWriter) {
		calls.Add(1)
		started <- struct{}{}
		<-release
		echo(ctx, f, body, w)
	}}
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", h)
	accepted := forward(a, b, strings.NewReader("accepted"))
	<-started
	drained := drain(context.Background(), t, b)
	rejected := <-forward(a, b, strings.NewReader("rejected"))
	is.True(WasNotSent(rejected.err))
	is.Equal(calls.Load(), int64(1))
	_, err := a.FetchPair(context.Background(), member(b), 0)
	is.True(WasNotSent(err))
	a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "a"}})
	is.Equal((<-h.heartbeats).From, fleet.EntryID("a"))
	connect(t, b, a) // its own requests go on
	select {
	case err := <-drained:
		t.Fatalf("drained during a request: %v", err)
	default:
	}
	close(release)
	got := <-accepted
	is.NoErr(got.err)
	is.Equal(got.body, "accepted")
	is.NoErr(<-drained)
	is.NoErr(b.Drain(context.Background()))
}

// Guards against a drain that ignores the end of its context or the close of the node.
func TestDrainIsInterrupted(t *testing.T) {
	for _, c := range []struct {
		name      string
		interrupt func(cancel context.CancelFunc, n *Node)
		want      error
	}{
		{"context ends", func(cancel context.CancelFunc, _ *Node) { cancel() }, context.Canceled},
		{"node is closed", func(_ context.CancelFunc, n *Node) { _ = n.Close() }, errStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			wait := func(ctx context.Context, _ ForwardHeader, _ io.Reader, _ ResponseWriter) {
				close(started)
				<-ctx.Done()
			}
			a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: wait})
			results := forward(a, b, nil)
			<-started
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			drained := drain(ctx, t, b)
			c.interrupt(cancel, b)
			is.True(errors.Is(<-drained, c.want))
			is.NoErr(b.Close())
			got := <-results
			is.True(got.err != nil)
			is.True(!WasNotSent(got.err)) // the handler was called
		})
	}
}

// Guards against requests that hold up a drain after their senders have given up, and against streams that are kept
// for such senders.
func TestDrainDoesNotWaitForSendersThatGaveUp(t *testing.T) {
	respond := func(size int) func(context.Context, ForwardHeader, io.Reader, ResponseWriter) {
		return func(_ context.Context, _ ForwardHeader, _ io.Reader, w ResponseWriter) {
			_ = w.WriteHeader(ResponseHeader{Status: 200, ContentLength: -1})
			_, _ = w.Write(make([]byte, size))
			_ = w.Finish(nil)
		}
	}
	closeBody := func(_ context.CancelFunc, response *Response) { _ = response.Body.Close() }
	cancelRequest := func(cancel context.CancelFunc, _ *Response) { cancel() }
	for _, c := range []struct {
		name   string
		size   int
		giveUp func(cancel context.CancelFunc, response *Response)
	}{
		{"large response, body closed", 2 * maxStreamWindow, closeBody},
		{"large response, request canceled", 2 * maxStreamWindow, cancelRequest},
		{"empty response, body closed", 0, closeBody},
		{"empty response, request canceled", 0, cancelRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: respond(c.size)})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, w := io.Pipe()
			defer func() { _ = w.Close() }()
			response, err := a.Forward(ctx, member(b), ForwardHeader{To: "b"}, r)
			is.NoErr(err)
			c.giveUp(cancel, response)
			drainCtx, stop := context.WithTimeout(context.Background(), conditionTimeout)
			defer stop()
			is.NoErr(b.Drain(drainCtx))
		})
	}
}

// Guards against a drain that waits for the receipt of a response that the handler didn't finish or didn't begin, and
// against taking such a request for not run when the end of its response is lost.
func TestDrainDoesNotWaitForTruncatedResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(ResponseWriter)
	}{
		{"no response", func(ResponseWriter) {}},
		{"no end", func(w ResponseWriter) { _ = w.WriteHeader(ResponseHeader{Status: 200, ContentLength: 10}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			socket := &lossySocket{}
			truncate := func(_ context.Context, _ ForwardHeader, _ io.Reader, w ResponseWriter) {
				socket.toDrop.Store(1 << 30)
				c.respond(w)
			}
			a := startNode(t, "a", &testHandler{})
			b := startLossyNode(t, "b", &testHandler{forward: truncate}, socket)
			connect(t, a, b)
			results := forward(a, b, nil)
			waitFor(t, func() bool { return b.Counters.ForwardsReceived.Load() == 1 })
			ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
			defer cancel()
			is.NoErr(b.Drain(ctx))
			socket.toDrop.Store(0)
			is.NoErr(b.Close())
			got := <-results
			is.True(got.err != nil)
			is.True(!WasNotSent(got.err)) // the handler was called
		})
	}
}

// Guards against connections that Close leaves open because they were not accepted yet: their senders wait until the
// connection times out, and don't learn that no handler was called.
func TestCloseEndsConnectionsThatAreNotAcceptedYet(t *testing.T) {
	is := is.New(t)
	b := startNode(t, "b", &testHandler{forward: echo})
	b.mu.Lock() // the first connection can't be added, the others are not accepted
	var results []<-chan result
	for range 6 {
		a := startNode(t, "a", &testHandler{})
		results = append(results, forward(a, b, nil))
		waitFor(t, func() bool { return a.Counters.ForwardsSent.Load() == 1 })
	}
	closed := make(chan error, 1)
	go func() { closed <- b.Close() }()
	b.mu.Unlock()
	is.NoErr(<-closed)
	for _, r := range results {
		got := <-r
		var end *quic.ApplicationError // of the request that was being served
		if got.err != nil && !WasNotSent(got.err) && !errors.As(got.err, &end) {
			t.Error(got.err)
		}
	}
}

// outcome is how a request ended at its sender, and whether the handler of the receiver was called for it.
type outcome struct {
	err    error
	called bool
}

// outcomesAroundStop sends requests without a pause while stop stops a node. It returns the first error of each sender.
// Responses that are not an echo of their request fail the test.
func outcomesAroundStop(t *testing.T, socket *lossySocket, stop func(*Node) error) []outcome {
	const senders = 8
	var calls sync.Map
	a := startNode(t, "a", &testHandler{})
	b := startLossyNode(t, "b", &testHandler{forward: func(ctx context.Context, f ForwardHeader, body io.Reader, w ResponseWriter) {
		calls.Store(f.URI, true)
		echo(ctx, f, body, w)
	}}, socket)
	connect(t, a, b)
	outcomes := make(chan outcome, senders)
	var answered atomic.Int64
	for sender := range senders {
		go func() {
			for i := 0; ; i++ {
				uri := fmt.Sprintf("/%d/%d", sender, i)
				got, err := io.ReadAll(&forwarded{from: a, to: b, uri: uri})
				if err != nil {
					_, called := calls.Load(uri)
					outcomes <- outcome{err, called}
					return
				}
				if string(got) != uri {
					t.Errorf("response %q to %q", got, uri)
				}
				answered.Add(1)
			}
		}()
	}
	waitFor(t, func() bool { return answered.Load() > senders })
	if err := stop(b); err != nil {
		t.Error(err)
	}
	var all []outcome
	for range senders {
		all = append(all, <-outcomes)
	}
	return all
}

// forwarded reads the response to a request, whose body is its URI.
type forwarded struct {
	from, to *Node
	uri      string
	response *Response
}

func (f *forwarded) Read(p []byte) (int, error) {
	if f.response == nil {
		h := ForwardHeader{To: f.to.ID, URI: f.uri}
		response, err := f.from.Forward(context.Background(), member(f.to), h, strings.NewReader(f.uri))
		if err != nil {
			return 0, err
		}
		f.response = response
	}
	return f.response.Body.Read(p)
}

// Guards against false reports on requests that arrive while a node drains and closes: each is either answered in
// full, or no handler was called and its sender knows it.
func TestOutcomesAreKnownAfterDrain(t *testing.T) {
	for range 20 {
		for _, o := range outcomesAroundStop(t, &lossySocket{}, drainAndClose) {
			is := is.New(t)
			is.True(!o.called)
			is.True(WasNotSent(o.err))
		}
	}
}

// Guards against taking requests for not run whose handler was called, when a node is closed without a drain, also
// when its last packets are lost.
func TestRequestsBrokenOffByCloseCountAsSent(t *testing.T) {
	for lost := range int64(8) {
		t.Run(fmt.Sprintf("lost=%d", lost), func(t *testing.T) {
			t.Parallel()
			socket := &lossySocket{}
			outcomes := outcomesAroundStop(t, socket, func(b *Node) error {
				socket.toDrop.Store(lost)
				return b.Close()
			})
			for _, o := range outcomes {
				is := is.New(t)
				is.True(!o.called || !WasNotSent(o.err))
			}
		})
	}
}
