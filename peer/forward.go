package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Forward sends a request to a peer and returns when the header of the response has arrived. Both bodies may
// still be in transfer by then. body may be nil. It is read by another goroutine until it ends or fails, or
// the request is over. ctx covers the complete exchange: when it ends, the stream is reset, which ends the
// receiver's context too. The body of the response must be closed. Errors are *Error.
func (n *Node) Forward(ctx context.Context, to fleet.Member, h ForwardHeader, body io.Reader) (*Response, error) {
	frame, err := encodeFrame(frameForward, h)
	if err != nil {
		return nil, &Error{NotSent, to.ID, err}
	}
	x, err := n.openExchange(ctx, to)
	if err != nil {
		return nil, err
	}
	n.Counters.ForwardsSent.Add(1)
	if body == nil {
		frame = appendEndFrame(frame)
	}
	if _, err := x.stream.Write(frame); err != nil {
		return nil, x.endWithError(NoResponse, err)
	}
	if body == nil {
		x.closeBody(nil)
	} else if !n.startTask(func() { x.sendBody(body) }) {
		return nil, x.endWithError(NoResponse, errorClass.New("entry stops"))
	}
	header, err := readMessage[ResponseHeader](x, frameResponse)
	if err != nil {
		return nil, x.endWithError(NoResponse, err)
	}
	n.markReceived(x.connection)
	response := &Response{ResponseHeader: header}
	response.Body = &responseBody{x: x, frames: bodyReader{r: x}, response: response}
	return response, nil
}

// exchange is the sender's side of one request, which has its own stream.
type exchange struct {
	node          *Node
	to            fleet.EntryID
	ctx           context.Context
	connection    *connection
	stream        *quic.Stream
	stopAfterFunc func() bool
	once          sync.Once
	// answered says that bytes of the response have arrived. It belongs to the goroutine that reads the response.
	answered bool

	mu         sync.Mutex
	bodyErr    error
	bodyClosed bool
}

// openExchange opens a stream to the peer. The stream is reset when ctx ends.
func (n *Node) openExchange(ctx context.Context, to fleet.Member) (*exchange, error) {
	c, err := n.connectForRequest(ctx, to.ID, to.PeerAddress)
	if err != nil {
		return nil, &Error{NotSent, to.ID, err}
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		n.endRequest(c)
		return nil, &Error{NotSent, to.ID, err}
	}
	x := &exchange{node: n, to: to.ID, ctx: ctx, connection: c, stream: s}
	x.stopAfterFunc = context.AfterFunc(ctx, func() { x.reset(codeCanceled) })
	return x, nil
}

// Read reads the response.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.stream.Read(p)
	x.answered = x.answered || n > 0
	return n, err
}

// reset aborts both directions of the stream. A direction that is already closed is left alone, since a reset
// would discard what the peer has not received yet.
func (x *exchange) reset(code quic.StreamErrorCode) {
	x.mu.Lock()
	closed := x.bodyClosed
	x.mu.Unlock()
	if !closed {
		x.stream.CancelWrite(code)
	}
	x.stream.CancelRead(code)
}

// closeBody closes the sending direction. err is the error of reading the body; nil if the body is complete.
func (x *exchange) closeBody(err error) {
	x.mu.Lock()
	x.bodyClosed = true
	x.bodyErr = err
	x.mu.Unlock()
	_ = x.stream.Close()
}

// release resets what is open and frees the stream. It may be called several times.
func (x *exchange) release(code quic.StreamErrorCode) {
	x.once.Do(func() {
		x.stopAfterFunc()
		x.reset(code)
		x.node.endRequest(x.connection)
	})
}

// endWithError releases the exchange and returns its error. The end of ctx has priority over an error of the
// body, and that over err: the peer may take a canceled request for one that needs no response.
func (x *exchange) endWithError(kind ErrorKind, err error) *Error {
	x.release(codeCanceled)
	x.mu.Lock()
	bodyErr := x.bodyErr
	x.mu.Unlock()
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	} else if bodyErr != nil {
		kind, err = BodyFailed, bodyErr
	} else if kind == NoResponse && !x.answered && provesNotRun(err) {
		kind = NotRun
	}
	return &Error{kind, x.to, err}
}

// sendBody sends the body of the request in frames.
func (x *exchange) sendBody(body io.Reader) {
	err := writeBody(x.stream, body)
	if err == nil {
		x.closeBody(nil)
		return
	}
	var readErr *bodyReadError
	if !errors.As(err, &readErr) {
		// The receiver stopped reading; its response or the stream's reset tells why.
		return
	}
	// The stream is closed without an end frame instead of being reset, because a reset may overtake the header
	// frame. The receiver's body ends with io.ErrUnexpectedEOF.
	x.closeBody(readErr.err)
	x.stream.CancelRead(codeBodyFailed)
}

// responseBody is the body of a response. It ends with io.EOF only after the end frame.
type responseBody struct {
	x        *exchange
	frames   bodyReader
	response *Response
	err      error
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.frames.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.response.Trailer = b.frames.trailer
		b.x.release(codeResponded)
		b.err = io.EOF
	} else {
		b.err = b.x.endWithError(Truncated, err)
	}
	return n, b.err
}

// Close discards the rest of the response.
func (b *responseBody) Close() error {
	b.x.release(codeCanceled)
	if b.err == nil {
		b.err = &Error{Truncated, b.x.to, http.ErrBodyReadAfterClose}
	}
	return nil
}

// FetchPair asks a peer for its active pair. It returns the zero message if the peer has none, or if the
// pair's revision is not above after. Errors are *Error.
func (n *Node) FetchPair(ctx context.Context, to fleet.Member, after table.Revision) (PairMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeouts.Fetch)
	defer cancel()
	var pair PairMessage
	err := n.request(ctx, to, frameFetch, fetchRequest{After: after}, func(r io.Reader) error {
		compressed, err := readMessage[compressedPair](r, framePair)
		if err == nil {
			pair, err = compressed.decompress()
		}
		return err
	})
	if err != nil {
		return PairMessage{}, err
	}
	return pair, nil
}

// CheckPaths asks a peer which targets accept connections from it. Errors are *Error.
func (n *Node) CheckPaths(ctx context.Context, to fleet.Member, c PathCheck) (PathResult, error) {
	var result PathResult
	err := n.request(ctx, to, framePathCheck, c, func(r io.Reader) (err error) {
		result, err = readMessage[PathResult](r, framePathResult)
		return err
	})
	return result, err
}

// request sends a message on a stream of its own and reads the response.
func (n *Node) request(ctx context.Context, to fleet.Member, t frameType, message any, read func(io.Reader) error) error {
	frame, err := encodeFrame(t, message)
	if err != nil {
		return &Error{NotSent, to.ID, err}
	}
	x, err := n.openExchange(ctx, to)
	if err != nil {
		return err
	}
	defer x.release(codeResponded)
	if _, err := x.stream.Write(frame); err != nil {
		return x.endWithError(NoResponse, err)
	}
	x.closeBody(nil)
	if err := read(x); err != nil {
		return x.endWithError(NoResponse, err)
	}
	n.markReceived(x.connection)
	return nil
}
