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
	// HeaderOutcome says whether the request was run: run, notRun or unknown.
	HeaderOutcome = "Bilberrywood-Outcome"
	// HeaderAccount names the caller's account; its token is in the Authorization field.
	HeaderAccount = "Bilberrywood-Account"
)

// Outcome says whether a request was run.
type Outcome string

// Outcomes.
const (
	// OutcomeRun means that the answer is the target's own.
	OutcomeRun Outcome = "run"
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the request may have run. It may be sent again with the same id.
	OutcomeUnknown Outcome = "unknown"
)

// ParseOutcome returns the outcome that an answer names. An answer without a valid field counts as
// unknown, because it may come from something else than an entry.
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

// Result is the typed end of a request.
type Result struct {
	Outcome Outcome
	// Response is the last answer; nil if there was none. It is the target's own if Outcome is
	// OutcomeRun. Its body must be closed, and returns io.EOF only if it is whole.
	Response *http.Response
	// Reason says in words why the request was not run or why that isn't known.
	Reason string
	// RetryAfter is the entry's advice with OutcomeNotRun; 0 means none.
	RetryAfter time.Duration
	// ID is the last run id of a non-idempotent request, for sending it again after
	// OutcomeUnknown.
	ID string
	// Attempts lists where the request went, in order.
	Attempts []Attempt
}

// Attempt is one sending of a request to one entry.
type Attempt struct {
	Address string  `json:"address"`
	ID      string  `json:"id,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Status is 0 if there was no answer; Error then says why.
	Status     int     `json:"status,omitempty"`
	Error      string  `json:"error,omitempty"`
	DurationMs float64 `json:"ms"`
}

// lasting says that a refusal with this status would be repeated.
func lasting(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// reasonOf returns the first line of a refusal.
func reasonOf(r *http.Response, body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	const longest = 300
	if text := strings.TrimSpace(string(line[:min(len(line), longest)])); text != "" {
		return text
	}
	return r.Status
}

func asRefusal(err error) (*refusal, bool) {
	var r *refusal
	ok := errors.As(err, &r)
	return r, ok
}
