package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
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
