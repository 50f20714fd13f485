package entry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// callerBody is the body of a caller's request. It notices its end.
type callerBody struct {
	io.Reader
	ended atomic.Bool
}

func newCallerBody(r *http.Request) *callerBody {
	b := &callerBody{Reader: r.Body}
	b.ended.Store(r.ContentLength == 0)
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// streamedBody is a request body that is not kept. Attempts read it on goroutines of their own, which may outlive them,
// so it is lent to one attempt at a time.
type streamedBody struct {
	mu sync.Mutex
	// borrower is the reader of the latest attempt.
	borrower *attemptBody
	// started says that a read has begun. From then on the body can't be sent from its start.
	started bool
}

// attemptBody is a streamedBody as one attempt reads it.
type attemptBody struct {
	stream *streamedBody
	r      io.Reader
}

// errBodyWithdrawn is returned by reads of a body that was lent to a later attempt, or whose request has ended.
var errBodyWithdrawn = errs.New("the body is read by another attempt")

// lend returns a reader of r for an attempt. Readers of earlier attempts fail from then on.
func (s *streamedBody) lend(r io.Reader) *attemptBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower = &attemptBody{stream: s, r: r}
	return s.borrower
}

// withdraw makes the reader of the latest attempt fail, and reports whether it has read nothing and is not reading.
func (s *streamedBody) withdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.borrower = nil
	return !s.started
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.stream.mu.Lock()
	lent := b.stream.borrower == b
	b.stream.started = b.stream.started || lent
	b.stream.mu.Unlock()
	if !lent {
		return 0, errBodyWithdrawn
	}
	return b.r.Read(p)
}
