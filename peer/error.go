package peer

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// errorClass is the class of errors inside this package; callers of a Node get *Error.
var errorClass = errs.Class("peer")

// ErrorKind says how far a request got.
type ErrorKind uint8

// Kinds of errors.
const (
	// NotSent means that no byte of the request left for the peer, so it was certainly not run.
	NotSent ErrorKind = iota
	// NoResponse means that bytes of the request may have reached the peer and no answer came.
	NoResponse
	// Truncated means that an answer began and did not end properly.
	Truncated
	// BodyFailed means that reading the request's own body failed, so the request was reset.
	BodyFailed
)

func (k ErrorKind) String() string {
	switch k {
	case NotSent:
		return "not sent"
	case NoResponse:
		return "sent"
	case Truncated:
		return "answer truncated"
	case BodyFailed:
		return "request body failed"
	}
	return "unknown"
}

// Error is returned by the requests of a Node and by Answer.Body.
type Error struct {
	Kind ErrorKind
	Peer fleet.EntryID
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WasNotSent reports whether err proves that no byte of the request left.
func WasNotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == NotSent
}

// Codes of reset streams and closed connections.
const (
	codeCancelled quic.StreamErrorCode = iota + 1
	codeAnswered
	codeBodyFailed
	codeProtocol
	codeStopping
)

const (
	codeClosing quic.ApplicationErrorCode = iota + 1
	codeRefused
	codeSuperseded
)
