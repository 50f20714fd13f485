package target

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Request is one request to one target. Do does not modify it.
type Request struct {
	// Address is an IP address with a port.
	Address string
	Method  string
	// Path is the path with the query, as it stands in the request line.
	Path string
	Host string
	// Header may contain hop-by-hop fields; they are not sent. If it has the protocol's nonce, an answer
	// that echoes another one is refused.
	Header http.Header
	// Instance names the target for protocols that send it.
	Instance string
	// Body is nil if there is none. It is read until Do returns an error or the answer's body is
	// closed.
	Body io.Reader
	// ContentLength is the length of Body in bytes, or -1 if it isn't known.
	ContentLength int64
	// Trailer has the announced keys from the start and its values when Body has ended. It is sent
	// only if ContentLength is -1.
	Trailer http.Header
	// Idempotent says that a second run does no harm.
	Idempotent bool
	// Deadline is the latest useful time of the answer's end; zero means none.
	Deadline time.Time
	// SilenceTimeout is how long a reused connection may show no byte of the answer before an
	// idempotent request moves to a new connection. 0 means that it never moves. A request with a
	// body moves only if Body is held in memory and has at most 32 KiB (see maxUnwatched).
	SilenceTimeout time.Duration
	// BeforeWrite is called when a connection is at hand, right before the first byte is written;
	// its error ends the attempt as not started. It may be nil.
	BeforeWrite func() error
	// StopBody makes a pending and every later Read of Body return. If it is set, Body is
	// certainly not read any more when Do has returned an error or the answer's body is closed.
	StopBody func()
}

// check returns an error if the request line could not be written without changing its meaning.
func (r *Request) check() error {
	if r.Method == "" || strings.ContainsFunc(r.Method, notToken) {
		return Error.New("method %q is not a token", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") && r.Path != "*" {
		return Error.New("path %q does not start with a slash", r.Path)
	}
	if strings.ContainsFunc(r.Path, notVisible) || strings.ContainsFunc(r.Host, notVisible) {
		return Error.New("path %q or host %q has a space or a control character", r.Path, r.Host)
	}
	if r.Body == nil && r.ContentLength > 0 {
		return Error.New("content length %d without a body", r.ContentLength)
	}
	return nil
}

func notToken(c rune) bool {
	return notVisible(c) || c > '~' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
}

func notVisible(c rune) bool { return c <= ' ' || c == 0x7f }

func (r *Request) hasBody() bool { return r.Body != nil && r.ContentLength != 0 }

// Response is a target's answer. Its body must be read to its end or closed.
type Response struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// ContentLength is -1 if it isn't known.
	ContentLength int64
	// Body returns io.EOF only if the answer is whole; every other end is an *AttemptError. Close
	// before that closes the connection, which tells the target that the answer isn't wanted.
	// Read and Close are not called at the same time; to stop a Read, end the context.
	Body io.ReadCloser
	// Trailer has its values after Body returned io.EOF.
	Trailer http.Header
	// Shed says that the target refused the request before it ran it.
	Shed bool
	// Misdirected says that it was refused because the address belongs to another target now.
	Misdirected bool
	// RetryAfter is the target's advice; 0 means none.
	RetryAfter time.Duration
	// Draining says that the target announced that it is leaving.
	Draining bool
	// SilentConnection says that the request moved off a connection that showed no byte, and that
	// a new connection to the same target answered.
	SilentConnection bool
	// Reused says that the connection had served another request.
	Reused bool
	// TimeAfterBody is the time from the last byte of a streamed request body to the answer's first
	// byte; 0 if the body was not streamed or the answer came first.
	TimeAfterBody time.Duration
	// ServiceTime is the time from the first byte written on the connection that answered to the
	// answer's first byte.
	ServiceTime time.Duration
}

// Outcome returns the report of an answer that was read whole.
func (a *Response) Outcome() pool.Outcome {
	o := pool.Outcome{
		Kind:          pool.OutcomeSuccess,
		Written:       true,
		ServiceTime:   a.ServiceTime,
		TimeAfterBody: a.TimeAfterBody,
		RetryAfter:    a.RetryAfter,
		Draining:      a.Draining,
		NewConnection: !a.Reused,
	}
	switch {
	case a.Misdirected:
		o.Kind = pool.OutcomeMisdirected
	case a.Shed:
		o.Kind = pool.OutcomeShed
	case a.Status >= http.StatusInternalServerError:
		o.Kind = pool.OutcomeFailed
	}
	return o
}
