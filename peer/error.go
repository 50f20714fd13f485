package peer

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// errorClass is the class of errors inside this package. The methods of Node that send requests return *Error.
var errorClass = errs.Class("peer")

// ErrorKind says how far a request got.
type ErrorKind uint8

// Kinds of errors.
const (
	// NotSent means that no byte of the request was sent to the peer, so the request certainly did not run.
	NotSent ErrorKind = iota
	// NotRun means that the peer has rejected the request before it called its handler.
	NotRun
	// NoResponse means that the peer may have received bytes of the request, and that no response arrived.
	NoResponse
	// Truncated means that a response began and was not completed.
	Truncated
	// BodyFailed means that reading the body of the request failed, so the request was aborted.
	BodyFailed
)

func (k ErrorKind) String() string {
	switch k {
	case NotSent:
		return "not sent"
	case NotRun:
		return "not run"
	case NoResponse:
		return "sent"
	case Truncated:
		return "answer truncated"
	case BodyFailed:
		return "request body failed"
	}
	return "unknown"
}

// Error is returned by the requests of a Node and by Response.Body.
type Error struct {
	Kind ErrorKind
	Peer fleet.EntryID
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WasNotSent reports whether err proves that no byte of the request reached the peer's handler. The body may have
// been read.
func WasNotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == NotSent || e.Kind == NotRun)
}

// provesNotRun reports whether err, which ended a stream, proves that the peer has not called its handler.
func provesNotRun(err error) bool {
	var reset *quic.StreamError
	if errors.As(err, &reset) {
		return reset.Remote && reset.ErrorCode == codeStopping
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) {
		return closed.Remote && closed.ErrorCode == codeDrained
	}
	// A listener refuses only connections that it has not passed on. The sender may take one for open by then.
	var refused *quic.TransportError
	return errors.As(err, &refused) && refused.Remote && refused.ErrorCode == quic.ConnectionRefused
}

// Codes of stream resets.
const (
	codeCanceled quic.StreamErrorCode = iota + 1
	codeResponded
	codeBodyFailed
	codeProtocol
	// codeStopping says that the handler is not called for the request of this stream.
	codeStopping
	// codeStalled says that the response is truncated because its caller did not read it.
	codeStalled
)

// Codes of connection closes.
const (
	codeClosing quic.ApplicationErrorCode = iota + 1
	codeRejected
	codeSuperseded
	// codeDrained says that the end that closes the connection has called no handler for those requests whose senders
	// still wait for a response on it.
	codeDrained
)
