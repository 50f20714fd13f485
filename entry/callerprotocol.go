package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
)

// CallerProtocol is how callers speak to an entry.
type CallerProtocol struct {
	// DeadlineHeader names the header field with the remaining time in whole milliseconds.
	DeadlineHeader string
	// RequestIDHeader names the header field with the caller's own id of each attempt; empty means none.
	RequestIDHeader string
	// RetriesOnlyNotRun says that callers send a non-idempotent request again only if they were told that it
	// did not run, or saw that it was not read. Run ids are then not needed.
	RetriesOnlyNotRun bool
	// FractionalRetryAfter says that callers read fractions of seconds in Retry-After.
	FractionalRetryAfter bool
	// NotRunStatus replaces the statuses of refusals that promise that a proper request did not run; 0 keeps
	// them.
	NotRunStatus int
}

// DefaultCallerProtocol is the dialect of bilberrywood's own header fields.
var DefaultCallerProtocol = CallerProtocol{DeadlineHeader: headerDeadline}

func (e *Entry) callerProtocol() *CallerProtocol {
	if e.CallerProtocol == nil {
		return &DefaultCallerProtocol
	}
	return e.CallerProtocol
}

// Advice for callers whose refusal has none of its own: long enough for a slot to become free, and spread
// so that the callers do not return together.
const (
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// adapt changes the form of a refusal to what the callers understand. It does not change its outcome.
func (p *CallerProtocol) adapt(refused *refusal) {
	refused.fractionalRetryAfter = p.FractionalRetryAfter
	if p.NotRunStatus == 0 {
		return
	}
	switch {
	case refused.outcome != notice.OutcomeNotRun:
		if refused.status == http.StatusServiceUnavailable {
			refused.status = http.StatusBadGateway
		}
	case refused.status >= http.StatusInternalServerError:
		refused.status = p.NotRunStatus
		if refused.retryAfter == 0 {
			refused.retryAfter = minRetryAfter + rand.N(retryAfterJitter)
		}
	}
}
