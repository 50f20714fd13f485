package entry

import (
	"io"
	"net/http"
	"sync/atomic"
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
