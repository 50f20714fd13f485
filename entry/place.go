package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/target"
)

// keptFailureBytes is how much of a failed answer is kept while a retry is decided.
const keptFailureBytes = 64 << 10

// route runs the request at a cell of its pool: here if this entry owns the cell, or else at the
// owner. It returns a refusal that has not been sent, or nil.
func (e *Entry) route(ctx context.Context, x *exchange, force *inForce) *refusal {
	key := e.relieve(force, e.pickCell(force, x.pool))
	owner, ok := e.owner(key)
	if !ok || owner.ID == e.Settings.ID {
		return e.place(ctx, x, key)
	}
	x.Cell = key
	ref := e.forward(ctx, x, owner, peer.ForwardPlace)
	if ref == nil || ref.reason != reasonOwnerGone {
		return ref
	}
	// The owner may have used up the attempts that the route allows.
	again := ref.outcome == notice.OutcomeNotRun || x.idempotent && x.route.MaxAttempts == 0
	if !again || !x.replayable() || ctx.Err() != nil {
		return ref
	}
	// The owner can't be reached although it counted as live. Placing the request here serves the
	// caller; the limits of a shared cell hold the load on the targets down.
	return e.place(ctx, x, key)
}

// place runs the request at a target of the cell and passes its answer on.
func (e *Entry) place(ctx context.Context, x *exchange, key fleet.CellKey) *refusal {
	cell, ok := e.cells.get(key)
	if !ok {
		return notRun(http.StatusServiceUnavailable, reasonCellReplaced, "the pool is not in the tables in force")
	}
	id, decisions, ok := cell.submit(pool.Request{
		Route: x.Route, Account: x.Account, Idempotent: x.idempotent, Replayable: x.kept != nil,
		Deadline: e.now() + pool.Time(time.Until(x.deadline)), Fingerprint: x.fingerprint(),
		Upload:      x.kept == nil || x.route.Upload,
		MaxAttempts: x.route.MaxAttempts,
	})
	if !ok {
		return notRun(http.StatusServiceUnavailable, reasonCellReplaced, "the cell has been closed")
	}
	p := &placement{e: e, x: x, cell: cell, id: id}
	for {
		select {
		case d := <-decisions:
			ref, done := p.decide(ctx, d)
			if done {
				return ref
			}
		case <-ctx.Done():
			cell.withdraw(id, decisions)
			if p.failure != nil {
				return p.giveUp(reasonDeadline)
			}
			return p.refuse(reasonDeadline, 0)
		}
	}
}

// placement is one request at a cell.
type placement struct {
	e    *Entry
	x    *exchange
	cell *cellRunner
	id   pool.RequestID
	// written says that bytes of some attempt left towards a target, so that "not run" can't be
	// said unless that target said so.
	written bool
	// failure is the last answer with a failure status; it is passed on if there is no retry.
	failure *failedAnswer
}

// failedAnswer is a whole answer that reports a failure of the target.
type failedAnswer struct {
	head    peer.ResponseHeader
	body    []byte
	trailer http.Header
}

// decide carries out one decision; done says that the request has ended.
func (p *placement) decide(ctx context.Context, d pool.Decision) (ref *refusal, done bool) {
	switch d.Kind {
	case pool.DecisionRun:
		return p.attempt(ctx, d)
	case pool.DecisionRefuse:
		if p.failure != nil {
			return p.giveUp(d.Reason), true
		}
		return p.refuse(d.Reason, d.RetryAfter), true
	}
	return p.giveUp(d.Reason), true
}

// refuse ends a request that gets no target any more.
func (p *placement) refuse(reason pool.Reason, retryAfter time.Duration) *refusal {
	if p.written {
		return unknown(reason, "an earlier attempt may have run")
	}
	status := refusalStatus[reason]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	ref := notRun(status, reason, "the request was not sent to a target")
	ref.retryAfter = retryAfter
	return ref
}

// giveUp ends a request with the outcome of its last attempt.
func (p *placement) giveUp(reason pool.Reason) *refusal {
	if f := p.failure; f != nil {
		return p.pass(f)
	}
	return p.refuse(reason, 0)
}

// pass sends a failed answer on to the caller.
func (p *placement) pass(f *failedAnswer) *refusal {
	if err := p.x.out.WriteHeader(f.head); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	if _, err := p.x.out.Write(f.body); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	if err := p.x.out.Finish(f.trailer); err != nil {
		return unknown(reasonCallerGone, err.Error())
	}
	return nil
}

// attempt sends the request to the target of the decision. Once the first byte of an answer went
// to the caller the request can only end, whole or cut off.
func (p *placement) attempt(ctx context.Context, d pool.Decision) (ref *refusal, done bool) {
	x := p.x
	if !x.replayable() {
		// A part of the body has been read for an earlier attempt and is not kept.
		p.cell.abandon(p.id)
		return p.giveUp(d.Reason), true
	}
	x.attempts++
	row := p.cell.target(d.Target)
	began := time.Now()
	answer, err := p.e.client.Do(ctx, p.e.targetRequest(x, row, p.cell.patience()))
	if err != nil {
		return p.failed(d, err, time.Since(began))
	}
	defer func() { _ = answer.Body.Close() }()
	o := answer.Outcome()
	if o.Kind == pool.OutcomeShed || o.Kind == pool.OutcomeMisdirected {
		p.report(d, o)
		return nil, false
	}
	p.written = true
	if o.Kind == pool.OutcomeFailed && x.idempotent {
		return p.keepFailure(d, o, answer)
	}
	return p.stream(d, o, answer), true
}

// failed reports an attempt without an answer. The cell decides what follows.
func (p *placement) failed(d pool.Decision, err error, took time.Duration) (ref *refusal, done bool) {
	o := pool.Outcome{Kind: pool.OutcomeConnectionLost, Written: true}
	var attempt *target.AttemptError
	if errors.As(err, &attempt) {
		o = attempt.Outcome()
	}
	o.ServiceTime = took
	p.written = p.written || o.Written
	p.report(d, o)
	return nil, false
}

// report tells the cell how the attempt ended and logs it.
func (p *placement) report(d pool.Decision, o pool.Outcome) {
	o.Draining = o.Draining && !p.e.faults.ignoreDrain
	p.e.logAttempt(p.x, d, outcomeNames[o.Kind], o.ServiceTime)
	p.cell.finish(p.id, d.Target, o)
}

// keepFailure reads a failed answer of an idempotent request, so that it can be passed on if the
// cell decides against a retry.
func (p *placement) keepFailure(d pool.Decision, o pool.Outcome, a *target.Response) (ref *refusal, done bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, keptFailureBytes+1))
	switch {
	case err != nil:
		o.Kind = pool.OutcomeTruncated
	case len(body) > keptFailureBytes:
		a.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), a.Body), Closer: a.Body}
		return p.stream(d, o, a), true
	default:
		p.failure = &failedAnswer{head: p.e.answerHeader(a), body: body, trailer: a.Trailer}
	}
	p.report(d, o)
	return nil, false
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

// stream passes an answer on as it comes.
func (p *placement) stream(d pool.Decision, o pool.Outcome, a *target.Response) *refusal {
	var attempt *target.AttemptError
	out := p.x.out
	err := out.WriteHeader(p.e.answerHeader(a))
	if err == nil {
		err = copyBody(out, a.Body)
	}
	if err != nil && p.e.faults.passTruncated {
		err = nil
	}
	switch {
	case err == nil:
		err = out.Finish(a.Trailer)
	case errors.As(err, &attempt):
		o = attempt.Outcome()
		o.ServiceTime, o.Draining, o.ResponseStarted = a.ServiceTime, a.Draining, true
	default:
		o.Kind = pool.OutcomeCancelled
	}
	p.report(d, o)
	if err != nil {
		return unknown(reasonCutOff, err.Error())
	}
	return nil
}

// copyBuffer is the size of the buffer through which bodies pass, in bytes.
const copyBuffer = 32 << 10

// copyBody copies an answer's body and flushes after each read, since a target may stream.
func copyBody(out peer.ResponseWriter, body io.Reader) error {
	f, _ := out.(flusher)
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if _, err := out.Write(buf[:n]); err != nil {
				return Error.Wrap(err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if f != nil && n < copyBuffer {
			f.Flush()
		}
	}
}

var outcomeNames = map[pool.OutcomeKind]string{
	pool.OutcomeSuccess:          "success",
	pool.OutcomeFailed:           "failed",
	pool.OutcomeTruncated:        "truncated",
	pool.OutcomeShed:             "shed",
	pool.OutcomeMisdirected:      "otherTarget",
	pool.OutcomeConnectFailed:    "connectFailed",
	pool.OutcomeConnectionLost:   "connectionLost",
	pool.OutcomeConnectionSilent: "connectionSilent",
	pool.OutcomeTimeout:          "timeout",
	pool.OutcomeCancelled:        "cancelled",
	pool.OutcomeNotStarted:       "notStarted",
}
