package caller

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("caller")

// Header fields between callers and entries.
const (
	// HeaderOutcome states whether the request was run: run, notRun or unknown.
	HeaderOutcome = "Bilberrywood-Outcome"
	// HeaderAccount names the caller's account; the token of the account is in the Authorization field.
	HeaderAccount = "Bilberrywood-Account"
)

// Outcome states whether a request was run.
type Outcome string

// Outcomes.
const (
	// OutcomeRun means that the target ran the request and the response is its own.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the request is known not to have run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run. It may be retried with the same ID.
	OutcomeUnknown Outcome = "unknown"
)

// ParseOutcome returns the outcome that a response header states. A header without a valid outcome
// counts as unknown, because it may come from something else than an entry.
func ParseOutcome(h http.Header) Outcome {
	values := h[HeaderOutcome]
	if len(values) != 1 {
		return OutcomeUnknown
	}
	switch o := Outcome(values[0]); o {
	case OutcomeRun, OutcomeNotRun, OutcomeUnknown:
		return o
	}
	return OutcomeUnknown
}

// Result is the final result of a request.
type Result struct {
	Outcome Outcome
	// Response is the last response; nil if there was none. It is the target's own if Outcome is
	// OutcomeRun. Its body must be closed, and returns io.EOF only if it is complete.
	Response *http.Response
	// Reason explains why the request was not run or why that is unknown.
	Reason string
	// RetryAfter is the Retry-After delay of the entry with OutcomeNotRun; 0 means none.
	RetryAfter time.Duration
	// ID is the last request ID of a non-idempotent request, for a retry after OutcomeUnknown.
	ID string
	// Attempts lists the attempts in order.
	Attempts []Attempt
}

// Attempt is one attempt of a request at one entry.
type Attempt struct {
	Address string  `json:"address"`
	ID      string  `json:"id,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Status is 0 if there was no response; Error then holds the reason.
	Status     int     `json:"status,omitempty"`
	Error      string  `json:"error,omitempty"`
	DurationMs float64 `json:"ms"`
}

// permanent reports whether a refusal with this status would be repeated.
func permanent(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// reasonText returns the first line of a refusal, or the status if there is none.
func reasonText(r *http.Response, body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	const maxLength = 300
	if text := strings.TrimSpace(string(line[:min(len(line), maxLength)])); text != "" {
		return text
	}
	return r.Status
}

func asRefusalError(err error) (*refusalError, bool) {
	var r *refusalError
	ok := errors.As(err, &r)
	return r, ok
}
