package target

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// responseBody streams a response body.
type responseBody struct {
	attempt      *attempt
	response     *Response
	httpResponse *http.Response
	// bytesRead counts the bytes of the body that have been read.
	bytesRead int64
	endOnce   sync.Once
	// err is returned by every later Read.
	err error
}

// Read implements io.Reader. It returns io.EOF only if the response is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.httpResponse.Body.Read(p)
	b.bytesRead += int64(n)
	switch {
	case err == io.EOF && n > 0 && b.attempt.sendingBody():
		// The end of the response waits for the request body; the bytes that have arrived don't.
	case err == io.EOF:
		b.complete()
	case err != nil:
		b.err = b.attempt.classifyError(err)
		b.endOnce.Do(func() { b.attempt.release(false) })
	}
	return n, b.err
}

// complete ends a response that was read to its end.
func (b *responseBody) complete() {
	b.err = io.EOF
	b.endOnce.Do(func() {
		a := b.attempt
		sent := a.finishRequestBody(b.httpResponse.StatusCode)
		if unframed(b.httpResponse) && a.brokenOff() {
			b.err = a.classifyError(ErrBrokenOff)
		}
		a.release(sent && !b.httpResponse.Close && a.conn.reader.Buffered() == 0)
	})
	if b.err == io.EOF {
		DropHopByHop(b.httpResponse.Trailer)
		b.response.Trailer = b.httpResponse.Trailer
	}
}

// brokenOff reports whether the connection was reset or lost, at the end of what was read from it. The kernel reports that
// once: after the writer of the request body has got the error, the reader sees the same end as behind a whole response.
func (a *attempt) brokenOff() bool {
	if w := a.writer; w != nil {
		select {
		case <-w.done:
			if w.connErr != nil {
				return true
			}
		default:
		}
	}
	return a.conn.aborted()
}

// Close implements io.Closer. It closes the connection unless the rest of the response is already
// buffered, as it usually is for the short body of a shed request. Without this, every refusal
// under overload would cost the target a new connection.
func (b *responseBody) Close() error {
	if b.err == nil && b.restBuffered() {
		_, _ = io.Copy(io.Discard, b) // an error has closed the connection
	}
	b.endOnce.Do(func() { b.attempt.release(false) })
	return nil
}

// restBuffered reports whether the rest of the response is in the read buffer.
func (b *responseBody) restBuffered() bool {
	return b.attempt.writer == nil && b.httpResponse.ContentLength >= 0 &&
		b.httpResponse.ContentLength-b.bytesRead <= int64(b.attempt.conn.reader.Buffered())
}

// sendingBody reports whether the request body is still being sent.
func (a *attempt) sendingBody() bool { return a.writer != nil && a.writer.endedAt.Load() == 0 }

// finishRequestBody waits until the request body is sent, if the target may still read it. It
// reports whether all of it was sent. A target may go on reading the body after an early success,
// but not after an error status.
func (a *attempt) finishRequestBody(status int) bool {
	w := a.writer
	if w == nil {
		return true
	}
	if status >= http.StatusMultipleChoices && !w.lastWriteStarted.Load() {
		return false
	}
	var expired <-chan time.Time
	if !a.deadline.IsZero() {
		timer := time.NewTimer(time.Until(a.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.done:
		return !w.bodyFailed.Load() && w.connErr == nil
	case <-a.ctx.Done():
	case <-expired:
	}
	return false
}
