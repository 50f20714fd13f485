package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxHops is how many entries a request may pass after the first one: the relay, the bound entry, its relay,
// and the owner.
const maxHops = 4

// forwardMargin is how much earlier than the sender the receiver of a forwarded request gives up, so that its
// response, which says whether the request has run, arrives before the sender's deadline. A request with less than
// minForwardTime left gets no margin.
const (
	forwardMargin  = 15 * time.Millisecond
	minForwardTime = 10 * forwardMargin
)

// forwardedMs returns the time in milliseconds that the next entry has for a request, at least 0.
func (e *Entry) forwardedMs(x *exchange) int64 {
	left := time.Until(e.deadline(x))
	if left >= minForwardTime {
		left -= forwardMargin
	}
	return max(0, left.Milliseconds())
}

// forward forwards a request to a peer and passes its response on. A refusal with reasonOwnerUnreachable or reasonLeaving
// means that the peer or a relay could not be reached, or stops; its outcome tells whether the request may have run.
func (e *Entry) forward(ctx context.Context, x *exchange, to fleet.Member, mode peer.ForwardMode) *refusal {
	x.attempts++
	h := x.ForwardHeader
	h.Mode = mode
	h.To = to.ID
	h.Hops++
	h.RemainingMs = e.forwardedMs(x)
	via, ok := e.nextHop(to)
	if !ok || h.Hops > maxHops {
		return notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, "no path to entry "+string(to.ID))
	}
	response, err := e.node.Forward(ctx, via, h, x.nextBody())
	if err != nil {
		e.logForward(x, to, err.Error())
		refused := unknownRefusal(reasonOwnerUnreachable, err.Error())
		if peer.WasNotSent(err) {
			refused = notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, err.Error())
		}
		return refused
	}
	defer func() { _ = response.Body.Close() }()
	e.logForward(x, to, response.Header.Get(headerOutcome))
	if refused := unservedRefusal(response); refused != nil && mode == peer.ForwardPlace {
		return refused
	}
	if mode == peer.ForwardPlace {
		e.quota.observe(x.Account, response.Header)
	}
	if a := response.Announcement; a != nil {
		e.announcements.Add(a.Target, pool.Announcement{Started: a.Started, Leaving: a.Leaving})
	}
	if x.callerConn != nil {
		x.callerConn.setForwarded(true)
	}
	return copyResponse(x.responseWriter, response)
}

// unservedRefusal returns the refusal of a request that a peer could neither run nor pass on, because the peer stops or
// the next one is unreachable; nil for any other response. Another entry may run the request, unless it may have run.
func unservedRefusal(r *peer.Response) *refusal {
	reason := pool.Reason(r.Header.Get(headerReason))
	if reason != reasonLeaving && reason != reasonOwnerUnreachable {
		return nil
	}
	detail := "refused by entry " + r.Header.Get(headerEntry)
	switch r.Header.Get(headerOutcome) {
	case notice.OutcomeNotRun:
		refused := notRunRefusal(http.StatusServiceUnavailable, reason, detail)
		refused.retryAfter = leavingRetryAfter
		return refused
	case notice.OutcomeUnknown:
		return unknownRefusal(reason, detail)
	}
	return nil
}

// copyResponse copies a peer's response to the caller.
func copyResponse(w peer.ResponseWriter, resp *peer.Response) *refusal {
	if err := w.WriteHeader(resp.ResponseHeader); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if _, err := copyBody(w, resp.Body); err != nil {
		return unknownRefusal(reasonOutcomeLost, err.Error())
	}
	if err := w.Finish(resp.Trailer); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	return nil
}

// nextHop returns the member to connect to: the destination, or the peer that relays to it.
func (e *Entry) nextHop(to fleet.Member) (fleet.Member, bool) {
	if to.Relay == "" {
		return to, true
	}
	return e.member(to.Relay)
}

// Heartbeat implements peer.Handler.
func (e *Entry) Heartbeat(hb fleet.Heartbeat) {
	e.fleet.receive(e.sinceStart(), hb)
}

// Pair implements peer.Handler.
func (e *Entry) Pair(newerThan table.Revision) peer.PairMessage {
	active := e.tables.current()
	if active == nil || active.pair.Revision <= newerThan {
		return peer.PairMessage{}
	}
	return peer.PairMessage{Revision: active.pair.Revision, Digest: active.pair.Digest, Values: active.pair.Values}
}

// Forward implements peer.Handler: it serves a request that a peer forwards.
func (e *Entry) Forward(ctx context.Context, h peer.ForwardHeader, body io.Reader, w peer.ResponseWriter) {
	x := &exchange{
		ForwardHeader:   h,
		arrivedAt:       time.Now(),
		suspendedBefore: e.suspension.elapsed(),
		caller:          "entry",
		requestID:       loggedText(h.Header.Get(e.callerProtocol().RequestIDHeader), maxLoggedID),
		responseWriter:  w,
		body:            body,
		deadline:        time.Now().Add(time.Duration(h.RemainingMs) * time.Millisecond),
	}
	defer e.inFlight.begin(x)()
	releaseMemory, err := e.chargeForwarded(x)
	defer releaseMemory()
	ctx, releaseAbort := e.untilAborted(ctx)
	defer releaseAbort()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	started := &startedWriter{ResponseWriter: w}
	x.responseWriter = started
	var refused *refusal
	if err != nil {
		refused = bodyRefusal(err)
	} else {
		refused = e.handlePeerRequest(ctx, x)
	}
	if refused == nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		refused.detail += ": " + cause.Error()
	}
	// The sender passes a refusal on to the caller as it is.
	e.callerProtocol().adapt(refused)
	e.refuse(x, refused, started.started)
	if !started.started {
		// An error means that the peer is gone, so nobody reads the refusal.
		_ = refused.write(string(e.Settings.ID), w)
	}
}

// startedWriter records whether a response has started.
type startedWriter struct {
	peer.ResponseWriter
	started bool
}

// WriteHeader implements peer.ResponseWriter.
func (s *startedWriter) WriteHeader(h peer.ResponseHeader) error {
	s.started = true
	return s.ResponseWriter.WriteHeader(h)
}

// Unwrap returns the writer of the peer's stream.
func (s *startedWriter) Unwrap() peer.ResponseWriter { return s.ResponseWriter }

// Flush implements flusher.
func (s *startedWriter) Flush() {
	if f, ok := s.ResponseWriter.(flusher); ok {
		f.Flush()
	}
}

// handlePeerRequest handles a forwarded request: it relays it, decides whether its ID may run, or places it in
// a cell.
func (e *Entry) handlePeerRequest(ctx context.Context, x *exchange) *refusal {
	if x.Mode == peer.ForwardPlace {
		// An ID that is bound to this process can't run elsewhere.
		if refused := e.refuseIfLeaving(x); refused != nil {
			return refused
		}
	}
	if x.To != e.Settings.ID {
		return e.relay(ctx, x)
	}
	active := e.tables.current()
	if x.Mode == peer.ForwardAdmit {
		if refused := e.parseID(x); refused != nil {
			return refused
		}
		if x.id == nil || !e.isBoundHere(x.id) {
			return unknownRefusal(reasonBoundEntryUnreachable, "the id is not bound to this process")
		}
		forwardedDeadline := x.deadline
		refused := e.admitRoute(x, active, x.Header)
		x.deadline = minTime(forwardedDeadline, x.deadline)
		return e.runBound(ctx, x, active, refused)
	}
	if active == nil {
		return notRunRefusal(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet")
	}
	route := active.routes[x.Route]
	if route == nil {
		return notRunRefusal(http.StatusServiceUnavailable, reasonCellClosed, "the route is not in the tables in force at the owner")
	}
	x.pool = x.Cell.Pool
	if x.Revision == 0 {
		var refused *refusal
		if route, refused = e.rerouted(x, active, route); refused != nil {
			return refused
		}
	}
	x.route = route
	x.idempotent = route.IsIdempotent(x.Method)
	if refused := e.admitForwardedAccount(x, active); refused != nil {
		return refused
	}
	if err := x.bufferBody(e.Settings.ReplayBytes); err != nil {
		return bodyRefusal(err)
	}
	if x.pool != x.Cell.Pool {
		return e.route(ctx, x, active)
	}
	return e.placeOrPassOn(ctx, x, x.Cell)
}

// rerouted returns the route of a request from an entry of an earlier build, which compared its path with prefixes in
// another way and has chosen the route named. If the pool of the request's cell does not serve the route, it chooses the pool.
// Requests that name the tables by which they were routed keep their route, so that all requests of one entry follow
// the same tables.
func (e *Entry) rerouted(x *exchange, active *activeTables, named *table.Route) (*table.Route, *refusal) {
	if active.pair.Paths != table.MatchLiteral {
		return named, nil
	}
	match, err := active.router.Route(x.Method, x.Host, stripQuery(x.TargetURI()), x.Account, e.callerProtocol().token(x.Header))
	if err != nil {
		return nil, routeRefusal(err)
	}
	route := match.Route
	if route == named {
		return named, nil
	}
	x.Route, x.Revision = route.Name, active.pair.Revision
	serves := func(p table.WeightedPool) bool { return p.Pool == x.Cell.Pool }
	if !slices.ContainsFunc(route.WeightedPools(), serves) {
		x.pool = route.ChoosePool(rand.Float64())
	}
	x.deadline = minTime(x.deadline, x.arrivedAt.Add(route.TimeoutMs.Duration()))
	e.Log.Info().Str("event", "rerouted").Str("requestId", x.requestID).Str("from", string(named.Name)).
		Str("to", string(route.Name)).Stringer("revision", active.pair.Revision).Msg("an entry of an earlier build chose another route")
	return route, nil
}

// relay forwards a request once more, to its destination. Only the bound entry may report that an ID was not
// run, so a failed relay reports the outcome as unknown.
func (e *Entry) relay(ctx context.Context, x *exchange) *refusal {
	refused := e.relayOnce(ctx, x)
	if refused != nil && x.Mode == peer.ForwardAdmit {
		refused.outcome = notice.OutcomeUnknown
	}
	return refused
}

func (e *Entry) relayOnce(ctx context.Context, x *exchange) *refusal {
	to, ok := e.member(x.To)
	if !ok || to.Link != fleet.LinkTwoWay {
		return notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, "the relay has no link to entry "+string(x.To))
	}
	to.Relay = ""
	return e.forward(ctx, x, to, x.Mode)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
