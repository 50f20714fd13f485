package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// serve answers one request of a caller.
func (e *Entry) serve(c echo.Context) error {
	r := c.Request()
	sink := &httpSink{w: c.Response(), c: http.NewResponseController(c.Response())}
	defer e.requests.enter()()
	x := &exchange{
		ForwardHeader: peer.ForwardHeader{
			Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host,
			Header: r.Header, ContentLength: r.ContentLength,
		},
		arrived: time.Now(),
		caller:  r.RemoteAddr,
		attempt: r.Header.Get(e.dialect().RequestIDHeader),
		out:     sink,
		body:    r.Body,
		Trailer: r.Trailer,
		stopBody: func() {
			// Reads of a connection whose deadline has passed return at once. An error means
			// that the connection is closed already.
			_ = sink.c.SetReadDeadline(time.Unix(1, 0))
		},
	}
	if fleet.State(e.state.Load()) == fleet.StateLeaving {
		c.Response().Header().Set("Connection", "close")
	}
	if ref := e.answer(r.Context(), x, r); ref != nil {
		e.dialect().adapt(ref)
		e.refuse(x, ref, sink.started)
		if sink.started {
			panic(http.ErrAbortHandler)
		}
		// A body that was not read must not be taken for the next request.
		c.Response().Header().Set("Connection", "close")
		// A caller that has gone does not read the refusal.
		_ = ref.write(string(e.Settings.ID), sink)
		return nil
	}
	if !sink.whole {
		// The caller must see that the answer is truncated, so the connection is cut.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// answer finds the way of a request and sends its answer. A refusal that it returns has not been
// sent; if the answer had begun, it can only be cut off.
func (e *Entry) answer(ctx context.Context, x *exchange, r *http.Request) *refusal {
	if reason := checkRequest(r); reason != "" {
		return e.refuseUnbound(x, http.StatusBadRequest, reason)
	}
	if ref := e.readID(x); ref != nil {
		return ref
	}
	force := e.awaitForce(ctx)
	if x.id != nil && !e.boundHere(x.id) {
		return e.forwardToBound(ctx, x, force)
	}
	ref := e.admitRoute(x, force, r.Header)
	if x.id != nil {
		return e.runBound(ctx, x, force, ref)
	}
	if ref != nil {
		return ref
	}
	if !x.idempotent && !e.dialect().RetriesOnlyNotRun {
		return notRun(http.StatusPreconditionRequired, reasonIDNeeded,
			"a non-idempotent request needs the header "+headerID+" with an id made from GET /v1/addresses")
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	return e.route(ctx, x, force)
}

// startWait is how long a request waits for the first tables of a process that has just started. They come within
// a few calls to the platform; a caller that is refused returns later than that, or not at all.
const startWait = 400 * time.Millisecond

// awaitForce returns the tables in force, or nil if none came in time.
func (e *Entry) awaitForce(ctx context.Context) *inForce {
	if force := e.config.current(); force != nil {
		return force
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	e.awaitTables(ctx)
	return e.config.current()
}

// refuseUnbound refuses a request before its id was read. If it has an id, a copy may be running
// elsewhere, so "not run" would not be certain.
func (e *Entry) refuseUnbound(x *exchange, status int, detail string) *refusal {
	ref := notRun(status, reasonBadRequest, detail)
	if x.Header.Get(headerID) != "" {
		ref.outcome = notice.OutcomeUnknown
	}
	return ref
}

// readID reads the id header of a request. Ids of GET and HEAD requests are ignored.
func (e *Entry) readID(x *exchange) *refusal {
	if e.dialect().RetriesOnlyNotRun {
		return nil
	}
	v := x.Header.Get(headerID)
	if v == "" || safeMethod(x.Method) {
		return nil
	}
	id, err := notice.ParseID(v)
	if err != nil {
		// No entry accepts such an id, so no copy of the request can have run.
		return notRun(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	x.id = &id
	return nil
}

func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// admitRoute finds the route of a request and checks what the route demands.
func (e *Entry) admitRoute(x *exchange, force *inForce, h http.Header) *refusal {
	now := time.Now()
	x.deadline = now.Add(defaultTimeout)
	if force == nil {
		ref := notRun(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet")
		ref.retryAfter = time.Second
		return ref
	}
	path, err := url.PathUnescape(cutQuery(x.URI))
	if err != nil {
		return notRun(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	match, err := force.router.Route(x.Method, x.Host, path, table.AccountName(h.Get(headerAccount)), bearer(h))
	if err != nil {
		return routeRefusal(err)
	}
	route := match.Route
	x.route = route
	x.Route = route.Name
	x.Account = match.Account
	x.idempotent = match.Idempotent
	x.pool = route.ChoosePool(rand.Float64())
	x.deadline, err = deadlineOf(h.Get(e.dialect().DeadlineHeader), now, route.TimeoutMs.Duration())
	if err != nil {
		return notRun(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	if x.ContentLength > route.MaxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is longer than the route allows")
	}
	x.body = &limitedBody{r: x.body, left: route.MaxBodyBytes}
	if err := x.keepBody(e.Settings.ReplayBytes); err != nil {
		if errors.Is(err, errBodyLimit) {
			return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, err.Error())
		}
		return notRun(http.StatusBadRequest, reasonCallerGone, err.Error())
	}
	return nil
}

// defaultTimeout bounds the wait of requests that have no route in the tables in force here.
const defaultTimeout = 30 * time.Second
