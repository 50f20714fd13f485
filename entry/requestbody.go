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
	io.ReadCloser
	ended atomic.Bool
}

func newCallerBody(r *http.Request) *callerBody {
	if b, ok := r.Body.(*callerBody); ok {
		return b
	}
	b := &callerBody{ReadCloser: r.Body}
	b.ended.Store(r.ContentLength == 0)
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// streamedBody is a request body that is not buffered. Attempts read it on goroutines of their own, which may outlive them,
// so only the holder of the lease can read it.
type streamedBody struct {
	mu sync.Mutex
	// holder is the reader of the latest attempt; nil if its lease was revoked.
	holder *bodyLease
	// started says that a read has begun. From then on the body can't be sent from its start.
	started bool
}

// bodyLease is a streamedBody as one attempt reads it.
type bodyLease struct {
	stream *streamedBody
	r      io.Reader
}

// errBodyRevoked is returned by reads after the body was leased to a later attempt, or after the end of the request.
var errBodyRevoked = errs.New("the lease of the body was revoked")

// lease returns a reader of r for an attempt. Readers of earlier attempts fail from then on.
func (s *streamedBody) lease(r io.Reader) *bodyLease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = &bodyLease{stream: s, r: r}
	return s.holder
}

// revoke makes the reader of the latest attempt fail, and reports whether no read has begun.
func (s *streamedBody) revoke() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = nil
	return !s.started
}

// Read implements io.Reader.
func (b *bodyLease) Read(p []byte) (int, error) {
	b.stream.mu.Lock()
	held := b.stream.holder == b
	b.stream.started = b.stream.started || held
	b.stream.mu.Unlock()
	if !held {
		return 0, errBodyRevoked
	}
	return b.r.Read(p)
}
