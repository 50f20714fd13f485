package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/peer"
)

// callerWriter sends a response to a caller over HTTP.
type callerWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// conn is the caller's connection; nil if a test has none.
	conn *callerConn
	// deadline returns the deadline of the request; zero if it is not known yet.
	deadline func() time.Time
	// body is the body of the request.
	body     *callerBody
	started  bool
	complete bool
	// left is how many bytes of a response with a length have not been written yet; -1 before its header, and if
	// it has no length.
	left atomic.Int64
}

func newCallerWriter(w http.ResponseWriter, r *http.Request) *callerWriter {
	cw := &callerWriter{w: w, controller: http.NewResponseController(w), body: newCallerBody(r)}
	cw.left.Store(-1)
	cw.conn, _ = callerConnOf(r.Context())
	return cw
}

// delivered reports whether a response with a length has been written to its end. The caller may leave then although the
// target is still being sent the body. If the body is not whole, reading it fails.
func (cw *callerWriter) delivered() bool { return cw.left.Load() == 0 }

var _ peer.ResponseWriter = (*callerWriter)(nil)

// WriteHeader implements peer.ResponseWriter.
func (cw *callerWriter) WriteHeader(response peer.ResponseHeader) error {
	cw.started = true
	if cw.conn != nil && cw.deadline != nil {
		cw.conn.beginResponse(cw.deadline())
	}
	h := cw.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	cw.left.Store(response.ContentLength)
	cw.w.WriteHeader(response.Status)
	if !cw.body.ended.Load() {
		// The response may end only after the request.
		cw.Flush()
	}
	return nil
}

// Write implements io.Writer.
func (cw *callerWriter) Write(b []byte) (int, error) {
	n, err := cw.w.Write(b)
	if err != nil {
		return n, Error.Wrap(err)
	}
	if cw.left.Load() > 0 {
		cw.left.Add(-int64(n))
	}
	return n, nil
}

// Flush sends buffered bytes, so that a response that a target streams reaches the caller as a stream.
func (cw *callerWriter) Flush() {
	// After a failed flush the next write fails too.
	_ = cw.controller.Flush()
}

// Stalled implements stallable.
func (cw *callerWriter) Stalled() bool { return cw.conn != nil && cw.conn.stalledFor() >= stalledAfter }

// AbortWrite implements stallable.
func (cw *callerWriter) AbortWrite() { cw.conn.abortWrite() }

// closeAfterResponse makes the server close the connection after a response whose header may have been sent. The rest of
// the request's body must not be parsed as the next request. net/http has no call for this, but closes connections on
// which a body exceeded the limit of a MaxBytesReader.
func closeAfterResponse(w http.ResponseWriter) {
	limited := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = limited.Read(make([]byte, 1)) // always fails
}

// Finish implements peer.ResponseWriter.
func (cw *callerWriter) Finish(trailer http.Header) error {
	for name, values := range trailer {
		cw.w.Header()[http.TrailerPrefix+name] = values
	}
	cw.complete = true
	return nil
}

// responseRecorder passes a response on and copies its body for retries with the same ID. It copies up to
// maxBody+1 bytes; the last byte shows the deduplicator that the body is too large to store.
type responseRecorder struct {
	peer.ResponseWriter
	maxBody  int
	status   int
	header   http.Header
	body     []byte
	trailer  http.Header
	complete bool
	// disconnected is true once writing to the caller has failed. The run continues for retries.
	disconnected bool
}

// WriteHeader implements peer.ResponseWriter.
func (r *responseRecorder) WriteHeader(h peer.ResponseHeader) error {
	r.status = h.Status
	r.header = h.Header.Clone()
	r.disconnected = r.ResponseWriter.WriteHeader(h) != nil
	return nil
}

// Write implements peer.ResponseWriter. It succeeds even if the caller is gone.
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

// Unwrap returns the writer that the response is passed on to.
func (r *responseRecorder) Unwrap() peer.ResponseWriter { return r.ResponseWriter }

// Finish implements peer.ResponseWriter.
func (r *responseRecorder) Finish(trailer http.Header) error {
	r.trailer = trailer
	r.complete = true
	if !r.disconnected {
		r.disconnected = r.ResponseWriter.Finish(trailer) != nil
	}
	return nil
}

// flusher is implemented by response writers that buffer.
type flusher interface{ Flush() }
