package entry

import (
	"net/http"

	"github.com/bilberrywood/bilberrywood/peer"
)

// httpSink sends an answer to a caller over HTTP.
type httpSink struct {
	w       http.ResponseWriter
	c       *http.ResponseController
	started bool
	whole   bool
}

var _ peer.ResponseWriter = (*httpSink)(nil)

// WriteHeader implements peer.ResponseWriter.
func (s *httpSink) WriteHeader(a peer.ResponseHeader) error {
	s.started = true
	h := s.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	s.w.WriteHeader(a.Status)
	return nil
}

// Write passes bytes on at once: an answer that a target streams reaches the caller as a stream.
func (s *httpSink) Write(b []byte) (int, error) {
	n, err := s.w.Write(b)
	if err != nil {
		return n, Error.Wrap(err)
	}
	return n, nil
}

// Flush sends what is buffered.
func (s *httpSink) Flush() {
	// A failed flush shows at the next write.
	_ = s.c.Flush()
}

// Finish implements peer.ResponseWriter.
func (s *httpSink) Finish(trailer http.Header) error {
	for name, values := range trailer {
		s.w.Header()[http.TrailerPrefix+name] = values
	}
	s.whole = true
	return nil
}

// recorder passes an answer on and keeps a copy of up to max bytes for resends of its id.
type recorder struct {
	peer.ResponseWriter
	max     int
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	whole   bool
	// gone says that the caller can't be written to any more; the run goes on for resends.
	gone bool
}

// WriteHeader implements peer.ResponseWriter.
func (r *recorder) WriteHeader(a peer.ResponseHeader) error {
	r.status = a.Status
	r.header = a.Header.Clone()
	r.gone = r.ResponseWriter.WriteHeader(a) != nil
	return nil
}

// Write implements peer.ResponseWriter. A caller that has gone does not end the run.
func (r *recorder) Write(b []byte) (int, error) {
	if len(r.body) <= r.max {
		r.body = append(r.body, b[:min(len(b), r.max+1-len(r.body))]...)
	}
	if !r.gone {
		_, err := r.ResponseWriter.Write(b)
		r.gone = err != nil
	}
	return len(b), nil
}

// Flush implements flusher.
func (r *recorder) Flush() {
	if f, ok := r.ResponseWriter.(flusher); ok && !r.gone {
		f.Flush()
	}
}

// Finish implements peer.ResponseWriter.
func (r *recorder) Finish(trailer http.Header) error {
	r.trailer = trailer
	r.whole = true
	if !r.gone {
		r.gone = r.ResponseWriter.Finish(trailer) != nil
	}
	return nil
}

// flusher is implemented by sinks that buffer.
type flusher interface{ Flush() }
