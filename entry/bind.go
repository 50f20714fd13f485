package entry

import (
	"context"
	"net/http"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
)

// isBoundHere says that this process is the one that may run the id.
func (e *Entry) isBoundHere(id *notice.ID) bool {
	return id.Entry == e.Settings.ID && id.Incarnation == e.dedup.Incarnation
}

// forwardToBound passes a request to the only process that may run its id. Whatever goes wrong,
// the outcome is unknown here, because a copy may have reached that process before.
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

// runBound runs a request whose id is bound to this process, or answers a further copy of it.
// early is a refusal that was found before; it also has to go through the register, because "not
// run" holds for an id only once no copy of it can run later.
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

// runWithoutDedup runs a request whatever the register knows of its id; only faults lead here.
func (e *Entry) runWithoutDedup(ctx context.Context, x *exchange, active *activeTables, earlyRefusal *refusal) *refusal {
	if earlyRefusal != nil {
		return earlyRefusal
	}
	return e.route(ctx, x, active)
}

// verdictRefusal answers copies that do not run.
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

// runOnce runs the request of a new id. Once its body is in memory the run no longer depends on
// the caller's connection, so that a resend can get the answer.
func (e *Entry) runOnce(ctx context.Context, x *exchange, active *activeTables, run *notice.Run, earlyRefusal *refusal) *refusal {
	if earlyRefusal != nil {
		earlyRefusal.outcome = notice.OutcomeNotRun
		e.dedup.Finish(e.sinceStart(), run, notice.Response{Outcome: notice.OutcomeNotRun})
		return earlyRefusal
	}
	if x.buffered != nil {
		ctx = context.WithoutCancel(ctx)
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

// responseMemoryDivisor is the part of the memory for kept answers that one answer may take: 1/256 of
// 16 MiB is 64 KiB.
const responseMemoryDivisor = 256

// replayResponse gives the kept answer of an id once more.
func (e *Entry) replayResponse(x *exchange, run *notice.Run) *refusal {
	a, ok := e.dedup.Response(run)
	if !ok {
		return verdictRefusal(notice.VerdictResponseLost)
	}
	e.logAttempt(x, pool.Decision{Reason: reasonStoredResponse}, notice.OutcomeRun, 0)
	header := peer.ResponseHeader{Status: a.Status, Header: a.Header, ContentLength: int64(len(a.Body))}
	if err := x.responseWriter.WriteHeader(header); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if _, err := x.responseWriter.Write(a.Body); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if err := x.responseWriter.Finish(a.Trailer); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	return nil
}
