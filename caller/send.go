package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/target"
)

// maxBufferedResponse is the largest response in bytes that is read before Do returns, so that the
// request can be retried if the response is truncated.
const maxBufferedResponse = 64 << 10

// call is the state of one request over all of its attempts.
type call struct {
	caller  *Caller
	ctx     context.Context
	request *Request
	result  Result
	// id is the current request ID; empty for idempotent requests and before the first attempt.
	id string
	// mayHaveRun reports that an attempt with the current ID, or any attempt of an idempotent
	// request, may have run. Once set, it stays set until the end of the call.
	mayHaveRun bool
	// nextAddress is the index of the address for the next attempt.
	nextAddress int
	// retryAfter is the Retry-After delay before the next attempt.
	retryAfter time.Duration
}

// Do sends a request and retries where this is safe, until the request has an outcome, the deadline
// passes or the attempts are used up. Closing the response body releases the resources of the request.
func (c *Caller) Do(ctx context.Context, r *Request) *Result {
	c.once.Do(c.init)
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	// A given ID comes from an earlier call of Do with an unknown outcome.
	k := &call{caller: c, ctx: ctx, request: r, id: r.ID, mayHaveRun: r.ID != ""}
	k.run()
	if k.result.Response != nil {
		k.result.Response.Body = &cancelOnClose{k.result.Response.Body, cancel}
	} else {
		cancel()
	}
	k.result.ID = k.id
	return &k.result
}

// cancelOnClose cancels the context of a request when the response body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// run makes attempts until one of them is final.
func (k *call) run() {
	k.result.Outcome = OutcomeNotRun
	for n := 1; ; n++ {
		if k.tryNextAddress() || n == k.caller.MaxAttempts || !k.waitForRetry(n) {
			break
		}
		k.dropResponse()
	}
	// A refusal does not prove that an earlier attempt was not run: the earlier one may have been
	// delayed and arrive after the refusal.
	if k.mayHaveRun && k.result.Outcome == OutcomeNotRun {
		k.result.Outcome = OutcomeUnknown
		k.result.RetryAfter = 0
	}
}

// waitForRetry waits before the next attempt, at least for the Retry-After delay. It returns false
// if the deadline would pass first.
func (k *call) waitForRetry(n int) bool {
	delay := max(k.caller.backoff(n), k.retryAfter)
	k.retryAfter = 0
	return sleep(k.ctx, delay)
}

// dropResponse closes a response that is not final.
func (k *call) dropResponse() {
	if k.result.Response != nil {
		k.result.Response.Body.Close()
		k.result.Response = nil
	}
}

// tryNextAddress makes one attempt at the next address. It returns true if the result is final.
func (k *call) tryNextAddress() (final bool) {
	addresses, err := k.caller.Addresses(k.ctx, k.request.Route)
	if err != nil {
		k.result.Reason = err.Error()
		_, permanentErr := asRefusalError(err)
		return permanentErr
	}
	address := addresses.Entries[k.nextAddress%len(addresses.Entries)]
	k.nextAddress++
	if k.nextAddress >= len(addresses.Entries) {
		// All addresses were tried; the next attempt requests new ones.
		k.nextAddress = 0
		k.caller.expireAddresses(k.request.Route)
	}
	return k.tryAddress(address)
}

// tryAddress makes one attempt at one address and evaluates the result.
func (k *call) tryAddress(address Address) (final bool) {
	if !k.request.idempotent() && k.id == "" {
		if err := k.bindID(address.Binding); err != nil {
			k.result.Reason = err.Error()
			return true
		}
	}
	start := time.Now()
	attempt := Attempt{Address: address.Address, ID: k.id, Outcome: OutcomeUnknown}
	response, maybeSent, err := k.sendTo(address.Address)
	attempt.DurationMs = float64(time.Since(start).Microseconds()) / 1000
	switch {
	case err == nil:
		attempt.Status = response.StatusCode
		attempt.Outcome = ParseOutcome(response.Header)
		final = k.handleResponse(response, attempt.Outcome)
	case maybeSent:
		attempt.Error = err.Error()
		k.result.Reason = attempt.Error
		k.result.Outcome = OutcomeUnknown
		k.mayHaveRun = true
	default:
		attempt.Outcome = OutcomeNotRun
		attempt.Error = err.Error()
		k.result.Reason = attempt.Error
		k.markNotRun()
		final = errors.Is(err, errInvalidRequest)
	}
	k.result.Attempts = append(k.result.Attempts, attempt)
	return final
}

// markNotRun allows a new ID for the next attempt, unless an earlier attempt with the current ID
// may have run.
func (k *call) markNotRun() {
	if !k.mayHaveRun {
		k.id = ""
		k.result.Outcome = OutcomeNotRun
	}
}

// handleResponse evaluates a response.
func (k *call) handleResponse(response *http.Response, outcome Outcome) (final bool) {
	k.result.Response = response
	k.result.Outcome = outcome
	switch outcome {
	case OutcomeRun:
		k.result.Reason = ""
		return true
	case OutcomeNotRun:
		k.result.Reason = k.readReason()
		k.result.RetryAfter = target.ParseRetryAfter(response.Header, time.Now())
		k.retryAfter = k.result.RetryAfter
		k.mayHaveRun = k.mayHaveRun && !k.caller.trustNotRun
		if k.mayHaveRun {
			k.result.Outcome = OutcomeUnknown
			return permanent(response.StatusCode)
		}
		if permanent(response.StatusCode) {
			return true
		}
		k.markNotRun()
	default:
		k.result.Reason = k.readReason()
		k.mayHaveRun = true
	}
	return false
}

// readReason returns the text of a refusal and leaves the body readable.
func (k *call) readReason() string {
	response := k.result.Response
	const maxBytes = 4 << 10
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxBytes)) // after a read error, the part that was read is used
	remaining := response.Body
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(text), remaining), remaining}
	return reasonText(response, text)
}
