package target

import (
	"fmt"

	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Error is the class of all errors of this package.
var Error = errs.Class("target")

// Causes of an AttemptError, for use with errors.Is.
var (
	// ErrClosed means that the Client is closed.
	ErrClosed = Error.New("client is closed")
	// ErrConnectionLimit means that Client.MaxConnections connections to the target are in use.
	ErrConnectionLimit = Error.New("all connections to the target are in use")
	// ErrDeadline means that the deadline passed before the first byte was written.
	ErrDeadline = Error.New("deadline passed before the request was sent")
	// ErrRequestBody means that the request body could not be read to its end.
	ErrRequestBody = Error.New("request body ended early")
	// ErrUnframed means that the response has no length, so that its end can't be distinguished
	// from a lost connection.
	ErrUnframed = Error.New("response has neither a Content-Length nor chunked encoding")
	// ErrBrokenOff means that the connection was reset or lost before it ended a response without a length.
	ErrBrokenOff = Error.New("connection was broken off in a response without a length")
	// ErrStatus means that the response has no proper status, or an informational one and a body, so that what follows
	// belongs to no request.
	ErrStatus = Error.New("response has no proper status")
	// ErrHeaderTooLarge means that the response header exceeds Client.MaxResponseHeaderBytes.
	ErrHeaderTooLarge = Error.New("response header is too large")
	// ErrMisdelivered means that the response carries the nonce of another request.
	ErrMisdelivered = Error.New("response belongs to another request")
	// ErrUnverified means that the response may come from something else than the target, see
	// ClassUnverified.
	ErrUnverified = Error.New("response is not verified to come from the target")
	// ErrNotMoved means that the connection stayed silent, and that Request.BeforeWrite did not allow to send the
	// request on a new one.
	ErrNotMoved = Error.New("connection is silent and the request was not sent on a new one")
	// ErrSwitchingProtocols means that the target responded with status 101, which no request asks for.
	ErrSwitchingProtocols = Error.New("target switched protocols without being asked")
)

// AttemptError is the error of Client.Do and of reading the body of a Response.
type AttemptError struct {
	// Kind is the outcome that is reported to the pool.
	Kind pool.OutcomeKind
	// Written reports that a byte of the request may have reached the target. If it is false, the
	// target can't have run the request.
	Written bool
	// Reused reports that the connection had served an earlier request.
	Reused bool
	// Resent reports that the request was sent again on a new connection because the first one stayed silent.
	Resent bool
	// Cause is of class Error, or the error that Request.BeforeWrite returned.
	Cause error
}

// kindNames maps the kinds that an AttemptError can have to their texts.
var kindNames = map[pool.OutcomeKind]string{
	pool.OutcomeTruncated:        "answer truncated",
	pool.OutcomeConnectFailed:    "connection not opened",
	pool.OutcomeConnectionLost:   "connection lost",
	pool.OutcomeConnectionSilent: "connection silent",
	pool.OutcomeTimeout:          "deadline passed",
	pool.OutcomeCanceled:         "cancelled",
	pool.OutcomeNotStarted:       "not started",
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s (written: %t): %v", kindNames[e.Kind], e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Outcome returns the outcome of the attempt. The caller sets its service time.
func (e *AttemptError) Outcome() pool.Outcome {
	return pool.Outcome{Kind: e.Kind, Written: e.Written, NewConnection: !e.Reused, Resent: e.Resent}
}

// notStarted returns the error of an attempt that ended before its first byte was written.
func notStarted(cause error) *AttemptError {
	return &AttemptError{Kind: pool.OutcomeNotStarted, Cause: cause}
}
