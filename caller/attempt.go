package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/target"
)

var (
	// errInvalidRequest marks a request that can't be sent at all, for example because
	// Request.GetBody fails.
	errInvalidRequest = errors.New("request can't be sent")
	// errNoResponseHeader means that an entry sent no response header within the timeout.
	errNoResponseHeader = errors.New("no response header within the timeout")
)

// sendTo makes one attempt at one address. It returns a small response only after reading it
// completely. After an error, maybeSent reports whether a byte of the request may have been sent.
func (k *call) sendTo(address string) (response *http.Response, maybeSent bool, err error) {
	ctx, cancel := context.WithCancelCause(k.ctx)
	request, err := k.httpRequest(ctx, address)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	client := &k.caller.singleUseClient
	// The timeout of the response header starts only when the request is written, so that it
	// doesn't abort a long upload.
	headerTimer := time.AfterFunc(maxAddressTTL, func() { cancel(errNoResponseHeader) })
	defer headerTimer.Stop()
	var mayHaveSent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { mayHaveSent.Store(true) }}
	if k.request.idempotent() {
		client = &k.caller.keepAliveClient
		trace.WroteRequest = func(httptrace.WroteRequestInfo) { headerTimer.Reset(k.responseHeaderTimeout()) }
	}
	response, err = client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		err = bufferSmallResponse(response)
	}
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errNoResponseHeader) {
			err = cause
		}
		cancel(nil)
		return nil, mayHaveSent.Load(), Error.Wrap(err)
	}
	response.Body = &cancelOnClose{response.Body, func() { cancel(nil) }}
	return response, true, nil
}

// responseHeaderTimeout returns how long this attempt waits for the response header.
func (k *call) responseHeaderTimeout() time.Duration {
	const minTimeout = 200 * time.Millisecond
	if k.caller.ResponseHeaderTimeout > 0 {
		return k.caller.ResponseHeaderTimeout
	}
	deadline, _ := k.ctx.Deadline()
	return max(time.Until(deadline)/3, minTimeout)
}

// httpRequest builds the request of one attempt.
func (k *call) httpRequest(ctx context.Context, address string) (*http.Request, error) {
	r := k.request
	var body io.ReadCloser
	if r.GetBody != nil {
		var err error
		if body, err = r.GetBody(); err != nil {
			return nil, Error.Wrap(errors.Join(errInvalidRequest, err))
		}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return nil, Error.Wrap(errors.Join(errInvalidRequest, err))
	}
	if r.Header != nil {
		request.Header = r.Header.Clone()
	}
	if body != nil {
		request.ContentLength = r.ContentLength
	}
	k.caller.authorize(request.Header)
	deadline, _ := ctx.Deadline()
	request.Header.Set(target.HeaderDeadline, target.FormatDeadline(time.Until(deadline)))
	if k.id != "" {
		request.Header.Set(target.HeaderID, k.id)
	}
	return request, nil
}

// bindID creates a request ID that is bound to the entry of the first attempt with this ID.
func (k *call) bindID(b notice.Binding) error {
	k.id = NewID(b)
	if k.request.OnNewID == nil {
		return nil
	}
	if err := k.request.OnNewID(k.id); err != nil {
		return Error.Wrap(errors.Join(errInvalidRequest, err))
	}
	return nil
}

// bufferSmallResponse reads a small response of known length completely, so that a connection lost
// meanwhile counts as a failed attempt instead of a response.
func bufferSmallResponse(response *http.Response) error {
	if response.ContentLength <= 0 || response.ContentLength > maxBufferedResponse || response.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}
