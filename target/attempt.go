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

// attempt is one call of Do until its answer has been read.
type attempt struct {
	client   *Client
	ctx      context.Context
	request  *Request
	deadline time.Time

	conn *conn
	// unwatch ends the watch of ctx over conn; it returns false if ctx has ended.
	unwatch func() bool
	// writer streams the body; nil if the body was written with the head.
	writer *bodyWriter
	// held is the body if it is written with the head, else nil.
	held *bytes.Buffer
	// watch looks for a dead path under a large request; nil under a small one.
	watch *pathWatch
	// wroteBefore says that a connection that was given up had been written to.
	wroteBefore bool
	// firstWrite is when the first byte was written on conn.
	firstWrite time.Time
	firstByte  time.Time
	silent     bool
}

// run sends the request and reads the head of the answer.
func (a *attempt) run() (*Response, error) {
	if err := a.open(); err != nil {
		return nil, err
	}
	if err := a.start(); err != nil {
		return nil, err
	}
	response, err := a.head()
	if err != nil {
		return nil, a.fail(err)
	}
	answer := newAnswer(a.client.Protocol, response)
	answer.SilentConnection = a.silent
	answer.Reused = a.conn.used
	answer.ServiceTime = a.firstByte.Sub(a.firstWrite)
	answer.TimeAfterBody = a.afterBody()
	body := &answerBody{attempt: a, answer: answer, response: response}
	answer.Body = body
	if response.Body == http.NoBody {
		body.whole()
	}
	return answer, nil
}

// afterBody returns how long the answer took after the end of a streamed body.
func (a *attempt) afterBody() time.Duration {
	if a.writer == nil {
		return 0
	}
	ended := a.writer.ended.Load()
	if ended == 0 {
		return 0
	}
	return max(0, a.firstByte.Sub(time.Unix(0, ended)))
}

// open gets an idle connection or dials one.
func (a *attempt) open() error {
	c, err := a.client.store.take(a.request.Address, a.request.Idempotent)
	if err != nil {
		return notStarted(err)
	}
	if c == nil {
		if c, err = a.dial(); err != nil {
			return a.dialFailed(err)
		}
	}
	a.use(c)
	return nil
}

func (a *attempt) dial() (*conn, error) {
	ctx := a.ctx
	if !a.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.deadline)
		defer cancel()
	}
	return a.client.store.dial(ctx, a.request.Address)
}

func (a *attempt) dialFailed(cause error) error {
	e := &AttemptError{Kind: pool.OutcomeConnectFailed, Cause: cause, Written: a.wroteBefore}
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		e.Kind = pool.OutcomeCancelled
	case a.expired():
		e.Kind = pool.OutcomeTimeout
	}
	return e
}

// expired says whether the deadline has passed.
func (a *attempt) expired() bool {
	return !a.deadline.IsZero() && !time.Now().Before(a.deadline)
}

// use makes c the attempt's connection and ties it to ctx and the deadline.
func (a *attempt) use(c *conn) {
	a.conn = c
	c.begin(a.client.MaxResponseHeaderBytes)
	_ = c.SetDeadline(a.deadline) // fails only on a closed connection, which the next write reports
	a.unwatch = context.AfterFunc(a.ctx, func() { c.Close() })
}

// start calls the hook and writes the head, with the body if it is held in memory.
func (a *attempt) start() error {
	if err := a.hold(); err != nil {
		return a.giveBack(err)
	}
	if a.request.BeforeWrite != nil {
		if err := a.request.BeforeWrite(); err != nil {
			return a.giveBack(err)
		}
	}
	if a.expired() {
		return a.giveBack(ErrDeadline)
	}
	streamed := a.request.hasBody() && a.held == nil
	large := streamed || a.held != nil && a.held.Len() > maxUnwatched
	if large && !a.client.noPathWatch {
		var err error
		if a.watch, err = watchPath(a.conn, a.client.TCPUserTimeout); err != nil {
			return a.giveBack(err)
		}
	}
	if err := a.writeHead(); err != nil {
		return a.fail(err)
	}
	if streamed {
		a.writer = &bodyWriter{conn: a.conn, request: a.request, done: make(chan struct{})}
		a.client.active.Go(a.writer.run)
	}
	return nil
}

// hold reads a body that is in memory and small, so that it goes out in one write and can be written
// again.
func (a *attempt) hold() error {
	r := a.request
	if !r.hasBody() || r.ContentLength < 0 || r.ContentLength > maxHeld {
		return nil
	}
	switch r.Body.(type) {
	case *bytes.Reader, *bytes.Buffer, *strings.Reader:
	default:
		return nil
	}
	a.held = buffers.Get().(*bytes.Buffer)
	a.held.Reset()
	if _, err := io.CopyN(a.held, r.Body, r.ContentLength); err != nil {
		return ErrRequestBody
	}
	return nil
}

// writeHead writes the head and the held body in one write.
func (a *attempt) writeHead() error {
	head := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(head)
	head.Reset()
	a.firstWrite = time.Now()
	appendHead(head, a.client.Protocol, a.request, a.deadline, a.firstWrite)
	var body []byte
	if a.held != nil {
		body = a.held.Bytes()
	}
	return a.conn.writeBoth(head.Bytes(), body)
}

// giveBack ends an attempt whose connection is untouched.
func (a *attempt) giveBack(cause error) error {
	e := notStarted(cause)
	c := a.conn
	a.conn = nil
	if !a.unwatch() || c.SetDeadline(time.Time{}) != nil {
		a.client.store.drop(a.request.Address, c)
		return e
	}
	a.client.store.put(a.request.Address, c)
	return e
}

// head reads the head of the answer, on a new connection if a reused one stays silent.
func (a *attempt) head() (*http.Response, error) {
	if a.mayMove() {
		if err := a.awaitFirstByte(); err != nil {
			return nil, err
		}
	}
	if _, err := a.conn.reader.Peek(1); err != nil {
		return nil, err
	}
	a.firstByte = a.conn.lastByte
	if a.silent {
		// Connections that are as old as the silent one may have gone silent with it.
		a.client.store.dropIdle(a.request.Address)
	}
	return a.readHead()
}

// maxStray is how many whole answers to earlier requests are read away before a connection is given up.
const maxStray = 2

// readHead reads informational answers away, and late answers to earlier requests on the connection, and
// returns the final one.
func (a *attempt) readHead() (*http.Response, error) {
	for stray := 0; ; {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.request.Method})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, ErrSwitchingProtocols
		case response.StatusCode < http.StatusOK:
			continue
		case a.misdelivered(response.Header):
			if stray++; stray > maxStray || unframed(response) || response.Close {
				return nil, ErrMisdelivered
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, ErrMisdelivered
			}
			continue
		case unframed(response) && !a.client.Protocol.CloseDelimited:
			return nil, ErrUnframed
		case a.client.Protocol.Classify(response.StatusCode, response.Header) == ClassUnverified:
			return nil, ErrUnverified
		}
		a.conn.headLeft = -1
		return response, nil
	}
}

// misdelivered says that the target echoed another nonce than it was sent. HTTP/1.1 has no other means
// to notice a late answer that arrives between the look for late bytes and the write.
func (a *attempt) misdelivered(answer http.Header) bool {
	nonce := a.client.Protocol.NonceHeader
	sent, echoed := a.request.Header.Get(nonce), answer.Get(nonce)
	return sent != "" && echoed != "" && sent != echoed && !a.client.store.trustIdle
}

// unframed says that only the end of the connection would end the answer's body.
func unframed(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// fail turns an error on the connection into the attempt's error. The connection is closed by end.
func (a *attempt) fail(cause error) *AttemptError {
	e := &AttemptError{
		Kind:    pool.OutcomeTruncated,
		Written: a.wroteBefore || a.conn.written.Load(),
		Reused:  a.conn.used,
		Cause:   Error.Wrap(cause),
	}
	switch {
	case errors.Is(a.ctx.Err(), context.Canceled):
		e.Kind = pool.OutcomeCancelled
		e.Cause = Error.Wrap(context.Cause(a.ctx))
	case a.expired() || errors.Is(cause, os.ErrDeadlineExceeded) || a.ctx.Err() != nil:
		e.Kind = pool.OutcomeTimeout
	case a.writer != nil && a.writer.bodyFailed.Load():
		e.Kind = pool.OutcomeCancelled
		e.Cause = ErrRequestBody
	case a.conn.received == 0:
		e.Kind = pool.OutcomeConnectionLost
	}
	return e
}

// end gives the connection back and waits for the body's writer. It is called once.
func (a *attempt) end(reusable bool) {
	defer a.client.active.Done()
	if a.held != nil {
		buffers.Put(a.held)
		a.held = nil
	}
	if a.conn == nil {
		return
	}
	c := a.conn
	watched := a.unwatch()
	if a.watch != nil && a.watch.stop() != nil {
		reusable = false
	}
	if reusable && watched && c.SetDeadline(time.Time{}) == nil {
		c.used = true
		a.client.store.put(a.request.Address, c)
		return
	}
	a.client.store.drop(a.request.Address, c)
	if a.writer != nil && a.request.StopBody != nil {
		a.writer.stop()
	}
}

func asAttemptError(err error) (*AttemptError, bool) {
	var e *AttemptError
	ok := errors.As(err, &e)
	return e, ok
}
