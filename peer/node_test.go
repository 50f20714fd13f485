package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// testHandler responds with the function in forward.
type testHandler struct {
	forward    func(context.Context, ForwardHeader, io.Reader, ResponseWriter)
	heartbeats chan fleet.Heartbeat
}

func (h *testHandler) Heartbeat(b fleet.Heartbeat) {
	select {
	case h.heartbeats <- b:
	default:
	}
}

func (h *testHandler) Forward(ctx context.Context, f ForwardHeader, body io.Reader, w ResponseWriter) {
	h.forward(ctx, f, body, w)
}

func (h *testHandler) Pair(after table.Revision) PairMessage {
	if after >= 7 {
		return PairMessage{}
	}
	return PairMessage{
		Revision: 7, Digest: 9, Values: map[string][]byte{"tables/pools": bytes.Repeat([]byte("x"), 1<<20)},
	}
}

// Quota grants one request less than is wanted.
func (h *testHandler) Quota(_ context.Context, q QuotaRequest) QuotaResult {
	var r QuotaResult
	for _, n := range q.Wanted {
		r.Grants = append(r.Grants, QuotaGrant{Credit: n - 1, RetryMs: 7, NotOwner: n == 1})
	}
	return r
}

// CheckPaths reaches all targets but the first.
func (h *testHandler) CheckPaths(_ context.Context, c PathCheck) PathResult {
	return PathResult{Reached: c.Targets[1:]}
}

var certificates = sync.OnceValues(func() (string, error) {
	dir, err := tempDir()
	if err != nil {
		return "", err
	}
	return dir, WriteDevelopmentCertificates(dir, []fleet.EntryID{"a", "b", "c"})
})

// startNode starts a node on a free port of the loopback address. The node is closed after the test.
func startNode(t testing.TB, id fleet.EntryID, h *testHandler) *Node {
	t.Helper()
	dir, err := certificates()
	if err != nil {
		t.Fatal(err)
	}
	if h.heartbeats == nil {
		h.heartbeats = make(chan fleet.Heartbeat, 100)
	}
	n := &Node{ID: id, Address: "127.0.0.1:0", TLS: DevelopmentTLSFiles(dir, id), Handler: h}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func member(n *Node) fleet.Member { return fleet.Member{ID: n.ID, PeerAddress: n.LocalAddress()} }

// echo responds with the body of the request while it arrives.
func echo(_ context.Context, _ ForwardHeader, body io.Reader, w ResponseWriter) {
	if w.WriteHeader(ResponseHeader{Status: 200, ContentLength: -1}) != nil {
		return
	}
	if _, err := io.Copy(w, body); err != nil {
		return
	}
	_ = w.Finish(http.Header{"Sum": {"ok"}})
}

// Guards against responses that begin only after the complete request body, mixed-up bodies, and lost
// trailers.
func TestForwardIsFullDuplex(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: echo})
	r, w := io.Pipe()
	response, err := a.Forward(context.Background(), member(b), ForwardHeader{To: "b", Method: "POST"}, r)
	is.NoErr(err)
	for _, part := range []string{"first", "second"} {
		_, err = w.Write([]byte(part))
		is.NoErr(err)
		got := make([]byte, len(part))
		_, err = io.ReadFull(response.Body, got)
		is.NoErr(err)
		is.Equal(string(got), part)
	}
	is.NoErr(w.Close())
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	is.Equal(response.Trailer.Get("Sum"), "ok")
	is.NoErr(response.Body.Close())
}

// Guards against buffering of bodies: 1 GiB is transferred in both directions while the heap stays small.
func TestForwardOfLargeBodyInConstantMemory(t *testing.T) {
	is := is.New(t)
	size := int64(1 << 30)
	if testing.Short() {
		size = 64 << 20
	}
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: echo})
	sent, received := sha256.New(), sha256.New()
	body := io.TeeReader(io.LimitReader(&pattern{}, size), sent)
	response, err := a.Forward(context.Background(), member(b), ForwardHeader{To: "b"}, body)
	is.NoErr(err)
	var peak uint64
	buffer := make([]byte, 1<<20)
	for i := 0; ; i++ {
		n, err := response.Body.Read(buffer)
		received.Write(buffer[:n])
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		if i%1000 == 0 {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
		}
	}
	is.Equal(sent.Sum(nil), received.Sum(nil))
	is.True(peak < 64<<20) // windows and buffers of 2 connections
	t.Logf("heap in use at most %d MiB", peak>>20)
}

// pattern is an endless body without repeats within a frame.
type pattern struct{ n uint32 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		p.n = p.n*1664525 + 1013904223
		b[i] = byte(p.n >> 24)
	}
	return len(b), nil
}

// Guards against work that continues after the caller has gone.
func TestCancellationReachesReceiver(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	a := startNode(t, "a", &testHandler{})
	b := startNode(t, "b", &testHandler{forward: func(ctx context.Context, _ ForwardHeader, _ io.Reader, _ ResponseWriter) {
		close(started)
		<-ctx.Done()
		close(ended)
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := a.Forward(ctx, member(b), ForwardHeader{To: "b"}, nil)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, NoResponse)
	is.True(errors.Is(err, context.Canceled))
	<-ended
}

// Guards against taking truncated responses and bodies for complete ones.
func TestTruncationIsReported(t *testing.T) {
	truncated := func(_ context.Context, _ ForwardHeader, _ io.Reader, w ResponseWriter) {
		_ = w.WriteHeader(ResponseHeader{Status: 200, ContentLength: 10})
		_, _ = w.Write([]byte("half"))
	}
	bodyError := make(chan error, 1)
	readBody := func(_ context.Context, _ ForwardHeader, body io.Reader, _ ResponseWriter) {
		_, err := io.ReadAll(body)
		bodyError <- err
	}
	failing := io.MultiReader(bytes.NewReader([]byte("half")), &failingReader{})
	for _, c := range []struct {
		name    string
		forward func(context.Context, ForwardHeader, io.Reader, ResponseWriter)
		body    io.Reader
		kind    ErrorKind
	}{
		{"response without Finish", truncated, nil, Truncated},
		{"no response", func(context.Context, ForwardHeader, io.Reader, ResponseWriter) {}, nil, NoResponse},
		{"request body fails", readBody, failing, BodyFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{forward: c.forward})
			response, err := a.Forward(context.Background(), member(b), ForwardHeader{To: "b"}, c.body)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.kind)
			if c.body != nil {
				is.True(<-bodyError != nil) // the receiver must not take the truncated body for a complete one
			}
		})
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("caller is gone") }

// Guards against peers with a false identity: a certificate of another CA, a name other than the dialed one,
// and heartbeats in another entry's name.
func TestUnverifiedPeersAreRejected(t *testing.T) {
	is := is.New(t)
	h := &testHandler{forward: echo}
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", h)
	_, err := a.Forward(context.Background(), fleet.Member{ID: "c", PeerAddress: b.LocalAddress()}, ForwardHeader{}, nil)
	is.True(WasNotSent(err)) // b responds at c's address

	dir := t.TempDir()
	is.NoErr(WriteDevelopmentCertificates(dir, []fleet.EntryID{"a"}))
	unverified := &Node{ID: "a", Address: "127.0.0.1:0", TLS: DevelopmentTLSFiles(dir, "a"), Handler: h}
	is.NoErr(unverified.Start())
	defer func() { _ = unverified.Close() }()
	_, err = unverified.Forward(context.Background(), member(b), ForwardHeader{}, nil)
	is.True(WasNotSent(err))

	_, err = a.FetchPair(context.Background(), member(b), 0) // opens the connection
	is.NoErr(err)
	a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "c"}})
	a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "a"}})
	is.Equal((<-h.heartbeats).From, fleet.EntryID("a"))
	is.Equal(b.Counters.HeartbeatsWrongSender.Load(), uint64(1))
}

// Guards against heartbeats that block, and against a pair that arrives incomplete.
func TestHeartbeatsAndPairs(t *testing.T) {
	is := is.New(t)
	h := &testHandler{}
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", h)
	for len(h.heartbeats) == 0 {
		a.SendHeartbeat(fleet.OutgoingHeartbeat{ID: "b", Address: b.LocalAddress(), Heartbeat: fleet.Heartbeat{From: "a"}})
		time.Sleep(time.Millisecond)
	}
	pair, err := a.FetchPair(context.Background(), member(b), 3)
	is.NoErr(err)
	is.Equal(pair.Revision, table.Revision(7))
	is.Equal(len(pair.Values["tables/pools"]), 1<<20)
	pair, err = a.FetchPair(context.Background(), member(b), 7)
	is.NoErr(err)
	is.Equal(pair.Revision, table.Revision(0))
}

// Guards against a path check that loses targets on the way, and one of a peer that is gone that seems to succeed.
func TestPathCheck(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{})
	check := PathCheck{Pool: "mengen-buch", Targets: []table.TargetID{"t1", "t2", "t3"}}
	result, err := a.CheckPaths(context.Background(), member(b), check)
	is.NoErr(err)
	is.Equal(result.Reached, []table.TargetID{"t2", "t3"})
	is.NoErr(b.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = a.CheckPaths(ctx, member(b), check)
	is.True(err != nil)
}

// Guards against credit that is lost or changed on the way, and a peer that is gone that seems to grant some.
func TestQuotaRequest(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a", &testHandler{}), startNode(t, "b", &testHandler{})
	q := QuotaRequest{Accounts: []table.AccountName{"sese880", "raxa281"}, Wanted: []uint32{1, 40}}
	result, err := a.RequestQuota(context.Background(), member(b), q)
	is.NoErr(err)
	is.Equal(result.Grants, []QuotaGrant{{RetryMs: 7, NotOwner: true}, {Credit: 39, RetryMs: 7}})
	is.NoErr(b.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = a.RequestQuota(ctx, member(b), q)
	is.True(err != nil)
}
