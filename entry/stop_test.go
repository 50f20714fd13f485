package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Guards against requests that come late in the grace of a planned stop and are cut off at its end, with a target at work on
// them: the operators of a similar system reported it. Such a request is refused at once, as not run, and its caller may
// go to another entry without a delay.
func TestRequestLateInPlannedStop(t *testing.T) {
	var atTarget atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { atTarget.Add(1) }))
	defer target.Close()
	for _, c := range []struct {
		name    string
		state   fleet.State
		left    time.Duration
		peer    fleet.State
		refused bool
	}{
		{"serving", fleet.StateServing, time.Second, fleet.StateServing, false},
		{"leaving, ends before the stop", fleet.StateLeaving, 10 * time.Second, fleet.StateServing, false},
		{"leaving, may end after the stop", fleet.StateLeaving, 2 * time.Second, fleet.StateServing, true},
		{"leaving, no other entry serves", fleet.StateLeaving, 2 * time.Second, fleet.StateLeaving, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
			server := httptest.NewServer(e.callerRoutes())
			defer server.Close()
			e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
				From: "kb-02", Incarnation: 1, Sequence: 1, State: c.peer, Full: true, ReceiverIncarnation: e.dedup.Incarnation,
			})
			e.setState(c.state)
			e.stopAt.Store(int64(e.sinceStart() + c.left))
			refused := e.refuseIfLeaving(&exchange{deadline: time.Now().Add(3 * time.Second)})
			is.Equal(refused != nil, c.refused)
			if !c.refused {
				return
			}
			r, err := http.NewRequest(http.MethodGet, server.URL+"/pool-0000/x", nil)
			is.NoErr(err)
			r.Header.Set(headerDeadline, strconv.Itoa(3000))
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get(headerReason), string(reasonLeaving))
			is.Equal(response.Header.Get(headerOutcome), "notRun")
			is.Equal(response.Header.Get("Retry-After"), "1")
			is.True(response.Close)
			is.Equal(atTarget.Load(), int64(0))
		})
	}
}

// Guards against a planned stop that cuts requests off and doesn't tell which: the users' record of such requests could not
// be explained.
func TestStopNamesCutRequests(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	e := &Entry{Log: zerolog.New(&log)}
	for _, x := range []*exchange{
		{requestID: "r-2", caller: "entry", ForwardHeader: peer.ForwardHeader{To: "kb-03"}, arrivedAt: time.Now()},
		{requestID: "r-1", caller: "127.0.0.1:7", arrivedAt: time.Now().Add(-time.Second)},
		{requestID: "r-0", arrivedAt: time.Now()},
	} {
		end := e.inFlight.begin(x)
		if x.requestID == "r-0" {
			end()
		}
	}
	for _, x := range e.inFlight.all() {
		e.logCut(x)
	}
	var lines []map[string]any
	for d := json.NewDecoder(&log); d.More(); {
		var line map[string]any
		is.NoErr(d.Decode(&line))
		lines = append(lines, line)
	}
	is.Equal(len(lines), 2)
	for i, want := range []struct{ id, destination string }{{"r-1", ""}, {"r-2", "kb-03"}} {
		is.Equal(lines[i]["event"], "requestCut")
		is.Equal(lines[i]["requestId"], want.id)
		is.Equal(lines[i]["destination"], want.destination)
	}
}

// forwardedRequest is a request from a peer with 3 s left.
func forwardedRequest(to fleet.EntryID, cell fleet.CellKey) peer.ForwardHeader {
	return peer.ForwardHeader{
		Mode: peer.ForwardPlace, To: to, Cell: cell, Hops: 1, RemainingMs: 3000,
		Route: table.RouteName(cell.Pool), Method: http.MethodPost, URI: "/" + string(cell.Pool), Host: shardHost, Revision: 1,
	}
}

// Guards against requests of other entries that a stopping entry takes, as owner or as relay, though they may last longer
// than it does: they were broken off at its end, with a target at work.
func TestForwardedRequestLateInPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		to      fleet.EntryID
		left    time.Duration
		refused bool
	}{
		{"owner, may end after the stop", "127.0.0.1:2", 2 * time.Second, true},
		{"relay, may end after the stop", "127.0.0.1:12", 2 * time.Second, true},
		{"relay, ends before the stop", "127.0.0.1:12", 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, next := newEntryWithNextOwner(t)
			e.tick()
			e.setState(fleet.StateLeaving)
			e.stopAt.Store(int64(e.sinceStart() + c.left))
			w := httptest.NewRecorder()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond) // the owner's targets don't exist
			defer cancel()
			e.Forward(ctx, forwardedRequest(c.to, fleet.CellKey{Pool: "mengen-buch"}), strings.NewReader(""),
				newCallerWriter(w, httptest.NewRequest(http.MethodPost, "/", nil)))
			if !c.refused {
				is.Equal(next.total(), 1)
				return
			}
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(w.Header().Get(headerOutcome), "notRun")
			is.Equal(w.Header().Get(headerReason), string(reasonLeaving))
			is.Equal(next.total(), 0)
		})
	}
}

// refusingOwner refuses forwarded requests.
type refusingOwner struct {
	newOwner
	refused *refusal
}

func (o *refusingOwner) Forward(_ context.Context, _ peer.ForwardHeader, _ io.Reader, w peer.ResponseWriter) {
	_ = o.refused.write("127.0.0.1:12", w)
}

// newEntryWithRefusingOwner returns an entry whose owner of all cells refuses forwarded requests, and the entry's server for
// callers.
func newEntryWithRefusingOwner(t *testing.T, refused *refusal) (*Entry, *httptest.Server) {
	t.Helper()
	is := is.New(t)
	owner := &peer.Node{ID: "127.0.0.1:12", Address: "127.0.0.1:0", Handler: &refusingOwner{refused: refused}}
	is.NoErr(owner.Start())
	t.Cleanup(func() { _ = owner.Close() })
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(target.Close)
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	e.node = &peer.Node{ID: e.Settings.ID, Address: "127.0.0.1:0", Handler: e}
	is.NoErr(e.node.Start())
	t.Cleanup(func() { _ = e.node.Close() })
	server := httptest.NewServer(e.callerRoutes())
	t.Cleanup(server.Close)
	e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
		From: owner.ID, Incarnation: 1, Sequence: 1, State: fleet.StateServing, Full: true, FailureDomain: "donau-ost", Capacity: 9,
		PeerAddress: owner.LocalAddress(), CallerAddress: "127.0.0.1:11", ReceiverIncarnation: e.dedup.Incarnation,
	})
	e.fleet.update(e.sinceStart(), func(*fleet.Membership) {})
	first, ok := e.owner(fleet.CellKey{Pool: "pool-0000"})
	is.True(ok)
	is.Equal(first.ID, owner.ID)
	return e, server
}

// Guards against callers that get the refusal of a stopping owner, or of a relay that can't reach the owner, although the
// entry that took the request can run it.
func TestRefusalOfStoppingOwnerIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused *refusal
		served  bool
	}{
		{"owner stops", notRunRefusal(http.StatusServiceUnavailable, reasonLeaving, ""), true},
		{"relay has no link", notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, ""), true},
		{"relay ends, idempotent", unknownRefusal(reasonOwnerUnreachable, ""), true},
		{"owner is busy", notRunRefusal(http.StatusServiceUnavailable, pool.ReasonQueueFull, ""), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, server := newEntryWithRefusingOwner(t, c.refused)
			response, err := http.Get(server.URL + "/pool-0000/x")
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			if !c.served {
				is.Equal(response.StatusCode, c.refused.status)
				return
			}
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(response.Header.Get(headerEntry), string(e.Settings.ID))
		})
	}
}

// Guards against an unknown outcome of a request that the stopping entry which its ID is bound to reports as not run.
func TestRefusalOfBoundEntryIsPassedOn(t *testing.T) {
	is := is.New(t)
	e, server := newEntryWithRefusingOwner(t, notRunRefusal(http.StatusServiceUnavailable, reasonLeaving, ""))
	m, ok := e.member("127.0.0.1:12")
	is.True(ok)
	r, err := http.NewRequest(http.MethodPost, server.URL+"/pool-0000/x", nil)
	is.NoErr(err)
	r.Header.Set(headerID, notice.ID{Entry: m.ID, Incarnation: m.Incarnation, Random: "abcdefgh"}.String())
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.Header.Get(headerOutcome), "notRun")
}

// Guards against requests that wait at a stopping entry and are sent to a target when the requests in flight are aborted, and
// against refusals that the sender of a forwarded request passes on instead of running it elsewhere.
func TestAbortStartsNoRequest(t *testing.T) {
	const atTarget, waiting = 100, 20 // the target has 100 slots
	is := is.New(t)
	began := make(chan struct{}, atTarget+waiting)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	key := fleet.CellKey{Pool: "pool-0000"}
	h := forwardedRequest(e.Settings.ID, key)
	h.RemainingMs = 8000
	responses := make(chan *httptest.ResponseRecorder, atTarget+waiting)
	for range atTarget + waiting {
		go func() {
			w := httptest.NewRecorder()
			e.Forward(context.Background(), h, strings.NewReader(""), newCallerWriter(w, httptest.NewRequest(http.MethodPost, "/", nil)))
			responses <- w
		}()
	}
	ticking, stopTicks := context.WithCancel(t.Context())
	var ticks sync.WaitGroup
	ticks.Go(func() { runEvery(ticking, tickInterval, e.tick) })
	for range atTarget {
		<-began
	}
	for e.inFlight.count() < atTarget+waiting {
		time.Sleep(time.Millisecond)
	}
	e.abort(errStopLimit)
	for range atTarget + waiting {
		w := <-responses
		is.Equal(w.Header().Get(headerReason), string(reasonLeaving))
	}
	stopTicks()
	ticks.Wait()
	is.Equal(len(began), 0)
}

// Guards against a stop that breaks off a request which it has admitted because the deadline lies before its end.
func TestAdmittedRequestIsNotAborted(t *testing.T) {
	is := is.New(t)
	e := newServingEntry(t, 1, "")
	e.Settings.StopLimitMs, e.Settings.GoneMs, e.Settings.AnswerValidMs = 2000, 100, 100
	e.node = &peer.Node{ID: e.Settings.ID, Address: "127.0.0.1:0", Handler: e}
	is.NoErr(e.node.Start())
	t.Cleanup(func() { _ = e.node.Close() })
	e.callerServer = &http.Server{}
	e.fleet.receive(e.sinceStart(), fleet.Heartbeat{
		From: "kb-02", Incarnation: 1, Sequence: 1, State: fleet.StateServing, Full: true, ReceiverIncarnation: e.dedup.Incarnation,
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.stop()
	}()
	for fleet.State(e.state.Load()) != fleet.StateLeaving || e.stopAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	x := &exchange{deadline: e.startTime.Add(time.Duration(e.stopAt.Load()) - 10*time.Millisecond)}
	is.Equal(e.refuseIfLeaving(x), nil)
	end := e.inFlight.begin(x)
	<-e.aborted.Done()
	is.True(time.Until(e.deadline(x)) <= 0)
	end()
	<-stopped
}

// Guards against requests with an ID that get no answer at the stop limit: their run doesn't depend on the caller's
// connection.
func TestAbortReachesRequestsWithID(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	binding := e.dedup.Binding(e.sinceStart())
	r, err := http.NewRequest(http.MethodPost, server.URL+"/pool-0000/x", nil)
	is.NoErr(err)
	r.Header.Set(headerID, notice.ID{Entry: binding.Entry, Incarnation: binding.Incarnation, Epoch: binding.Epoch, Random: "abcdefgh"}.String())
	go func() {
		<-began
		e.abort(errStopLimit)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second) // less than the time-out of the route
	defer cancel()
	response, err := http.DefaultClient.Do(r.WithContext(ctx))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.Header.Get(headerReason), string(reasonLeaving))
}
