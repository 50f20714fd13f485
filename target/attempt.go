package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// attempt is the state of one call of Do, until its response has been read.
type attempt struct {
	client   *Client
	ctx      context.Context
	request  *Request
	deadline time.Time

	conn *conn
	// stopContextWatch stops closing conn at the end of ctx. It returns false if ctx has ended.
	stopContextWatch func() bool
	// writer streams the request body; nil if the body was written with the header.
	writer *bodyWriter
	// buffered is the request body if it is written with the header, else nil.
	buffered *bytes.Buffer
	// monitor detects a broken path during a large request; nil for a small one.
	monitor *pathMonitor
	// writtenOnPrevious reports that bytes were written to a connection that was replaced later.
	writtenOnPrevious bool
	// firstWriteAt is when the first byte was written to conn.
	firstWriteAt time.Time
	firstByteAt  time.Time
	reconnected  bool
}

// run sends the request and reads the response header.
func (a *attempt) run() (*Response, error) {
	if err := a.connect(); err != nil {
		return nil, err
	}
	if err := a.sendRequest(); err != nil {
		return nil, err
	}
	httpResponse, err := a.awaitResponse()
	if err != nil {
		return nil, a.classifyError(err)
	}
	response := newResponse(a.client.Protocol, httpResponse)
	response.SilentConnection = a.reconnected
	response.Reused = a.conn.used
	response.ServiceTime = a.firstByteAt.Sub(a.firstWriteAt)
	response.TimeAfterBody = a.timeAfterBody()
	body := &responseBody{attempt: a, response: response, httpResponse: httpResponse}
	response.Body = body
	if httpResponse.Body == http.NoBody && !a.sendingBody() {
		body.complete()
	}
	return response, nil
}

// timeAfterBody returns the time from the end of a streamed request body to the first byte of the response.
func (a *attempt) timeAfterBody() time.Duration {
	if a.writer == nil {
		return 0
	}
	endedAt := a.writer.endedAt.Load()
	if endedAt == 0 {
		return 0
	}
	return max(0, a.firstByteAt.Sub(time.Unix(0, endedAt)))
}

// connect takes an idle connection or dials a new one.
func (a *attempt) connect() error {
	c, err := a.client.conns.get(a.request)
	if err != nil {
		return notStarted(err)
	}
	if c == nil {
		if c, err = a.dial(); err != nil {
			return a.dialError(err)
		}
	}
	a.attach(c)
	return nil
}

func (a *attempt) dial() (*conn, error) {
	ctx := a.ctx
	if !a.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.deadline)
		defer cancel()
	}
	return a.client.conns.dial(ctx, a.request.Address)
}

func (a *attempt) dialError(cause error) error {
	e := &AttemptError{Kind: pool.OutcomeConnectFailed, Cause: cause, Written: a.writtenOnPrevious}
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		e.Kind = pool.OutcomeCanceled
	case a.deadlinePassed():
		e.Kind = pool.OutcomeTimeout
	}
	return e
}

// deadlinePassed reports whether the deadline has passed.
func (a *attempt) deadlinePassed() bool {
	return !a.deadline.IsZero() && !time.Now().Before(a.deadline)
}

// attach makes c the connection of the attempt and applies ctx and the deadline to it.
func (a *attempt) attach(c *conn) {
	a.conn = c
	c.prepare(a.client.MaxResponseHeaderBytes)
	_ = c.SetDeadline(a.deadline) // fails only on a closed connection, which the next write reports
	a.stopContextWatch = context.AfterFunc(a.ctx, func() { c.Close() })
}

// sendRequest calls BeforeWrite and writes the header, together with the body if it is buffered.
// Otherwise it starts to stream the body.
func (a *attempt) sendRequest() error {
	if err := a.bufferBody(); err != nil {
		return a.abortUnwritten(err)
	}
	if a.request.BeforeWrite != nil {
		if err := a.request.BeforeWrite(); err != nil {
			return a.abortUnwritten(err)
		}
	}
	if a.deadlinePassed() {
		return a.abortUnwritten(ErrDeadline)
	}
	streamed := a.request.hasBody() && a.buffered == nil
	large := streamed || a.buffered != nil && a.buffered.Len() > maxUnmonitoredBytes
	if large && !a.client.noPathMonitor {
		var err error
		if a.monitor, err = monitorPath(a.conn, a.client.TCPUserTimeout); err != nil {
			return a.abortUnwritten(err)
		}
	}
	if err := a.writeRequestHeader(); err != nil {
		return a.classifyError(err)
	}
	if streamed {
		a.writer = &bodyWriter{conn: a.conn, protocol: a.client.Protocol, request: a.request, done: make(chan struct{})}
		a.client.active.Go(a.writer.run)
	}
	return nil
}

// bufferBody buffers a small body that is in memory, so that it is sent in one write and can be
// sent again.
func (a *attempt) bufferBody() error {
	r := a.request
	if !r.hasBody() || r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return nil
	}
	switch r.Body.(type) {
	case *bytes.Reader, *bytes.Buffer, *strings.Reader:
	default:
		return nil
	}
	a.buffered = bufferPool.Get().(*bytes.Buffer)
	a.buffered.Reset()
	if _, err := io.CopyN(a.buffered, r.Body, r.ContentLength); err != nil {
		return ErrRequestBody
	}
	return nil
}

// writeRequestHeader writes the header and the buffered body in one write.
func (a *attempt) writeRequestHeader() error {
	header := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(header)
	header.Reset()
	a.firstWriteAt = time.Now()
	appendRequestHeader(header, a.client.Protocol, a.request, a.deadline, a.firstWriteAt)
	var body []byte
	if a.buffered != nil {
		body = a.buffered.Bytes()
	}
	return a.conn.writeHeaderAndBody(header.Bytes(), body)
}

// abortUnwritten ends an attempt that has written nothing to its connection.
func (a *attempt) abortUnwritten(cause error) error {
	e := notStarted(cause)
	c := a.conn
	a.conn = nil
	if !a.stopContextWatch() || c.SetDeadline(time.Time{}) != nil {
		a.client.conns.discard(a.request.Address, c)
		return e
	}
	a.client.conns.put(a.request.Address, c)
	return e
}

// awaitResponse reads the response header. It may reconnect if a reused connection stays silent.
func (a *attempt) awaitResponse() (*http.Response, error) {
	if a.mayReconnect() {
		if err := a.awaitFirstByte(); err != nil {
			return nil, err
		}
	}
	if _, err := a.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	a.firstByteAt = a.conn.lastReadAt
	if a.reconnected {
		// Connections as old as the silent one may be silent as well.
		a.client.conns.closeIdle(a.request.Address)
	}
	return a.readFinalResponse()
}

// maxStaleResponses is how many complete responses to earlier requests are discarded before the
// connection is closed.
const maxStaleResponses = 2

// readFinalResponse returns the header of the final response. It skips informational responses and
// late responses to earlier requests on the connection.
func (a *attempt) readFinalResponse() (*http.Response, error) {
	for stale := 0; ; {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.request.Method})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		switch {
		case !properStatus(response):
			return nil, ErrStatus
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrSwitchingProtocols
		case response.StatusCode < http.StatusOK:
			continue
		case a.misdelivered(response.Header):
			if stale++; stale > maxStaleResponses || unframed(response) || response.Close {
				return nil, ErrMisdelivered
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, ErrMisdelivered
			}
			continue
		case a.unattributable(response.Header):
			return nil, ErrUnverified
		case unframed(response) && !a.client.Protocol.CloseDelimited:
			return nil, ErrUnframed
		case a.client.Protocol.Classify(response.StatusCode, response.Header) == ClassUnverified:
			return nil, ErrUnverified
		}
		a.conn.headerBytesLeft = -1
		return response, nil
	}
}

// maxStatus is the highest status of RFC 9110.
const maxStatus = 599

// properStatus reports whether the status is one of RFC 9110 and, if it is informational, the header announces no body.
// net/http takes each status of three bytes that strconv.Atoi reads, "+20" and "000" as well.
func properStatus(r *http.Response) bool {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus {
		return false
	}
	length := r.Header.Get("Content-Length")
	return r.StatusCode >= http.StatusOK || (length == "" || length == "0") && len(r.TransferEncoding) == 0
}

// misdelivered reports whether the target echoed the nonce of another request. A late response may
// arrive between the check for unread bytes and the write; HTTP/1.1 has no other means to detect it.
func (a *attempt) misdelivered(response http.Header) bool {
	nonce := a.client.Protocol.NonceHeader
	sent, echoed := a.request.Header.Get(nonce), response.Get(nonce)
	return sent != "" && echoed != "" && sent != echoed && !a.client.conns.trustIdle
}

// unattributable reports whether the response may belong to an earlier request on the connection although it does not
// say so. What it says about having run the request would then be wrong.
func (a *attempt) unattributable(response http.Header) bool {
	p := a.client.Protocol
	return p.AlwaysEchoed && a.conn.used && a.request.Header.Get(p.NonceHeader) != "" && response.Get(p.NonceHeader) == ""
}

// unframed reports whether only the end of the connection would end the response body.
func unframed(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// classifyError converts an error on the connection to the error of the attempt. It does not close
// the connection; release does.
func (a *attempt) classifyError(cause error) *AttemptError {
	e := &AttemptError{
		Kind:    pool.OutcomeTruncated,
		Written: a.writtenOnPrevious || a.conn.written.Load(),
		Reused:  a.conn.used,
		Resent:  a.reconnected,
		Cause:   Error.Wrap(cause),
	}
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		e.Kind = pool.OutcomeCanceled
		e.Cause = Error.Wrap(context.Cause(a.ctx))
	case a.deadlinePassed() || errors.Is(cause, os.ErrDeadlineExceeded) || a.ctx.Err() != nil:
		e.Kind = pool.OutcomeTimeout
	case errors.Is(cause, ErrNotMoved):
		e.Kind = pool.OutcomeConnectionSilent
	case a.writer != nil && a.writer.bodyFailed.Load():
		e.Kind = pool.OutcomeCanceled
		e.Cause = ErrRequestBody
	case a.conn.receivedBytes == 0:
		e.Kind = pool.OutcomeConnectionLost
	}
	return e
}

// release returns the connection to the idle ones or closes it. After closing it, release stops the
// body writer and waits for it, if Request.StopBody is set. It is called once.
func (a *attempt) release(reusable bool) {
	defer a.client.active.Done()
	if a.buffered != nil {
		bufferPool.Put(a.buffered)
		a.buffered = nil
	}
	if a.conn == nil {
		return
	}
	c := a.conn
	contextLive := a.stopContextWatch()
	if a.monitor != nil && a.monitor.stop() != nil {
		reusable = false
	}
	if reusable && contextLive && c.SetDeadline(time.Time{}) == nil {
		c.used = true
		a.client.conns.put(a.request.Address, c)
		return
	}
	a.client.conns.discard(a.request.Address, c)
	if a.writer != nil && a.request.StopBody != nil {
		a.writer.stop()
	}
}

func asAttemptError(err error) (*AttemptError, bool) {
	var e *AttemptError
	ok := errors.As(err, &e)
	return e, ok
}
