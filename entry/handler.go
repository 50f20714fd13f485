package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// serve handles one request of a caller.
func (e *Entry) serve(c echo.Context) error {
	r := c.Request()
	writer := newCallerWriter(c.Response(), r)
	callerCtx, release := untilCallerLeaves(r.Context(), writer.delivered)
	defer release()
	if r.Context().Err() != nil || callerCtx.Err() != nil {
		// The caller has left behind an earlier request on the connection.
		panic(http.ErrAbortHandler)
	}
	// A target may respond before it has read the body and read on afterwards. Without full duplex, net/http would read
	// the rest of the body itself when the response begins. Only writers of tests don't support it.
	_ = writer.controller.EnableFullDuplex()
	x := e.callerExchange(r, writer)
	defer e.inFlight.begin(x)()
	ctx, releaseAbort := e.untilAborted(callerCtx)
	defer releaseAbort()
	if conflicting := hasConflictingFraming(r); conflicting || fleet.State(e.state.Load()) == fleet.StateLeaving {
		c.Response().Header().Set("Connection", "close")
	}
	refused := e.handle(ctx, x, r)
	x.stream.revoke()
	if x.ahead != nil && x.ahead.stop() {
		_ = writer.controller.SetReadDeadline(longAgo) // An error means that the connection is already closed.
		<-x.ahead.done
	}
	if refused != nil {
		// A run of a buffered request with an ID is not canceled.
		canceled := callerCtx.Err() != nil && (x.id == nil || x.buffered == nil)
		if canceled && !e.isAborted() {
			if x.holder.Evicted() {
				refused.attributeToShortage()
			} else {
				refused.attributeToCaller()
			}
			writer.w.Header().Set("Connection", "close")
		}
		e.refuseCaller(r, x, writer, refused)
		return nil
	}
	if !writer.complete {
		// Closing the connection shows the caller that the response is truncated.
		panic(http.ErrAbortHandler)
	}
	if !writer.body.ended.Load() {
		closeAfterResponse(c.Response().Writer)
		lingerUntil(r.Context(), x.deadline)
	}
	return nil
}

// callerExchange returns the exchange of a caller's request.
func (e *Entry) callerExchange(r *http.Request, writer *callerWriter) *exchange {
	x := &exchange{
		ForwardHeader:   peer.ForwardHeader{Method: r.Method, Host: r.Host, Header: r.Header, ContentLength: r.ContentLength},
		arrivedAt:       time.Now(),
		suspendedBefore: e.suspension.elapsed(),
		caller:          r.RemoteAddr,
		requestID:       loggedText(r.Header.Get(e.callerProtocol().RequestIDHeader), maxLoggedID),
		responseWriter:  writer,
		body:            writer.body,
		controller:      writer.controller,
		holder:          holderOf(r.Context()),
		Trailer:         r.Trailer,
	}
	writer.deadline = func() time.Time {
		if x.deadline.IsZero() {
			return time.Time{}
		}
		return e.deadline(x)
	}
	if writer.conn != nil {
		x.callerConn = writer.conn
		x.callerConn.setForwarded(false)
	}
	x.SetURI(e.requestURI(r))
	x.abortBody = func() {
		if !x.stream.revoke() {
			x.expireBody()
		}
	}
	return x
}

// refuseCaller sends a refusal, or aborts a response that has started.
func (e *Entry) refuseCaller(r *http.Request, x *exchange, writer *callerWriter, refused *refusal) {
	if e.faults.sayNotRun {
		refused.outcome = notice.OutcomeNotRun
	}
	e.callerProtocol().adapt(refused)
	e.refuse(x, refused, writer.started)
	if writer.started {
		panic(http.ErrAbortHandler)
	}
	if !writer.body.ended.Load() {
		// An unread body must not be parsed as the next request.
		writer.w.Header().Set("Connection", "close")
		lingerUntil(r.Context(), latest(x.deadline, time.Now().Add(lingerTime)))
	}
	// An error means that the caller is gone, so nobody reads the refusal.
	_ = refused.write(string(e.Settings.ID), writer)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestURI returns the target of a request as it is passed on. Where paths are compared literally, that is what the
// caller sent; net/url escapes some characters that callers may leave as they are.
func (e *Entry) requestURI(r *http.Request) string {
	if e.callerProtocol().Paths == table.MatchLiteral && strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// handle handles a request and sends the response. A refusal that it returns has not been sent. If a response
// has started by then, it can only be aborted.
func (e *Entry) handle(ctx context.Context, x *exchange, r *http.Request) *refusal {
	reason := checkRequest(r)
	if reason == "" && e.callerProtocol().Paths != table.MatchLiteral {
		reason = checkPath(r.URL.Path)
	}
	if reason != "" {
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
	if refused == nil {
		refused = e.refuseIfLeaving(x)
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

// startupTablesWait is how long a request waits for the first tables after the process has started. They arrive
// within a few calls to the platform. A refused caller would retry later than that, or not at all.
const startupTablesWait = 400 * time.Millisecond

// awaitActive returns the active tables, or nil if there are none within startupTablesWait.
func (e *Entry) awaitActive(ctx context.Context) *activeTables {
	if active := e.tables.current(); active != nil {
		return active
	}
	ctx, cancel := context.WithTimeout(ctx, startupTablesWait)
	defer cancel()
	e.awaitTables(ctx)
	return e.tables.current()
}

// refuseMalformed refuses a request whose ID has not been parsed. If it carries an ID, another copy may be
// running here or at another entry, so the outcome is reported as unknown.
func (e *Entry) refuseMalformed(x *exchange, status int, detail string) *refusal {
	refused := notRunRefusal(status, reasonBadRequest, detail)
	if x.Header.Get(headerID) != "" {
		refused.outcome = notice.OutcomeUnknown
	}
	return refused
}

// parseID parses the ID header of a request. IDs of GET and HEAD requests are ignored.
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
		// No entry accepts a malformed ID, so no copy of the request can have run.
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	x.id = &id
	return nil
}

func safeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// admitRoute finds the route of a request, checks the route's requirements and buffers the body.
func (e *Entry) admitRoute(x *exchange, active *activeTables, h http.Header) *refusal {
	now := time.Now()
	x.deadline = now.Add(defaultTimeout)
	if active == nil {
		refused := notRunRefusal(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet")
		refused.retryAfter = time.Second
		return refused
	}
	path, err := active.comparedPath(x.TargetURI())
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	match, err := e.match(x, active, path)
	if err != nil {
		return routeRefusal(err)
	}
	route := match.Route
	x.route = route
	x.Route, x.Revision = route.Name, active.pair.Revision
	x.Account, x.idempotent = match.Account, match.Idempotent
	x.pool = route.ChoosePool(rand.Float64())
	x.deadline, err = requestDeadline(h.Get(e.callerProtocol().DeadlineHeader), now, route.TimeoutMs.Duration())
	if err != nil {
		return notRunRefusal(http.StatusBadRequest, reasonBadRequest, err.Error())
	}
	e.setAccount(x, active, match.Account, match.Token)
	if x.ContentLength > route.MaxBodyBytes {
		return notRunRefusal(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than the route allows")
	}
	x.body = &limitedBody{r: x.body, remaining: route.MaxBodyBytes}
	stopLimit := e.limitBodyWait(x)
	err = x.bufferBody(e.Settings.ReplayBytes)
	if !stopLimit() && err == nil {
		err = Error.Wrap(os.ErrDeadlineExceeded)
	}
	if err != nil {
		return bodyRefusal(err)
	}
	return nil
}

// defaultTimeout is the deadline of requests without a route in the active tables.
const defaultTimeout = 30 * time.Second
