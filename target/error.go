package target

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Error is the class of all errors of this package.
var Error = errs.Class("target")

// Causes of an AttemptError, found with errors.Is.
var (
	// ErrClosed says that the Client was closed.
	ErrClosed = Error.New("client is closed")
	// ErrConnectionLimit says that all connections that the target may get are in use.
	ErrConnectionLimit = Error.New("all connections to the target are in use")
	// ErrDeadline says that the deadline passed before the first byte was written.
	ErrDeadline = Error.New("deadline passed before the request was sent")
	// ErrRequestBody says that the request's body could not be read to its end.
	ErrRequestBody = Error.New("request body ended early")
	// ErrUnframed says that the answer has no length, so its end can't be told from a loss.
	ErrUnframed = Error.New("answer has neither a length nor chunks")
	// ErrHeaderTooLarge says that the answer's head exceeds Client.MaxResponseHeaderBytes.
	ErrHeaderTooLarge = Error.New("answer head is too large")
	// ErrMisdelivered says that the answer carries the nonce of another request.
	ErrMisdelivered = Error.New("answer belongs to another request")
	// ErrUnverified says that the answer does not come from the target's work.
	ErrUnverified = Error.New("answer does not come from the target")
	// ErrSwitchingProtocols says that the target tried to leave HTTP/1.1.
	ErrSwitchingProtocols = Error.New("target switched protocols unasked")
)

// AttemptError is the error of Client.Do and of reading an Answer's body.
type AttemptError struct {
	// OutcomeKind says which party is at fault, as the decisions see it.
	Kind pool.OutcomeKind
	// Written says that a byte of the request may have reached the target. If it is false, the
	// request was certainly not run.
	Written bool
	// Reused says that the attempt was made on a connection that had served another request.
	Reused bool
	// Cause is of class Error, or the error of the hook Request.BeforeWrite.
	Cause error
}

// kindNames are the texts of the kinds that an AttemptError has.
var kindNames = map[pool.OutcomeKind]string{
	pool.OutcomeTruncated:        "answer truncated",
	pool.OutcomeConnectFailed:    "connection not opened",
	pool.OutcomeConnectionLost:   "connection lost",
	pool.OutcomeConnectionSilent: "connection silent",
	pool.OutcomeTimeout:          "deadline passed",
	pool.OutcomeCancelled:        "cancelled",
	pool.OutcomeNotStarted:       "not started",
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s (written: %t): %v", kindNames[e.Kind], e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Outcome returns the report for the decisions; the service time is the caller's to add.
func (e *AttemptError) Outcome() pool.Outcome {
	return pool.Outcome{Kind: e.Kind, Written: e.Written, NewConnection: !e.Reused}
}

// notStarted is the error of an attempt that ended before its first byte was written.
func notStarted(cause error) *AttemptError {
	return &AttemptError{Kind: pool.OutcomeNotStarted, Cause: cause}
}
