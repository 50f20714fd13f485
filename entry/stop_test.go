package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
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
