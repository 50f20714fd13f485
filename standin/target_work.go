package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/target"
)

// Header fields and query parameters of work.
const (
	// HeaderTarget names the target that answered.
	HeaderTarget = "Bilberrywood-Target"
	// HeaderBodySum is the trailer field with the xxhash of the request's body in decimal; it is
	// sent in answers without an announced length.
	HeaderBodySum = "Bilberrywood-Body-Sum"
	// ParamBytes is the size of the answer's body; 64 without it.
	ParamBytes = "bytes"
	// ParamChunked leaves the length of the answer out and adds a trailer.
	ParamChunked = "chunked"
	// ParamEcho answers with the request's body while that still arrives.
	ParamEcho = "echo"
	// ParamEarly answers before it reads the request's body.
	ParamEarly = "early"
	// ParamServiceMs replaces the service time.
	ParamServiceMs = "serviceMs"
)

const defaultAnswerBytes = 64

// job is one request in work.
type job struct {
	*Target
	w     http.ResponseWriter
	r     *http.Request
	fault TargetFault
	run   *TargetRun
	body  *bodySum
	nonce string
}

// work runs one request in a slot.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	t.active.Add(1) // the server that calls is counted, so Close waits already
	defer t.active.Done()
	f := t.Fault()
	ctx, cancel := workContext(r, &f)
	defer cancel()
	if f.Drain {
		w.Header().Set(target.HeaderDraining, "1")
	}
	if !t.enter(ctx) {
		t.record.refuse()
		w.Header().Set(target.HeaderShed, "1")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	j := &job{
		Target: t, w: w, r: r, fault: f, nonce: r.Header.Get(target.HeaderNonce),
		body: &bodySum{Reader: r.Body, digest: xxhash.New()},
		run: &TargetRun{
			ID: r.Header.Get(target.HeaderID), Nonce: r.Header.Get(target.HeaderNonce),
			Method: r.Method, Path: r.URL.RequestURI(), Draining: f.Drain,
		},
	}
	t.record.begin(j.run, time.Now())
	if f.crashes(r) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	j.do(ctx)
}

// workContext is the request's context with its deadline, unless the target ignores both.
func workContext(r *http.Request, f *TargetFault) (context.Context, context.CancelFunc) {
	if f.LateResponses {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	if remaining, ok := target.ParseDeadline(r.Header); ok {
		return context.WithTimeout(r.Context(), remaining)
	}
	return context.WithCancel(r.Context())
}

// enter waits for a slot in the queue. It returns false if the request is shed.
func (t *Target) enter(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	full := t.waiting >= t.QueueLimit
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// do runs the request and answers it.
func (j *job) do(ctx context.Context) {
	query := j.r.URL.Query()
	if j.nonce != "" {
		j.w.Header().Set(target.HeaderNonce, j.nonce)
	}
	j.w.Header().Set(HeaderTarget, j.ID)
	if query.Has(ParamEcho) || query.Has(ParamEarly) {
		j.duplex(query.Has(ParamEcho))
		return
	}
	if _, err := io.Copy(io.Discard, j.body); err != nil {
		j.end(RunCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	if !j.serve(ctx, query.Get(ParamServiceMs)) {
		j.end(RunCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	if j.fault.FailAll || j.chance(j.fault.FailRatio) {
		j.end(RunFailed, http.StatusInternalServerError)
		http.Error(j.w, "the target failed", http.StatusInternalServerError)
		return
	}
	// The end is noted first: whoever has seen the answer finds the run completed.
	j.end(RunCompleted, http.StatusOK)
	if j.fault.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	j.answer(sizeOf(query.Get(ParamBytes)), query.Has(ParamChunked))
}

// end notes the run's end.
func (j *job) end(state RunState, status int) {
	j.record.end(j.run, state, status, j.body, time.Now())
}

// serve spends the service time. It returns false if the request was cancelled or its deadline
// passed.
func (j *job) serve(ctx context.Context, replaced string) bool {
	if j.fault.Hang {
		select {
		case <-ctx.Done():
		case <-j.stop:
		}
		return false
	}
	service := j.serviceTime()
	if ms, err := strconv.Atoi(replaced); err == nil {
		service = time.Duration(ms) * time.Millisecond
	}
	if service <= 0 {
		return true
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-j.stop:
	}
	return false
}

// answer sends the body that belongs to the nonce.
func (j *job) answer(size int64, chunked bool) {
	h := j.w.Header()
	if chunked {
		h.Set("Trailer", HeaderBodySum)
	} else {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	j.w.WriteHeader(http.StatusOK)
	if j.r.Method == http.MethodHead {
		return
	}
	if j.fault.Truncate {
		_, _ = io.Copy(j.w, NonceBody(j.nonce, size/2)) // the answer is cut off anyway
		_ = http.NewResponseController(j.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(j.w, NonceBody(j.nonce, size)) // fails only if the client has gone
	if chunked {
		h.Set(HeaderBodySum, strconv.FormatUint(j.body.digest.Sum64(), 10))
	}
	if j.fault.LateResponses {
		j.repeat(size)
	}
}

// duplex answers while the request's body arrives. The answer is the body itself or, without echo,
// the body that belongs to the nonce, sent before the request's body is read.
func (j *job) duplex(echo bool) {
	control := http.NewResponseController(j.w)
	_ = control.EnableFullDuplex() // always supported with HTTP/1.1
	j.w.Header().Set("Trailer", HeaderBodySum)
	j.w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	if !echo {
		_, _ = io.Copy(j.w, NonceBody(j.nonce, sizeOf(j.r.URL.Query().Get(ParamBytes))))
		_ = control.Flush()
		_, _ = io.Copy(io.Discard, j.body) // the error is in j.body
	} else {
		_, _ = io.CopyBuffer(flushWriter{j.w, control}, j.body, make([]byte, 64<<10))
	}
	if j.body.err != nil {
		j.end(RunCancelled, 0)
		panic(http.ErrAbortHandler)
	}
	j.end(RunCompleted, http.StatusOK)
	j.w.Header().Set(HeaderBodySum, strconv.FormatUint(j.body.digest.Sum64(), 10))
}

// repeat sends the answer a second time on the connection, past the server.
func (j *job) repeat(size int64) {
	c := connOf(j.r)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", size, target.HeaderNonce, j.nonce)
	_, _ = b.ReadFrom(NonceBody(j.nonce, size)) // never fails
	after := time.Duration(j.fault.LateMs) * time.Millisecond
	time.AfterFunc(after, func() { _, _ = c.Write(b.Bytes()) })
}

// flushWriter sends every piece at once.
type flushWriter struct {
	io.Writer
	control *http.ResponseController
}

// Write implements io.Writer.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err == nil {
		err = w.control.Flush()
	}
	return n, err
}

// sizeOf returns the answer's size that a query names.
func sizeOf(value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return defaultAnswerBytes
	}
	return n
}
