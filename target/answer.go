package target

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// answerBody streams an answer's body.
type answerBody struct {
	attempt  *attempt
	answer   *Response
	response *http.Response
	// read counts the bytes of the body that were read.
	read  int64
	ended sync.Once
	// err is what every later Read returns.
	err error
}

// Read implements io.Reader. It returns io.EOF only if the answer is whole.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.response.Body.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF:
		b.whole()
	case err != nil:
		b.err = b.attempt.fail(err)
		b.ended.Do(func() { b.attempt.end(false) })
	}
	return n, b.err
}

// whole ends an answer that was read to its end.
func (b *answerBody) whole() {
	b.err = io.EOF
	DropHopByHop(b.response.Trailer)
	b.answer.Trailer = b.response.Trailer
	b.ended.Do(func() {
		a := b.attempt
		sent := a.finishBody(b.response.StatusCode)
		a.end(sent && !b.response.Close && a.conn.reader.Buffered() == 0)
	})
}

// Close implements io.Closer. It closes the connection unless the rest of the answer is there already,
// as it is with the short text of a shed: otherwise every refusal under overload would cost the target
// a new connection.
func (b *answerBody) Close() error {
	if b.err == nil && b.restArrived() {
		_, _ = io.Copy(io.Discard, b) // an error has closed the connection
	}
	b.ended.Do(func() { b.attempt.end(false) })
	return nil
}

// restArrived says that the rest of the answer is in the read buffer.
func (b *answerBody) restArrived() bool {
	return b.attempt.writer == nil && b.response.ContentLength >= 0 &&
		b.response.ContentLength-b.read <= int64(b.attempt.conn.reader.Buffered())
}

// finishBody waits for the rest of the request's body, if the target may still want it, and says
// whether all of it was sent. A target that answers a success early may go on reading; one that
// refuses does not.
func (a *attempt) finishBody(status int) bool {
	w := a.writer
	if w == nil {
		return true
	}
	if status >= http.StatusMultipleChoices && !w.last.Load() {
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
