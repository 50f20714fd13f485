package entry

import (
	"context"
	"net/http"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
)

// isBoundHere reports whether the ID is bound to this process.
func (e *Entry) isBoundHere(id *notice.ID) bool {
	return id.Entry == e.Settings.ID && id.Incarnation == e.dedup.Incarnation
}

// forwardToBound forwards a request to the only process that may run its ID. Every failure is reported with the
// outcome unknown, because an earlier copy may have reached that process.
func (e *Entry) forwardToBound(ctx context.Context, x *exchange, active *activeTables) *refusal {
	if e.faults.runForeign {
		return e.runWithoutDedup(ctx, x, active, e.admitRoute(x, active, x.Header))
	}
	if x.Hops > 0 {
		return unknownRefusal(reasonBoundEntryUnreachable, "the id is bound to "+x.id.String()+", which this entry is not")
	}
	if refused := e.admitRoute(x, active, x.Header); refused != nil {
		refused.outcome = notice.OutcomeUnknown
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	member, ok := e.member(x.id.Entry)
	if !ok || member.Incarnation != x.id.Incarnation || !member.Live {
		return unknownRefusal(reasonBoundEntryUnreachable, "the entry that the id is bound to is gone or cut off; the request is not started again")
	}
	refused := e.forward(ctx, x, member, peer.ForwardAdmit)
	if refused != nil {
		refused.outcome = notice.OutcomeUnknown
	}
	return refused
}

// runBound runs a request whose ID is bound to this process, or handles another copy of it. earlyRefusal is a
// refusal found before, or nil. A refused request also passes the deduplicator, because an ID counts as not run
// only once no copy of it can run later.
func (e *Entry) runBound(ctx context.Context, x *exchange, active *activeTables, earlyRefusal *refusal) *refusal {
	if e.faults.forgetIDs {
		return e.runWithoutDedup(ctx, x, active, earlyRefusal)
	}
	run, verdict := e.dedup.Admit(e.sinceStart(), *x.id, x.contentHash())
	if verdict == notice.VerdictWait {
		select {
		case <-run.Done():
			run, verdict = e.dedup.Admit(e.sinceStart(), *x.id, x.contentHash())
		case <-ctx.Done():
			return unknownRefusal(reasonCallerGone, "the caller left while an earlier copy was running")
		}
	}
	switch verdict {
	case notice.VerdictRun:
		return e.runOnce(ctx, x, active, run, earlyRefusal)
	case notice.VerdictReplay:
		return e.replayResponse(x, run)
	}
	return verdictRefusal(verdict)
}

// runWithoutDedup runs a request without asking the deduplicator. Only injected faults use it.
func (e *Entry) runWithoutDedup(ctx context.Context, x *exchange, active *activeTables, earlyRefusal *refusal) *refusal {
	if earlyRefusal != nil {
		return earlyRefusal
	}
	return e.route(ctx, x, active)
}

// verdictRefusal returns the refusal of a request that the deduplicator does not run.
func verdictRefusal(v notice.Verdict) *refusal {
	switch v {
	case notice.VerdictNotRun:
		return notRunRefusal(http.StatusServiceUnavailable, reasonIDNotAdmitted, "the id was not run and is not admitted any more; make a new id")
	case notice.VerdictResponseLost:
		refused := unknownRefusal(reasonResponseNotStored, "the request has run; its answer was not kept")
		refused.status, refused.outcome = http.StatusConflict, notice.OutcomeRun
		return refused
	case notice.VerdictConflict:
		refused := unknownRefusal(reasonIDConflict, "the id was used with other content")
		refused.status = http.StatusUnprocessableEntity
		return refused
	}
	return unknownRefusal(reasonIDExpired, "the outcome of this id is not known; it is not started again")
}

// runOnce runs the request of a new ID. Once the body is buffered, the run does not depend on the caller's
// connection any more, so that a retry can get the response.
func (e *Entry) runOnce(ctx context.Context, x *exchange, active *activeTables, run *notice.Run, earlyRefusal *refusal) *refusal {
	if earlyRefusal != nil {
		earlyRefusal.outcome = notice.OutcomeNotRun
		e.dedup.Finish(e.sinceStart(), run, notice.Response{Outcome: notice.OutcomeNotRun})
		return earlyRefusal
	}
	if x.buffered != nil {
		var release func()
		ctx, release = e.untilAborted(context.WithoutCancel(ctx))
		defer release()
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	rec := &responseRecorder{ResponseWriter: x.responseWriter, maxBody: e.Settings.AnswerBytes / responseMemoryDivisor}
	x.responseWriter = rec
	refused := e.route(ctx, x, active)
	response := notice.Response{Status: rec.status, Header: rec.header, Body: rec.body, Trailer: rec.trailer, Outcome: notice.OutcomeRun}
	switch {
	case refused != nil:
		response.Outcome = refused.outcome
	case !rec.complete:
		response.Outcome = notice.OutcomeUnknown
	default:
		response.Outcome = rec.header.Get(headerOutcome)
	}
	e.dedup.Finish(e.sinceStart(), run, response)
	return refused
}

// responseMemoryDivisor limits one stored response to this part of the memory for all stored responses: 1/256
// of 16 MiB is 64 KiB.
const responseMemoryDivisor = 256

// replayResponse sends the stored response of an ID again.
func (e *Entry) replayResponse(x *exchange, run *notice.Run) *refusal {
	stored, ok := e.dedup.Response(run)
	if !ok {
		return verdictRefusal(notice.VerdictResponseLost)
	}
	e.logAttempt(x, pool.Decision{Reason: reasonStoredResponse}, notice.OutcomeRun, &pool.Outcome{})
	header := peer.ResponseHeader{Status: stored.Status, Header: stored.Header, ContentLength: int64(len(stored.Body))}
	if err := x.responseWriter.WriteHeader(header); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if _, err := x.responseWriter.Write(stored.Body); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if err := x.responseWriter.Finish(stored.Trailer); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	return nil
}
