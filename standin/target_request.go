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

// Header fields and query parameters of requests that are run.
const (
	// HeaderTarget holds the ID of the target that responded.
	HeaderTarget = "Bilberrywood-Target"
	// HeaderBodySum is the trailer field with the xxhash of the request body in decimal. It is sent
	// with responses that have no Content-Length.
	HeaderBodySum = "Bilberrywood-Body-Sum"
	// ParamBytes is the size of the response body in bytes; the default is 64.
	ParamBytes = "bytes"
	// ParamChunked leaves out Content-Length and adds a trailer.
	ParamChunked = "chunked"
	// ParamEcho responds with the request body while it is still arriving.
	ParamEcho = "echo"
	// ParamEarly responds before reading the request body.
	ParamEarly = "early"
	// ParamServiceMs replaces the service time, in milliseconds.
	ParamServiceMs = "serviceMs"
)

const defaultResponseBytes = 64

// activeRequest is one request that is being run.
type activeRequest struct {
	*Target
	w     http.ResponseWriter
	r     *http.Request
	fault TargetFault
	run   *TargetRun
	body  *bodyHasher
	nonce string
}

// serveRequest runs one request in a slot.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	t.active.Add(1) // Close waits already for the server that calls this function
	defer t.active.Done()
	f := t.Fault()
	ctx, cancel := requestContext(r, &f)
	defer cancel()
	if f.Drain {
		w.Header().Set(target.HeaderDraining, "1")
	}
	if !t.acquireSlot(ctx) {
		t.record.countShed()
		w.Header().Set(target.HeaderShed, "1")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	a := &activeRequest{
		Target: t, w: w, r: r, fault: f, nonce: r.Header.Get(target.HeaderNonce),
		body: &bodyHasher{Reader: r.Body, digest: xxhash.New()},
		run: &TargetRun{
			ID: r.Header.Get(target.HeaderID), Nonce: r.Header.Get(target.HeaderNonce),
			Method: r.Method, Path: r.URL.RequestURI(), Draining: f.Drain,
		},
	}
	t.record.begin(a.run, time.Now())
	if f.crashesOn(r) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	a.execute(ctx)
}

// requestContext returns the context of the request with its deadline, unless the fault makes the
// target ignore both cancellation and deadline.
func requestContext(r *http.Request, f *TargetFault) (context.Context, context.CancelFunc) {
	if f.LateResponses {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	if timeLeft, ok := target.ParseDeadline(r.Header); ok {
		return context.WithTimeout(r.Context(), timeLeft)
	}
	return context.WithCancel(r.Context())
}

// acquireSlot waits in the queue for a slot. It returns false if the request is shed.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	full := t.queued >= t.QueueLimit
	if !full {
		t.queued++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.queued--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute runs the request and responds.
func (a *activeRequest) execute(ctx context.Context) {
	query := a.r.URL.Query()
	if a.nonce != "" {
		a.w.Header().Set(target.HeaderNonce, a.nonce)
	}
	a.w.Header().Set(HeaderTarget, a.ID)
	if query.Has(ParamEcho) || query.Has(ParamEarly) {
		a.respondDuplex(query.Has(ParamEcho))
		return
	}
	if _, err := io.Copy(io.Discard, a.body); err != nil {
		a.finish(RunCanceled, 0)
		panic(http.ErrAbortHandler)
	}
	if !a.spendServiceTime(ctx, query.Get(ParamServiceMs)) {
		a.finish(RunCanceled, 0)
		panic(http.ErrAbortHandler)
	}
	if a.fault.FailAll || a.chance(a.fault.FailRatio) {
		a.finish(RunFailed, http.StatusInternalServerError)
		http.Error(a.w, "the target failed", http.StatusInternalServerError)
		return
	}
	// The end is recorded first, so that anyone who has seen the response finds the run completed.
	a.finish(RunCompleted, http.StatusOK)
	if a.fault.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	a.respond(parseSize(query.Get(ParamBytes)), query.Has(ParamChunked))
}

// finish records the end of the run.
func (a *activeRequest) finish(state RunState, status int) {
	a.record.end(a.run, state, status, a.body, time.Now())
}

// spendServiceTime waits for the service time. It returns false if the request was canceled, its
// deadline passed or the target is closed.
func (a *activeRequest) spendServiceTime(ctx context.Context, override string) bool {
	if a.fault.Hang {
		select {
		case <-ctx.Done():
		case <-a.stop:
		}
		return false
	}
	serviceTime := a.serviceTime()
	if ms, err := strconv.Atoi(override); err == nil {
		serviceTime = time.Duration(ms) * time.Millisecond
	}
	if serviceTime <= 0 {
		return true
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-a.stop:
	}
	return false
}

// respond sends the body that belongs to the nonce.
func (a *activeRequest) respond(size int64, chunked bool) {
	h := a.w.Header()
	if chunked {
		h.Set("Trailer", HeaderBodySum)
	} else {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	a.w.WriteHeader(http.StatusOK)
	if a.r.Method == http.MethodHead {
		return
	}
	if a.fault.Truncate {
		_, _ = io.Copy(a.w, NonceBody(a.nonce, size/2)) // the response is truncated anyway
		_ = http.NewResponseController(a.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(a.w, NonceBody(a.nonce, size)) // fails only if the client has disconnected
	if chunked {
		h.Set(HeaderBodySum, strconv.FormatUint(a.body.digest.Sum64(), 10))
	}
	if a.fault.LateResponses {
		a.sendDuplicate(size)
	}
}

// respondDuplex responds while the request body arrives. With echo it sends the request body, else
// the body that belongs to the nonce, before it reads the request body.
func (a *activeRequest) respondDuplex(echo bool) {
	control := http.NewResponseController(a.w)
	_ = control.EnableFullDuplex() // always supported with HTTP/1.1
	a.w.Header().Set("Trailer", HeaderBodySum)
	a.w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	if !echo {
		_, _ = io.Copy(a.w, NonceBody(a.nonce, parseSize(a.r.URL.Query().Get(ParamBytes))))
		_ = control.Flush()
		_, _ = io.Copy(io.Discard, a.body) // the error is in a.body.err
	} else {
		_, _ = io.CopyBuffer(flushWriter{a.w, control}, a.body, make([]byte, 64<<10))
	}
	if a.body.err != nil {
		a.finish(RunCanceled, 0)
		panic(http.ErrAbortHandler)
	}
	a.finish(RunCompleted, http.StatusOK)
	a.w.Header().Set(HeaderBodySum, strconv.FormatUint(a.body.digest.Sum64(), 10))
}

// sendDuplicate sends the response a second time on the connection, bypassing the HTTP server.
func (a *activeRequest) sendDuplicate(size int64) {
	c := requestConn(a.r)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n\r\n", size, target.HeaderNonce, a.nonce)
	_, _ = b.ReadFrom(NonceBody(a.nonce, size)) // never fails
	delay := time.Duration(a.fault.LateMs) * time.Millisecond
	time.AfterFunc(delay, func() { _, _ = c.Write(b.Bytes()) })
}

// flushWriter flushes after every write.
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

// parseSize returns the response size that a query parameter holds, or the default.
func parseSize(value string) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return defaultResponseBytes
	}
	return n
}
