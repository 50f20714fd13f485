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
	writer := &callerWriter{w: c.Response(), controller: http.NewResponseController(c.Response())}
	defer e.inFlight.begin()()
	x := &exchange{
		ForwardHeader: peer.ForwardHeader{
			Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host,
			Header: r.Header, ContentLength: r.ContentLength,
		},
		arrivedAt:      time.Now(),
		caller:         r.RemoteAddr,
		requestID:      r.Header.Get(e.callerProtocol().RequestIDHeader),
		responseWriter: writer,
		body:           r.Body,
		Trailer:        r.Trailer,
		abortBody: func() {
			// Reads of a connection whose deadline has passed return at once. An error means
			// that the connection is closed already.
			_ = writer.controller.SetReadDeadline(time.Unix(1, 0))
		},
	}
	if fleet.State(e.state.Load()) == fleet.StateLeaving {
		c.Response().Header().Set("Connection", "close")
	}
	if refused := e.handle(r.Context(), x, r); refused != nil {
		e.callerProtocol().adapt(refused)
		e.refuse(x, refused, writer.started)
		if writer.started {
			panic(http.ErrAbortHandler)
		}
		// A body that was not read must not be taken for the next request.
		c.Response().Header().Set("Connection", "close")
		// A caller that has gone does not read the refusal.
		_ = refused.write(string(e.Settings.ID), writer)
		return nil
	}
	if !writer.complete {
		// The caller must see that the answer is truncated, so the connection is cut.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handle finds the way of a request and sends its answer. A refusal that it returns has not been
// sent; if the answer had begun, it can only be cut off.
func (e *Entry) handle(ctx context.Context, x *exchange, r *http.Request) *refusal {
	if reason := checkRequest(r); reason != "" {
		return e.refuseMalformed(x, http.StatusBadRequest, reason)
	}
	if refused := e.parseID(x); refused != nil {
		return refused
	}
	active := e.awaitActive(ctx)
	if x.id != nil && !e.isBoundHere(x.id) {
		return e.forwardToBound(ctx, x, active)
	}
	refused := e.admitRoute(x, active, r.Header)
	if x.id != nil {
		return e.runBound(ctx, x, active, refused)
	}
	if refused != nil {
		return refused
	}
	if !x.idempotent && !e.callerProtocol().RetriesOnlyNotRun {
		return notRunRefusal(http.StatusPreconditionRequired, reasonIDRequired,
			"a non-idempotent request needs the header "+headerID+" with an id made from GET /v1/addresses")
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	return e.route(ctx, x, active)
}

// startupTablesWait is how long a request waits for the first tables of a process that has just started. They come within
// a few calls to the platform; a caller that is refused returns later than that, or not at all.
const startupTablesWait = 400 * time.Millisecond

// awaitActive returns the tables in force, or nil if none came in time.
func (e *Entry) awaitActive(ctx context.Context) *activeTables {
	if active := e.tables.current(); active != nil {
		return active
	}
	ctx, cancel := context.WithTimeout(ctx, startupTablesWait)
	defer cancel()
	e.awaitTables(ctx)
	return e.tables.current()
}

// refuseMalformed refuses a request before its id was read. If it has an id, a copy may be running
// elsewhere, so "not run" would not be certain.
func (e *Entry) refuseMalformed(x *exchange, status int, detail string) *refusal {
	refused := notRunRefusal(status, reasonBadRequest, detail)
	if x.Header.Get(headerID) != "" {
		refused.outcome = notice.OutcomeUnknown
	}
	return refused
}

// parseID reads the id header of a request. Ids of GET and HEAD requests are ignored.
func (e *Entry) parseID(x *exchange) *refusal {
	if e.callerProtocol().RetriesOnlyNotRun {
		return nil
	}
	v := x.Header.Get(headerID)
	if v == "" || safeMethod(x.Method) {
		return nil
	}
	id, err := notice.ParseID(v)
	if err != nil {
		// No entry accepts such an id, so no copy of the request can have run.
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	x.id = &id
	return nil
}

func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// admitRoute finds the route of a request and checks what the route demands.
func (e *Entry) admitRoute(x *exchange, active *activeTables, h http.Header) *refusal {
	now := time.Now()
	x.deadline = now.Add(defaultTimeout)
	if active == nil {
		refused := notRunRefusal(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet")
		refused.retryAfter = time.Second
		return refused
	}
	path, err := url.PathUnescape(stripQuery(x.URI))
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	match, err := active.router.Route(x.Method, x.Host, path, table.AccountName(h.Get(headerAccount)), bearerToken(h))
	if err != nil {
		return routeRefusal(err)
	}
	route := match.Route
	x.route = route
	x.Route = route.Name
	x.Account = match.Account
	x.idempotent = match.Idempotent
	x.pool = route.ChoosePool(rand.Float64())
	x.deadline, err = requestDeadline(h.Get(e.callerProtocol().DeadlineHeader), now, route.TimeoutMs.Duration())
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	if x.ContentLength > route.MaxBodyBytes {
		return notRunRefusal(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than the route allows")
	}
	x.body = &limitedBody{r: x.body, remaining: route.MaxBodyBytes}
	if err := x.bufferBody(e.Settings.ReplayBytes); err != nil {
		if errors.Is(err, errBodyTooLarge) {
			return notRunRefusal(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, err.Error())
		}
		return notRunRefusal(http.StatusBadRequest, reasonCallerGone, err.Error())
	}
	return nil
}

// defaultTimeout bounds the wait of requests that have no route in the tables in force here.
const defaultTimeout = 30 * time.Second
