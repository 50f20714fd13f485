package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/target"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Header fields between entries, callers and targets.
const (
	headerID       = "Bilberrywood-Id"
	headerOutcome  = "Bilberrywood-Outcome"
	headerReason   = "Bilberrywood-Reason"
	headerDeadline = "Bilberrywood-Deadline-Ms"
	headerAccount  = target.HeaderAccount
	headerEntry    = "Bilberrywood-Entry"
)

// Reasons of refusals by the entry itself, and of sending a stored response again.
const (
	reasonBadRequest            pool.Reason = "badRequest"
	reasonNoTables              pool.Reason = "noTablesInForce"
	reasonBodyTooLarge          pool.Reason = "bodyTooLarge"
	reasonIDRequired            pool.Reason = "idNeeded"
	reasonIDNotAdmitted         pool.Reason = "idNotAdmitted"
	reasonIDExpired             pool.Reason = "idOlderThanMemory"
	reasonIDConflict            pool.Reason = "idUsedWithOtherContent"
	reasonStoredResponse        pool.Reason = "answerKept"
	reasonResponseNotStored     pool.Reason = "answerNotKept"
	reasonBoundEntryUnreachable pool.Reason = "boundEntryUnreachable"
	reasonOutcomeLost           pool.Reason = "outcomeLost"
	reasonDeadlinePassed        pool.Reason = "deadlinePassed"
	reasonOwnerUnreachable      pool.Reason = "ownerUnreachable"
	reasonCallerGone            pool.Reason = "callerGone"
	reasonCellClosed            pool.Reason = "cellClosed"
	reasonLeaving               pool.Reason = "leaving"
)

// refusal is a response that does not come from a target. Its outcome is notRun only if no byte of the request
// reached a target and no copy with the same ID can run later.
type refusal struct {
	status     int
	outcome    string
	reason     pool.Reason
	detail     string
	retryAfter time.Duration
	// fractionalRetryAfter means that the caller accepts fractions of seconds.
	fractionalRetryAfter bool
	// challenge is the scheme by which callers authenticate themselves (RFC 9110, section 15.5.2).
	challenge string
	// queue is the state of the queue of the cell that refused the request; zero for other refusals.
	queue pool.QueueState
}

// refusalStatus has the HTTP status of refusals by a cell; others get 503.
var refusalStatus = map[pool.Reason]int{
	reasonDeadlinePassed: http.StatusGatewayTimeout,
	pool.ReasonDeadline:  http.StatusGatewayTimeout,
}

func notRunRefusal(status int, reason pool.Reason, detail string) *refusal {
	return &refusal{status: status, outcome: notice.OutcomeNotRun, reason: reason, detail: detail}
}

func unknownRefusal(reason pool.Reason, detail string) *refusal {
	return &refusal{status: http.StatusBadGateway, outcome: notice.OutcomeUnknown, reason: reason, detail: detail}
}

// attributeToCaller gives a refusal of a request that was canceled because its caller has left that reason. The cancellation
// looks like a passed deadline or a failed attempt to what it ends. A caller that has only ended its sending direction
// reads the refusal.
func (r *refusal) attributeToCaller() {
	if r.status < http.StatusInternalServerError || r.reason == reasonMemoryShort {
		// The entry itself has ended the reading of a request that was evicted.
		return
	}
	r.reason = reasonCallerGone
	if r.outcome == notice.OutcomeNotRun {
		r.status = http.StatusServiceUnavailable
	} else {
		r.status = http.StatusBadGateway
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome      string      `json:"outcome"`
	Reason       pool.Reason `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMs int64       `json:"retryAfterMs,omitempty"`
}

// retryAfterText returns the Retry-After delay in seconds, rounded up to whole seconds unless the caller
// accepts fractions.
func (r *refusal) retryAfterText() string {
	if r.fractionalRetryAfter {
		return strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((r.retryAfter + time.Second - 1) / time.Second))
}

// write sends the refusal as the response.
func (r *refusal) write(entry string, w peer.ResponseWriter) error {
	body, err := json.Marshal(refusalBody{r.outcome, r.reason, loggedText(r.detail, maxLoggedDetail), r.retryAfter.Milliseconds()})
	if err != nil {
		return Error.Wrap(err)
	}
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, r.outcome)
	h.Set(headerReason, string(r.reason))
	h.Set(headerEntry, entry)
	if r.retryAfter > 0 {
		h.Set("Retry-After", r.retryAfterText())
	}
	if r.status == http.StatusUnauthorized && r.challenge != "" {
		h.Set("WWW-Authenticate", r.challenge)
	}
	if err := w.WriteHeader(peer.ResponseHeader{Status: r.status, Header: h, ContentLength: int64(len(body))}); err != nil {
		return Error.Wrap(err)
	}
	if _, err := w.Write(body); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(w.Finish(nil))
}
