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
	// Path is the path with the query, as written in the request line.
	Path string
	Host string
	// Header may contain hop-by-hop fields; they are not sent. If it contains the nonce field of
	// the protocol, a response that echoes another nonce is refused.
	Header http.Header
	// Instance is the name of the target, for protocols with an InstanceHeader.
	Instance string
	// Body is nil if there is none. It is read until Do returns an error or the response body is closed.
	Body io.Reader
	// ContentLength is the length of Body in bytes, or -1 if unknown.
	ContentLength int64
	// Trailer holds the announced keys from the start, and the values once Body has ended. It is
	// sent only if ContentLength is -1.
	Trailer http.Header
	// Idempotent reports that running the request twice does no harm.
	Idempotent bool
	// NewConnection asks for a connection that has served no request. A response to an earlier attempt of
	// the same request has its nonce, and only the connection tells it from the response to this one.
	NewConnection bool
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	// SilenceTimeout is how long an idempotent request waits for the first byte of the response on
	// a reused connection before it moves to a new connection; 0 means that it never moves. A
	// request with a body moves only if Body is in memory and has at most 32 KiB (see
	// maxUnmonitoredBytes).
	SilenceTimeout time.Duration
	// BeforeWrite, if not nil, is called when the request has a connection, right before the first
	// byte is written. If it returns an error, the attempt ends as not started. It is called again
	// before the request moves from a silent connection to a new one, which an error prevents; the
	// attempt then ends with pool.OutcomeConnectionSilent.
	BeforeWrite func() error
	// StopBody unblocks a pending Read of Body and fails every later one. If it is set, Body is not
	// read any more once Do has returned an error or the response body is closed.
	StopBody func()
}

// check returns an error if writing the request line would change its meaning.
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

// Response is a response of a target. Its body must be read to its end or closed.
type Response struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Body returns io.EOF only if the response is complete; every other end is an *AttemptError. An
	// earlier Close closes the connection, which tells the target that the response is not wanted.
	// Read and Close must not be called concurrently; cancel the context to end a Read.
	Body io.ReadCloser
	// Trailer holds its values once Body has returned io.EOF.
	Trailer http.Header
	// Shed reports that the target refused the request before running it.
	Shed bool
	// Misdirected reports that the request was refused because another target has taken over the address.
	Misdirected bool
	// RetryAfter is the Retry-After delay of the target; 0 means none.
	RetryAfter time.Duration
	// Draining reports that the target announced that it is draining.
	Draining bool
	// RateLimit is the rate limit that the target names. RateLimitErr is of class Error if the field could not be
	// read, else nil.
	RateLimit    pool.RateLimit
	RateLimitErr error
	// SilentConnection reports that the request moved from a silent connection to a new one, on
	// which the same target responded.
	SilentConnection bool
	// Reused reports that the connection had served an earlier request.
	Reused bool
	// TimeAfterBody is the time from the last byte of a streamed request body to the first byte of
	// the response; 0 if the body was not streamed or the response came first.
	TimeAfterBody time.Duration
	// ServiceTime is the time from the first byte written on the final connection to the first byte
	// of the response.
	ServiceTime time.Duration
}

// Outcome returns the outcome of a response that was read completely.
func (r *Response) Outcome() pool.Outcome {
	o := pool.Outcome{
		Kind:          pool.OutcomeSuccess,
		Written:       true,
		ServiceTime:   r.ServiceTime,
		TimeAfterBody: r.TimeAfterBody,
		Draining:      r.Draining,
		NewConnection: !r.Reused,
		Resent:        r.SilentConnection,
		RateLimit:     r.RateLimit,
	}
	if r.Shed || r.Status == http.StatusServiceUnavailable {
		o.RetryAfter = r.RetryAfter
	}
	switch {
	case r.Misdirected:
		o.Kind = pool.OutcomeMisdirected
	case r.Shed:
		o.Kind = pool.OutcomeShed
	case r.Status >= http.StatusInternalServerError:
		o.Kind = pool.OutcomeFailed
	}
	return o
}
