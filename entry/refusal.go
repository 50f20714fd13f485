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
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// Headers that the entry, callers and targets exchange.
const (
	headerID       = "Bilberrywood-Id"
	headerOutcome  = "Bilberrywood-Outcome"
	headerReason   = "Bilberrywood-Reason"
	headerDeadline = "Bilberrywood-Deadline-Ms"
	headerAccount  = "Bilberrywood-Account"
	headerEntry    = "Bilberrywood-Entry"
)

// Reasons of refusals that the entry itself decides.
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
)

// refusal is an answer that does not come from a target. Its outcome is truthful: notRunRefusal only if
// no byte of the request reached a target and no copy of its id can run later.
type refusal struct {
	status     int
	outcome    string
	reason     pool.Reason
	detail     string
	retryAfter time.Duration
	// fractionalRetryAfter says that the caller reads fractions of seconds.
	fractionalRetryAfter bool
}

// refusalStatus gives the HTTP status for refusals of a cell; others are 503.
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

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome      string      `json:"outcome"`
	Reason       pool.Reason `json:"reason"`
	Detail       string      `json:"detail,omitempty"`
	RetryAfterMs int64       `json:"retryAfterMs,omitempty"`
}

// retryAfterText returns the advice in seconds, rounded up to what the caller reads.
func (r *refusal) retryAfterText() string {
	if r.fractionalRetryAfter {
		return strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((r.retryAfter + time.Second - 1) / time.Second))
}

// write sends the refusal as the answer.
func (r *refusal) write(entry string, w peer.ResponseWriter) error {
	body, err := json.Marshal(refusalBody{r.outcome, r.reason, r.detail, r.retryAfter.Milliseconds()})
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
	if err := w.WriteHeader(peer.ResponseHeader{Status: r.status, Header: h, ContentLength: int64(len(body))}); err != nil {
		return Error.Wrap(err)
	}
	if _, err := w.Write(body); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(w.Finish(nil))
}
