package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// newOwner is a peer that serves forwarded requests and reaches all targets.
type newOwner struct {
	mu     sync.Mutex
	served int
}

func (o *newOwner) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served
}

func (o *newOwner) Heartbeat(fleet.Heartbeat)            {}
func (o *newOwner) Pair(table.Revision) peer.PairMessage { return peer.PairMessage{} }

func (o *newOwner) CheckPaths(_ context.Context, c peer.PathCheck) peer.PathResult {
	return peer.PathResult{Reached: c.Targets}
}

func (o *newOwner) Quota(_ context.Context, q peer.QuotaRequest) peer.QuotaResult {
	return peer.QuotaResult{Grants: make([]peer.QuotaGrant, len(q.Accounts))}
}

func (o *newOwner) Forward(_ context.Context, _ peer.ForwardHeader, body io.Reader, w peer.ResponseWriter) {
	_, _ = io.Copy(io.Discard, body)
	o.mu.Lock()
	o.served++
	o.mu.Unlock()
	_ = w.WriteHeader(peer.ResponseHeader{Status: http.StatusOK})
	_ = w.Finish(nil)
}

// statusWriter records the status of a response.
type statusWriter struct{ status int }

func (w *statusWriter) WriteHeader(h peer.ResponseHeader) error { w.status = h.Status; return nil }
func (w *statusWriter) Write(b []byte) (int, error)             { return len(b), nil }
func (w *statusWriter) Finish(http.Header) error                { return nil }

// newEntryWithNextOwner returns an entry that owns cells and the peer that owns them next, connected to each other.
func newEntryWithNextOwner(t *testing.T) (*Entry, *newOwner) {
	t.Helper()
	is := is.New(t)
	owner := &newOwner{}
	node := &peer.Node{ID: "127.0.0.1:12", Address: "127.0.0.1:0", Handler: owner}
	is.NoErr(node.Start())
	t.Cleanup(func() { _ = node.Close() })
	e := newShardedEntry(t)
	e.node = &peer.Node{ID: e.Settings.ID, Address: "127.0.0.1:0", Handler: e}
	is.NoErr(e.node.Start())
	t.Cleanup(func() { _ = e.node.Close() })
	e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
		From: "127.0.0.1:12", Incarnation: 1, Sequence: 1, State: fleet.StateServing, Full: true, Hub: true,
		FailureDomain: "vils-tal", PeerAddress: node.LocalAddress(), CallerAddress: "127.0.0.1:11",
		ReceiverIncarnation: e.dedup.Incarnation,
	})
	return e, owner
}

// Guards against requests that wait at an entry which has handed its cells over because it can't reach its targets: they
// were refused after 1.5 s, although the new owner would have run them at once.
func TestWaitingRequestsGoToNewOwner(t *testing.T) {
	const waiting = 5
	is := is.New(t)
	e, owner := newEntryWithNextOwner(t)
	e.pathMonitor.dial = func(context.Context, string) error { return os.ErrDeadlineExceeded }
	leaveUnanswered(t, e) // takes all slots

	key := fleet.CellKey{Pool: "mengen-buch", Index: 0}
	refusals := make(chan *refusal)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	send := func() {
		x := &exchange{
			ForwardHeader: peer.ForwardHeader{Route: "mengen-buch", Method: http.MethodPost, URI: "/mengen-buch", Cell: key},
			route:         e.tables.current().routes["mengen-buch"], pool: "mengen-buch", buffered: []byte{},
			arrivedAt: time.Now(), deadline: time.Now().Add(5 * time.Second), responseWriter: &statusWriter{},
		}
		refusals <- e.placeOrPassOn(ctx, x, key)
	}
	for range waiting {
		go send()
	}
	cell, ok := e.cells.getOrCreate(key)
	is.True(ok)
	for queued := 0; queued < waiting; time.Sleep(time.Millisecond) {
		cell.mu.Lock()
		queued = len(cell.pending) - 35
		cell.mu.Unlock()
	}
	e.tick()
	e.background.Wait()
	is.True(e.pathMonitor.degraded)
	e.tick()
	go send() // one that arrives later
	for range waiting + 1 {
		is.Equal(<-refusals, (*refusal)(nil))
	}
	is.Equal(owner.total(), waiting+1)

	// An attempt that fails later, with nothing sent, is not repeated here.
	cell.finish(1, "mengen-buch-00", pool.Outcome{Kind: pool.OutcomeConnectFailed})
	cell.mu.Lock()
	defer cell.mu.Unlock()
	is.Equal(len(cell.pending), 34)
}

// silentAddress returns an address on which connections neither open nor fail, as behind a partition: nobody accepts them,
// and the queue of the listener is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	is.NoErr(err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against requests that wait for a connection to open although their entry has handed the cell over, until the
// time-out of 1.5 s or their deadline. Nothing of them has been sent, so the new owner can run them, also those that
// may not be repeated.
func TestUnsentAttemptsGoToNewOwner(t *testing.T) {
	is := is.New(t)
	e, owner := newEntryWithNextOwner(t)
	e.tick()
	key := fleet.CellKey{Pool: "mengen-buch", Index: 0}
	cell, ok := e.cells.getOrCreate(key)
	is.True(ok)
	address := silentAddress(t)
	cell.mu.Lock()
	for id, target := range cell.targets {
		target.Address = address
		cell.targets[id] = target
	}
	cell.mu.Unlock()
	const requests = 10
	refusals := make(chan *refusal)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for range requests {
		go func() {
			x := &exchange{
				ForwardHeader: peer.ForwardHeader{Route: "mengen-buch", Method: http.MethodPost, URI: "/mengen-buch", Cell: key},
				route:         e.tables.current().routes["mengen-buch"], pool: "mengen-buch", buffered: []byte{},
				arrivedAt: time.Now(), deadline: time.Now().Add(5 * time.Second), responseWriter: &statusWriter{},
			}
			refusals <- e.placeOrPassOn(ctx, x, key)
		}()
	}
	for unsent := 0; unsent < requests; time.Sleep(time.Millisecond) {
		cell.mu.Lock()
		unsent = len(cell.unsent)
		cell.mu.Unlock()
	}
	handedOverAt := time.Now()
	e.setDegraded(key, []table.Target{{ID: "mengen-buch-00"}}, 35)
	e.tick()
	for range requests {
		is.Equal(<-refusals, (*refusal)(nil))
	}
	is.True(time.Since(handedOverAt) < time.Second) // the time-out of a dial is longer
	is.Equal(owner.total(), requests)
}
