package entry

import (
	"net/http"

	"github.com/bilberrywood/bilberrywood/peer"
)

// callerWriter sends an answer to a caller over HTTP.
type callerWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
	complete   bool
}

var _ peer.ResponseWriter = (*callerWriter)(nil)

// WriteHeader implements peer.ResponseWriter.
func (s *callerWriter) WriteHeader(a peer.ResponseHeader) error {
	s.started = true
	h := s.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	s.w.WriteHeader(a.Status)
	return nil
}

// Write passes bytes on at once: an answer that a target streams reaches the caller as a stream.
func (s *callerWriter) Write(b []byte) (int, error) {
	n, err := s.w.Write(b)
	if err != nil {
		return n, Error.Wrap(err)
	}
	return n, nil
}

// Flush sends what is buffered.
func (s *callerWriter) Flush() {
	// A failed flush shows at the next write.
	_ = s.controller.Flush()
}

// Finish implements peer.ResponseWriter.
func (s *callerWriter) Finish(trailer http.Header) error {
	for name, values := range trailer {
		s.w.Header()[http.TrailerPrefix+name] = values
	}
	s.complete = true
	return nil
}

// responseRecorder passes an answer on and keeps a copy of up to max bytes for resends of its id.
type responseRecorder struct {
	peer.ResponseWriter
	maxBody  int
	status   int
	header   http.Header
	body     []byte
	trailer  http.Header
	complete bool
	// disconnected says that the caller can't be written to any more; the run goes on for resends.
	disconnected bool
}

// WriteHeader implements peer.ResponseWriter.
func (r *responseRecorder) WriteHeader(a peer.ResponseHeader) error {
	r.status = a.Status
	r.header = a.Header.Clone()
	r.disconnected = r.ResponseWriter.WriteHeader(a) != nil
	return nil
}

// Write implements peer.ResponseWriter. A caller that has gone does not end the run.
func (r *responseRecorder) Write(b []byte) (int, error) {
	if len(r.body) <= r.maxBody {
		r.body = append(r.body, b[:min(len(b), r.maxBody+1-len(r.body))]...)
	}
	if !r.disconnected {
		_, err := r.ResponseWriter.Write(b)
		r.disconnected = err != nil
	}
	return len(b), nil
}

// Flush implements flusher.
func (r *responseRecorder) Flush() {
	if f, ok := r.ResponseWriter.(flusher); ok && !r.disconnected {
		f.Flush()
	}
}

// Finish implements peer.ResponseWriter.
func (r *responseRecorder) Finish(trailer http.Header) error {
	r.trailer = trailer
	r.complete = true
	if !r.disconnected {
		r.disconnected = r.ResponseWriter.Finish(trailer) != nil
	}
	return nil
}

// flusher is implemented by sinks that buffer.
type flusher interface{ Flush() }
