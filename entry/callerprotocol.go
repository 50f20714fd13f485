package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/table"
)

// CallerProtocol describes the header fields and retry conventions of callers.
type CallerProtocol struct {
	// DeadlineHeader is the header field with the remaining time in whole milliseconds.
	DeadlineHeader string
	// RequestIDHeader is the header field with the caller's own ID of each attempt; empty means none.
	RequestIDHeader string
	// RetriesOnlyNotRun is true if callers retry a non-idempotent request only after a response that says it
	// did not run, or if they saw that it was not read. Request IDs bound to an entry are then not needed.
	RetriesOnlyNotRun bool
	// TokenScheme is the scheme of the Authorization field that carries the token of an account; empty means Bearer.
	TokenScheme string
	// WithholdsTokens means that tokens and the field with the account go no further than the entry also where the tables
	// in force identify no accounts by tokens: they may be older than the callers' tokens.
	WithholdsTokens bool
	// Paths is how the paths of requests are compared with the prefixes of routes.
	Paths table.PathMatching
	// FractionalRetryAfter is true if callers accept fractions of seconds in Retry-After.
	FractionalRetryAfter bool
	// NotRunStatus, unless it is 0, is the status of every refusal that has the outcome notRun and would
	// otherwise get a 5xx status. Refusals with another outcome then get 502 instead of 503.
	NotRunStatus int
}

// DefaultCallerProtocol is the protocol with bilberrywood's own header fields.
var DefaultCallerProtocol = CallerProtocol{DeadlineHeader: headerDeadline}

func (e *Entry) callerProtocol() *CallerProtocol {
	if e.CallerProtocol == nil {
		return &DefaultCallerProtocol
	}
	return e.CallerProtocol
}

// Retry-After delay of refusals that have none of their own. The minimum is long enough for a slot to become
// free, and the jitter spreads the retries.
const (
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// adapt changes the form of a refusal to what the callers understand. It does not change the outcome.
func (p *CallerProtocol) adapt(refused *refusal) {
	refused.fractionalRetryAfter = p.FractionalRetryAfter
	refused.challenge = p.tokenScheme()
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
