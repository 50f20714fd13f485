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
	// errUnbuilt marks a request that can't be sent at all, such as when Request.Body fails.
	errUnbuilt = errors.New("request can't be sent")
	// errImpatient says that an entry showed no answer within the patience.
	errImpatient = errors.New("no answer within the patience")
)

// send makes one attempt at one address. A small answer has been read whole when send returns. After
// an error, sent says whether a byte of the request may have left.
func (k *call) send(address string) (response *http.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(k.ctx)
	request, err := k.httpRequest(ctx, address)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	client := &k.caller.fresh
	// The timer starts when the request is written, so that a long upload is not cut off.
	patience := time.AfterFunc(maxValid, func() { cancel(errImpatient) })
	defer patience.Stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if k.request.idempotent() {
		client = &k.caller.pooled
		trace.WroteRequest = func(httptrace.WroteRequestInfo) { patience.Reset(k.patience()) }
	}
	response, err = client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		err = holdSmall(response)
	}
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errImpatient) {
			err = cause
		}
		cancel(nil)
		return nil, connected.Load(), Error.Wrap(err)
	}
	response.Body = &closer{response.Body, func() { cancel(nil) }}
	return response, true, nil
}

// patience is how long this attempt may take to show the head of an answer.
func (k *call) patience() time.Duration {
	const least = 200 * time.Millisecond
	if k.caller.ResponseHeaderTimeout > 0 {
		return k.caller.ResponseHeaderTimeout
	}
	deadline, _ := k.ctx.Deadline()
	return max(time.Until(deadline)/3, least)
}

// httpRequest builds the request of one attempt.
func (k *call) httpRequest(ctx context.Context, address string) (*http.Request, error) {
	r := k.request
	var body io.ReadCloser
	if r.GetBody != nil {
		var err error
		if body, err = r.GetBody(); err != nil {
			return nil, Error.Wrap(errors.Join(errUnbuilt, err))
		}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return nil, Error.Wrap(errors.Join(errUnbuilt, err))
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

// bind makes a run id bound to the entry that the request is sent to first.
func (k *call) bind(b notice.Binding) error {
	k.id = NewID(b)
	if k.request.OnNewID == nil {
		return nil
	}
	if err := k.request.OnNewID(k.id); err != nil {
		return Error.Wrap(errors.Join(errUnbuilt, err))
	}
	return nil
}

// holdSmall reads a small answer of known length whole, so that a loss in its middle counts as a lost
// attempt and not as an answer.
func holdSmall(response *http.Response) error {
	if response.ContentLength <= 0 || response.ContentLength > maxHeld || response.Body == http.NoBody {
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
