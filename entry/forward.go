package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxHops is how many entries a request may pass through after the first: the relay, the bound
// entry, its relay, and the owner.
const maxHops = 4

// forward passes a request to a peer and its answer on to the caller. A refusal with
// reasonOwnerGone is an answer that never came; its outcome says whether the request left.
func (e *Entry) forward(ctx context.Context, x *exchange, to fleet.Member, mode peer.ForwardMode) *refusal {
	x.attempts++
	h := x.ForwardHeader
	h.Mode = mode
	h.To = to.ID
	h.Hops++
	h.RemainingMs = x.remaining()
	via, ok := e.nextHop(to)
	if !ok || h.Hops > maxHops {
		return notRun(http.StatusServiceUnavailable, reasonOwnerGone, "no path to entry "+string(to.ID))
	}
	answer, err := e.node.Forward(ctx, via, h, x.nextBody())
	if err != nil {
		e.logForward(x, to, err.Error())
		ref := unknown(reasonOwnerGone, err.Error())
		if peer.WasNotSent(err) {
			ref = notRun(http.StatusServiceUnavailable, reasonOwnerGone, err.Error())
		}
		return ref
	}
	defer func() { _ = answer.Body.Close() }()
	e.logForward(x, to, answer.Header.Get(headerOutcome))
	return passAnswer(x.out, answer)
}

// passAnswer copies a peer's answer to the caller.
func passAnswer(out peer.ResponseWriter, a *peer.Response) *refusal {
	if err := out.WriteHeader(a.ResponseHeader); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	if err := copyBody(out, a.Body); err != nil {
		return unknown(reasonCutOff, err.Error())
	}
	if err := out.Finish(a.Trailer); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	return nil
}

// nextHop returns the member to connect to on the way to another.
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
func (e *Entry) Pair(than table.Revision) peer.PairMessage {
	force := e.config.current()
	if force == nil || force.pair.Revision <= than {
		return peer.PairMessage{}
	}
	return peer.PairMessage{Revision: force.pair.Revision, Digest: force.pair.Digest, Values: force.pair.Values}
}

// Forward implements peer.Handler: it answers a request that a peer passes on.
func (e *Entry) Forward(ctx context.Context, h peer.ForwardHeader, body io.Reader, w peer.ResponseWriter) {
	defer e.requests.enter()()
	x := &exchange{
		ForwardHeader: h,
		arrived:       time.Now(),
		caller:        "entry",
		out:           w,
		body:          body,
		deadline:      time.Now().Add(time.Duration(h.RemainingMs) * time.Millisecond),
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	started := &startedWriter{ResponseWriter: w}
	x.out = started
	ref := e.answerPeer(ctx, x)
	if ref == nil {
		return
	}
	e.refuse(x, ref, started.started)
	if !started.started {
		// A peer that has gone does not read the refusal.
		_ = ref.write(string(e.Settings.ID), w)
	}
}

// startedWriter notes whether an answer has begun.
type startedWriter struct {
	peer.ResponseWriter
	started bool
}

// WriteHeader implements peer.ResponseWriter.
func (s *startedWriter) WriteHeader(a peer.ResponseHeader) error {
	s.started = true
	return s.ResponseWriter.WriteHeader(a)
}

// Flush implements flusher.
func (s *startedWriter) Flush() {
	if f, ok := s.ResponseWriter.(flusher); ok {
		f.Flush()
	}
}

// answerPeer relays the request, decides about its id, or places it.
func (e *Entry) answerPeer(ctx context.Context, x *exchange) *refusal {
	if x.To != e.Settings.ID {
		return e.relay(ctx, x)
	}
	force := e.config.current()
	if x.Mode == peer.ForwardAdmit {
		if ref := e.readID(x); ref != nil {
			return ref
		}
		if x.id == nil || !e.boundHere(x.id) {
			return unknown(reasonBoundGone, "the id is not bound to this process")
		}
		remaining := x.deadline
		ref := e.admitRoute(x, force, x.Header)
		x.deadline = minTime(remaining, x.deadline)
		return e.runBound(ctx, x, force, ref)
	}
	if force == nil {
		return notRun(http.StatusServiceUnavailable, reasonNoTables, "no tables are in force yet")
	}
	route := force.routes[x.Route]
	if route == nil {
		return notRun(http.StatusServiceUnavailable, reasonCellReplaced, "the route is not in the tables in force at the owner")
	}
	x.route = route
	x.pool = x.Cell.Pool
	x.attempt = x.Header.Get(e.dialect().RequestIDHeader)
	x.idempotent = route.IsIdempotent(x.Method)
	if err := x.keepBody(e.Settings.ReplayBytes); err != nil {
		return notRun(http.StatusBadRequest, reasonCallerGone, err.Error())
	}
	return e.place(ctx, x, x.Cell)
}

// relay passes a request on to the entry that it is for, once. Only the bound entry may say that an id
// was not run, so a relay that fails says that the outcome is unknown.
func (e *Entry) relay(ctx context.Context, x *exchange) *refusal {
	ref := e.relayTo(ctx, x)
	if ref != nil && x.Mode == peer.ForwardAdmit {
		ref.outcome = notice.OutcomeUnknown
	}
	return ref
}

func (e *Entry) relayTo(ctx context.Context, x *exchange) *refusal {
	to, ok := e.member(x.To)
	if !ok || to.Link != fleet.LinkTwoWay {
		return notRun(http.StatusServiceUnavailable, reasonOwnerGone, "the relay has no link to entry "+string(x.To))
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
