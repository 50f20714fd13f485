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

// maxHeld is the largest answer that is read before Do returns, so that a cut answer can be asked
// for again.
const maxHeld = 64 << 10

// call is one request over all of its attempts.
type call struct {
	caller  *Caller
	ctx     context.Context
	request *Request
	result  Result
	// id is the run id in use; empty for idempotent requests and before the first attempt.
	id string
	// uncertain says that an attempt may have been run: with the id in use, or at all if the
	// request is idempotent. It ends only with the call.
	uncertain bool
	// next is the index of the address for the next attempt.
	next int
	// wait is the entry's advice for the next attempt.
	wait time.Duration
}

// Do sends a request and sends it again where that is safe, until there is an outcome, the deadline
// passes or the attempts are used up. Closing the answer's body frees the request's resources.
func (c *Caller) Do(ctx context.Context, r *Request) *Result {
	c.once.Do(c.init)
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	// An id that is given was sent before, with an outcome that isn't known.
	k := &call{caller: c, ctx: ctx, request: r, id: r.ID, uncertain: r.ID != ""}
	k.run()
	if k.result.Response != nil {
		k.result.Response.Body = &closer{k.result.Response.Body, cancel}
	} else {
		cancel()
	}
	k.result.ID = k.id
	return &k.result
}

// closer ends a request's context with its answer.
type closer struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *closer) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// run makes attempts until one of them is final.
func (k *call) run() {
	k.result.Outcome = OutcomeNotRun
	for n := 1; ; n++ {
		if k.attempt() || n == k.caller.MaxAttempts || !k.pause(n) {
			break
		}
		k.dropAnswer()
	}
	// What may have run can't become "not run" by a later refusal: a delayed sending may still
	// arrive, or may have arrived after the refusal.
	if k.uncertain && k.result.Outcome == OutcomeNotRun {
		k.result.Outcome = OutcomeUnknown
		k.result.RetryAfter = 0
	}
}

// pause waits before the next attempt, at least as long as the entry advised.
func (k *call) pause(n int) bool {
	wait := max(k.caller.pause(n), k.wait)
	k.wait = 0
	return sleep(k.ctx, wait)
}

// dropAnswer closes an answer that is not final.
func (k *call) dropAnswer() {
	if k.result.Response != nil {
		k.result.Response.Body.Close()
		k.result.Response = nil
	}
}

// attempt sends the request once. It returns true if the result is final.
func (k *call) attempt() (final bool) {
	addresses, err := k.caller.Addresses(k.ctx, k.request.Route)
	if err != nil {
		k.result.Reason = err.Error()
		_, lasting := asRefusal(err)
		return lasting
	}
	address := addresses.Entries[k.next%len(addresses.Entries)]
	k.next++
	if k.next >= len(addresses.Entries) {
		// All were tried; the next attempt asks who serves the route now.
		k.next = 0
		k.caller.forget(k.request.Route)
	}
	return k.attemptAt(address)
}

// attemptAt sends the request to one entry and judges the result.
func (k *call) attemptAt(address Address) (final bool) {
	if !k.request.idempotent() && k.id == "" {
		if err := k.bind(address.Binding); err != nil {
			k.result.Reason = err.Error()
			return true
		}
	}
	start := time.Now()
	report := Attempt{Address: address.Address, ID: k.id, Outcome: OutcomeUnknown}
	response, sent, err := k.send(address.Address)
	report.DurationMs = float64(time.Since(start).Microseconds()) / 1000
	switch {
	case err == nil:
		report.Status = response.StatusCode
		report.Outcome = ParseOutcome(response.Header)
		final = k.answered(response, report.Outcome)
	case sent:
		report.Error = err.Error()
		k.result.Reason = report.Error
		k.result.Outcome = OutcomeUnknown
		k.uncertain = true
	default:
		report.Outcome = OutcomeNotRun
		report.Error = err.Error()
		k.result.Reason = report.Error
		k.certain()
		final = errors.Is(err, errUnbuilt)
	}
	k.result.Attempts = append(k.result.Attempts, report)
	return final
}

// certain lets the next attempt have a new id, if no earlier attempt with the id may have run.
func (k *call) certain() {
	if !k.uncertain {
		k.id = ""
		k.result.Outcome = OutcomeNotRun
	}
}

// answered judges an answer.
func (k *call) answered(response *http.Response, outcome Outcome) (final bool) {
	k.result.Response = response
	k.result.Outcome = outcome
	switch outcome {
	case OutcomeRun:
		k.result.Reason = ""
		return true
	case OutcomeNotRun:
		k.result.Reason = k.reason()
		k.result.RetryAfter = target.ParseRetryAfter(response.Header, time.Now())
		k.wait = k.result.RetryAfter
		k.uncertain = k.uncertain && !k.caller.trustRefusals
		if k.uncertain {
			k.result.Outcome = OutcomeUnknown
			return lasting(response.StatusCode)
		}
		if lasting(response.StatusCode) {
			return true
		}
		k.certain()
	default:
		k.result.Reason = k.reason()
		k.uncertain = true
	}
	return false
}

// reason reads the text of a refusal and leaves the body readable.
func (k *call) reason() string {
	response := k.result.Response
	const longest = 4 << 10
	text, _ := io.ReadAll(io.LimitReader(response.Body, longest)) // a cut text is as good as none
	rest := response.Body
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(text), rest), rest}
	return reasonOf(response, text)
}
