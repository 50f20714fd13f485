package entry

import (
	"context"
	"net/http"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
)

// boundHere says that this process is the one that may run the id.
func (e *Entry) boundHere(id *notice.ID) bool {
	return id.Entry == e.Settings.ID && id.Incarnation == e.register.Incarnation
}

// forwardToBound passes a request to the only process that may run its id. Whatever goes wrong,
// the outcome is unknown here, because a copy may have reached that process before.
func (e *Entry) forwardToBound(ctx context.Context, x *exchange, force *inForce) *refusal {
	if e.faults.runForeign {
		return e.runUnregistered(ctx, x, force, e.admitRoute(x, force, x.Header))
	}
	if x.Hops > 0 {
		return unknown(reasonBoundGone, "the id is bound to "+x.id.String()+", which this entry is not")
	}
	if ref := e.admitRoute(x, force, x.Header); ref != nil {
		ref.outcome = notice.OutcomeUnknown
		return ref
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	member, ok := e.member(x.id.Entry)
	if !ok || member.Incarnation != x.id.Incarnation || !member.Live {
		return unknown(reasonBoundGone, "the entry that the id is bound to is gone or cut off; the request is not started again")
	}
	ref := e.forward(ctx, x, member, peer.ForwardAdmit)
	if ref != nil {
		ref.outcome = notice.OutcomeUnknown
	}
	return ref
}

// runBound runs a request whose id is bound to this process, or answers a further copy of it.
// early is a refusal that was found before; it also has to go through the register, because "not
// run" holds for an id only once no copy of it can run later.
func (e *Entry) runBound(ctx context.Context, x *exchange, force *inForce, early *refusal) *refusal {
	if e.faults.forgetIDs {
		return e.runUnregistered(ctx, x, force, early)
	}
	run, verdict := e.register.Admit(e.sinceStart(), *x.id, x.content())
	if verdict == notice.VerdictWait {
		select {
		case <-run.Done():
			run, verdict = e.register.Admit(e.sinceStart(), *x.id, x.content())
		case <-ctx.Done():
			return unknown(reasonCallerGone, "the caller left while an earlier copy was running")
		}
	}
	switch verdict {
	case notice.VerdictRun:
		return e.runOnce(ctx, x, force, run, early)
	case notice.VerdictReplay:
		return e.answerAgain(x, run)
	}
	return verdictRefusal(verdict)
}

// runUnregistered runs a request whatever the register knows of its id; only faults lead here.
func (e *Entry) runUnregistered(ctx context.Context, x *exchange, force *inForce, early *refusal) *refusal {
	if early != nil {
		return early
	}
	return e.route(ctx, x, force)
}

// verdictRefusal answers copies that do not run.
func verdictRefusal(v notice.Verdict) *refusal {
	switch v {
	case notice.VerdictNotRun:
		return notRun(http.StatusServiceUnavailable, reasonIDRefused, "the id was not run and is not admitted any more; make a new id")
	case notice.VerdictResponseLost:
		ref := unknown(reasonAnswerLost, "the request has run; its answer was not kept")
		ref.status, ref.outcome = http.StatusConflict, notice.OutcomeRun
		return ref
	case notice.VerdictConflict:
		ref := unknown(reasonIDConflict, "the id was used with other content")
		ref.status = http.StatusUnprocessableEntity
		return ref
	}
	return unknown(reasonIDUnknown, "the outcome of this id is not known; it is not started again")
}

// runOnce runs the request of a new id. Once its body is in memory the run no longer depends on
// the caller's connection, so that a resend can get the answer.
func (e *Entry) runOnce(ctx context.Context, x *exchange, force *inForce, run *notice.Run, early *refusal) *refusal {
	if early != nil {
		early.outcome = notice.OutcomeNotRun
		e.register.Finish(e.sinceStart(), run, notice.Response{Outcome: notice.OutcomeNotRun})
		return early
	}
	if x.kept != nil {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	rec := &recorder{ResponseWriter: x.out, max: e.Settings.AnswerBytes / maxAnswerShare}
	x.out = rec
	ref := e.route(ctx, x, force)
	answer := notice.Response{Status: rec.status, Header: rec.header, Body: rec.body, Trailer: rec.trailer, Outcome: notice.OutcomeRun}
	switch {
	case ref != nil:
		answer.Outcome = ref.outcome
	case !rec.whole:
		answer.Outcome = notice.OutcomeUnknown
	default:
		answer.Outcome = rec.header.Get(headerOutcome)
	}
	e.register.Finish(e.sinceStart(), run, answer)
	return ref
}

// maxAnswerShare is the part of the memory for kept answers that one answer may take: 1/256 of
// 16 MiB is 64 KiB.
const maxAnswerShare = 256

// answerAgain gives the kept answer of an id once more.
func (e *Entry) answerAgain(x *exchange, run *notice.Run) *refusal {
	a, ok := e.register.Response(run)
	if !ok {
		return verdictRefusal(notice.VerdictResponseLost)
	}
	e.logAttempt(x, pool.Decision{Reason: reasonAnswerKept}, notice.OutcomeRun, 0)
	header := peer.ResponseHeader{Status: a.Status, Header: a.Header, ContentLength: int64(len(a.Body))}
	if err := x.out.WriteHeader(header); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	if _, err := x.out.Write(a.Body); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	if err := x.out.Finish(a.Trailer); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	return nil
}
