package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/cost"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/target"
)

// maxBufferedFailureBytes is how much of a failure response is buffered until the cell decides on a retry.
const maxBufferedFailureBytes = 64 << 10

// route runs the request in a cell of its pool, at this entry if it owns the cell and at the owner otherwise.
// It returns nil, or a refusal that has not been sent yet.
func (e *Entry) route(ctx context.Context, x *exchange, active *activeTables) *refusal {
	key := e.pickCell(active, x.pool)
	if !e.servesSoon(key, x) {
		key = e.spillover(active, key)
	}
	owner, ok := e.owner(key)
	if !ok || owner.ID == e.Settings.ID {
		return e.placeOrPassOn(ctx, x, key)
	}
	if refused := e.quota.throttled(x); refused != nil {
		return refused
	}
	x.Cell = key
	refused := e.forward(ctx, x, owner, peer.ForwardPlace)
	if refused == nil || refused.reason != reasonOwnerUnreachable && refused.reason != reasonLeaving {
		return refused
	}
	// If the route limits attempts, the owner may have used them up already.
	retryHere := refused.outcome == notice.OutcomeNotRun || x.idempotent && x.route.MaxAttempts == 0
	if !retryHere || !x.replayable() || ctx.Err() != nil {
		return refused
	}
	// The owner is unreachable although it is listed as live, or stops. Placing the request here still serves the
	// caller, and the limits for shared cells bound the load on the targets.
	return e.place(ctx, x, key)
}

// placeOrPassOn runs the request at a target of the cell. If this entry hands the cell over before it has sent the
// request to a target, the new owner gets it.
func (e *Entry) placeOrPassOn(ctx context.Context, x *exchange, key fleet.CellKey) *refusal {
	refused := e.place(ctx, x, key)
	if refused == nil || refused.reason != pool.ReasonNotOwner || refused.outcome != notice.OutcomeNotRun {
		return refused
	}
	owner, ok := e.owner(key)
	if !ok || owner.ID == e.Settings.ID || !x.replayable() || ctx.Err() != nil {
		return refused
	}
	x.Cell = key
	return e.forward(ctx, x, owner, peer.ForwardPlace)
}

// place runs the request at a target of the cell and passes the response on.
func (e *Entry) place(ctx context.Context, x *exchange, key fleet.CellKey) *refusal {
	cell, ok := e.cells.getOrCreate(key)
	if !ok {
		return notRunRefusal(http.StatusServiceUnavailable, reasonCellClosed, "the pool is not in the tables in force")
	}
	giveBack, refused := e.quota.acquire(ctx, x)
	if refused != nil {
		cell.withCell(func(now pool.Time, c *pool.Cell) { c.CountRefused(now) })
		return refused
	}
	refused = e.placeInCell(ctx, x, cell)
	if refused != nil && refused.outcome == notice.OutcomeNotRun {
		giveBack()
	}
	return refused
}

// placeInCell runs the request at a target that the cell chooses.
func (e *Entry) placeInCell(ctx context.Context, x *exchange, cell *cellRunner) *refusal {
	if refused := e.readSuspectedBody(ctx, x, cell); refused != nil {
		return refused
	}
	id, decisions, ok := cell.submit(pool.Request{
		Route: x.Route, Account: x.Account, Idempotent: x.idempotent, Replayable: x.buffered != nil, Priority: x.priority,
		RoutePriority: x.route.Priority,
		Objective:     e.objective(x), Deadline: e.now() + pool.Time(time.Until(e.deadline(x))), Fingerprint: x.fingerprint(), Head: x.headFingerprint(),
		Upload:      x.buffered == nil || x.route.Upload,
		MaxAttempts: x.route.MaxAttempts,
		Cost:        x.costFeatures(),
	})
	if !ok {
		return notRunRefusal(http.StatusServiceUnavailable, reasonCellClosed, "the cell has been closed")
	}
	p := &placement{e: e, x: x, cell: cell, id: id}
	for {
		select {
		case d := <-decisions:
			refused, done := p.execute(ctx, d)
			if !done {
				continue
			}
			if refused != nil && e.isAborted() {
				refused.reason, refused.retryAfter = reasonLeaving, leavingRetryAfter
			}
			return refused
		case <-ctx.Done():
			cell.cancel(id, decisions)
			if p.lastFailure != nil {
				return p.finishWithLastOutcome(reasonDeadlinePassed)
			}
			if e.isAborted() {
				return p.refuse(reasonLeaving, leavingRetryAfter)
			}
			return p.refuse(reasonDeadlinePassed, 0)
		}
	}
}

// objective returns the latest time at which a response is in time; 0 if the route has no objective.
func (e *Entry) objective(x *exchange) pool.Time {
	if x.route.ObjectiveMs == 0 {
		return 0
	}
	return e.now() + pool.Time(time.Until(x.arrivedAt.Add(x.route.ObjectiveMs.Duration())))
}

// costFeatures returns what the cost of the request may depend on.
func (x *exchange) costFeatures() cost.Features {
	return cost.Features{
		Route: x.Route, Method: x.Method, Shape: cost.ShapeOf(x.TargetURI()), Size: cost.SizeClassOf(x.ContentLength), Account: x.Account,
	}
}

// placement is one request in a cell.
type placement struct {
	e    *Entry
	x    *exchange
	cell *cellRunner
	id   pool.RequestID
	// written is true once bytes of an attempt were sent to a target. From then on the outcome is notRun only
	// if that target said so.
	written bool
	// lastFailure is the last response with a failure status. It is passed on if there is no retry.
	lastFailure *failedResponse
}

// failedResponse is a complete response that reports a failure of the target.
type failedResponse struct {
	header  peer.ResponseHeader
	body    []byte
	trailer http.Header
}

// execute carries out one decision of the cell. done is true if the request has ended.
func (p *placement) execute(ctx context.Context, d pool.Decision) (refused *refusal, done bool) {
	switch d.Kind {
	case pool.DecisionRun:
		return p.attempt(ctx, d)
	case pool.DecisionRefuse:
		if p.lastFailure != nil {
			return p.finishWithLastOutcome(d.Reason), true
		}
		refused = p.refuse(d.Reason, d.RetryAfter)
		refused.queue = d.Queue
		return refused, true
	}
	return p.finishWithLastOutcome(d.Reason), true
}

// refuse ends a request that gets no further target.
func (p *placement) refuse(reason pool.Reason, retryAfter time.Duration) *refusal {
	if p.written {
		return unknownRefusal(reason, "an earlier attempt may have run")
	}
	status := refusalStatus[reason]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	refused := notRunRefusal(status, reason, "the request was not sent to a target")
	refused.retryAfter = retryAfter
	return refused
}

// finishWithLastOutcome ends a request with the failure response of its last attempt, or refuses it if there is
// none.
func (p *placement) finishWithLastOutcome(reason pool.Reason) *refusal {
	if f := p.lastFailure; f != nil {
		return p.sendFailure(f)
	}
	return p.refuse(reason, 0)
}

// sendFailure passes a failure response on to the caller.
func (p *placement) sendFailure(f *failedResponse) *refusal {
	if err := p.x.responseWriter.WriteHeader(f.header); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if _, err := p.x.responseWriter.Write(f.body); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	if err := p.x.responseWriter.Finish(f.trailer); err != nil {
		return unknownRefusal(reasonCallerGone, err.Error())
	}
	return nil
}

// attempt sends the request to the target of the decision. Once the first byte of a response was sent to the
// caller there is no retry: the response is either completed or aborted.
func (p *placement) attempt(ctx context.Context, d pool.Decision) (refused *refusal, done bool) {
	x := p.x
	if !x.replayable() {
		// An earlier attempt has read part of the body, and that part is not buffered.
		p.cell.abort(p.id)
		return p.finishWithLastOutcome(d.Reason), true
	}
	if !x.holder.Run() {
		p.cell.abort(p.id)
		return p.refuse(reasonConnectionsShort, memoryRetryAfter), true
	}
	defer x.holder.Busy()
	x.attempts++
	to := p.cell.target(d.Target)
	startedAt := time.Now()
	ctx, responded, release := p.cell.beginAttempt(ctx, p.id)
	defer release()
	response, err := p.e.targetClient.Do(ctx, p.e.targetRequest(x, to, p.cell, p.id))
	abandoned := responded()
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if abandoned {
			// The response began in the same moment, and its connection has been closed.
			err = &target.AttemptError{Written: true, Cause: errAbandoned}
		}
	}
	if err != nil {
		return p.handleError(ctx, d, err, time.Since(startedAt), abandoned)
	}
	p.cell.responseBegan(p.id)
	if response.RateLimitErr != nil {
		p.e.logRateLimitIgnored(d.Target, response.RateLimitErr)
	}
	o := response.Outcome()
	if o.Kind == pool.OutcomeShed || o.Kind == pool.OutcomeMisdirected {
		p.report(d, o)
		return nil, false
	}
	p.written = true
	if o.Kind == pool.OutcomeFailed && x.idempotent {
		return p.bufferFailure(d, o, response)
	}
	return p.streamResponse(d, o, response), true
}

// handleError reports an attempt without a response. The cell decides what follows.
func (p *placement) handleError(ctx context.Context, d pool.Decision, err error, elapsed time.Duration, abandoned bool) (refused *refusal, done bool) {
	o := pool.Outcome{Kind: pool.OutcomeConnectionLost, Written: true}
	var attempt *target.AttemptError
	if errors.As(err, &attempt) {
		o = attempt.Outcome()
	}
	switch {
	case abandoned:
		o.Kind, o.Abandoned = pool.OutcomeTimeout, true
	case context.Cause(ctx) == errHandedOver && !o.Written:
		o.Kind = pool.OutcomeNotStarted
	}
	o.ServiceTime = elapsed
	p.written = p.written || o.Written
	p.report(d, o)
	return nil, false
}

// report logs the outcome of an attempt and reports it to the cell.
func (p *placement) report(d pool.Decision, o pool.Outcome) {
	o.Draining = o.Draining && !p.e.faults.ignoreDrain
	p.e.logAttempt(p.x, d, outcomeNames[o.Kind], &o)
	p.cell.finish(p.id, d.Target, o)
}

// bufferFailure buffers a failure response of an idempotent request, so that it can be passed on if the cell
// decides against a retry. A response of more than maxBufferedFailureBytes is passed on at once.
func (p *placement) bufferFailure(d pool.Decision, o pool.Outcome, resp *target.Response) (refused *refusal, done bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedFailureBytes+1))
	switch {
	case err != nil:
		o.Kind = pool.OutcomeTruncated
	case len(body) > maxBufferedFailureBytes:
		resp.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), resp.Body), Closer: resp.Body}
		return p.streamResponse(d, o, resp), true
	default:
		p.lastFailure = &failedResponse{header: p.e.responseHeader(resp, p.cell.target(d.Target)), body: body, trailer: resp.Trailer}
	}
	p.report(d, o)
	return nil, false
}

type prefixedBody struct {
	io.Reader
	io.Closer
}

// streamResponse passes a response on as it arrives.
func (p *placement) streamResponse(d pool.Decision, o pool.Outcome, resp *target.Response) *refusal {
	var attempt *target.AttemptError
	w := p.x.responseWriter
	defer watchResponse(w, p.cell.saturated)()
	err := w.WriteHeader(p.e.responseHeader(resp, p.cell.target(d.Target)))
	heldUp := time.Duration(0)
	if err == nil {
		heldUp, err = copyBody(w, resp.Body)
	}
	if err != nil && p.e.faults.passTruncated {
		err = nil
	}
	switch {
	case err == nil:
		err = w.Finish(resp.Trailer)
	case errors.As(err, &attempt):
		o = attempt.Outcome()
		o.ServiceTime, o.Draining, o.ResponseStarted = resp.ServiceTime, resp.Draining, true
		o.RateLimit = resp.RateLimit
		if heldUp >= callersFaultAfter {
			o.Kind = pool.OutcomeCanceled
		}
	default:
		o.Kind, o.ResponseStarted = pool.OutcomeCanceled, true
	}
	p.report(d, o)
	if err != nil {
		return unknownRefusal(reasonOutcomeLost, err.Error())
	}
	return nil
}

// copyBufferSize is the size of the buffers for copying bodies, in bytes.
const copyBufferSize = 32 << 10

// callersFaultAfter is how long a caller may hold up a response before its early end counts as the caller's fault. Targets
// cut off a response that they can't send for some seconds.
const callersFaultAfter = time.Second

// copyBody copies a response body. It flushes after each short read, because targets may stream. heldUp is how long the
// longest write took.
func copyBody(w peer.ResponseWriter, body io.Reader) (heldUp time.Duration, err error) {
	f, _ := w.(flusher)
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			start := time.Now()
			_, writeErr := w.Write(buf[:n])
			if writeErr == nil && err == nil && f != nil && n < copyBufferSize {
				f.Flush()
			}
			heldUp = max(heldUp, time.Since(start))
			if writeErr != nil {
				return heldUp, Error.Wrap(writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return heldUp, nil
		}
		if err != nil {
			return heldUp, err
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
	pool.OutcomeCanceled:         "cancelled",
	pool.OutcomeNotStarted:       "notStarted",
}
