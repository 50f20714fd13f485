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

// Forward sends a request to a peer and returns when the answer's header has arrived; the body may
// still be on its way in both directions by then. body may be nil and is read by another goroutine
// until it ends, fails, or the request is over. ctx covers the whole exchange: when it ends, the
// stream is reset and the other end's context ends too. The answer's body must be closed. Errors
// are *Error.
func (n *Node) Forward(ctx context.Context, to fleet.Member, h ForwardHeader, body io.Reader) (*Response, error) {
	frame, err := encodeFrame(frameForward, h)
	if err != nil {
		return nil, &Error{NotSent, to.ID, err}
	}
	x, err := n.exchange(ctx, to)
	if err != nil {
		return nil, err
	}
	n.Counters.ForwardsSent.Add(1)
	if body == nil {
		frame = appendEnd(frame)
	}
	if _, err := x.stream.Write(frame); err != nil {
		return nil, x.fail(NoResponse, err)
	}
	if body == nil {
		x.closeBody(nil)
	} else if !n.run(func() { x.sendBody(body) }) {
		return nil, x.fail(NoResponse, errorClass.New("entry stops"))
	}
	header, err := readMessage[ResponseHeader](x.stream, frameAnswer)
	if err != nil {
		return nil, x.fail(NoResponse, err)
	}
	n.heard(x.connection)
	answer := &Response{ResponseHeader: header}
	answer.Body = &answerBody{x: x, frames: bodyReader{r: x.stream}, answer: answer}
	return answer, nil
}

// exchange is one request on its own stream, on the sending side.
type exchange struct {
	to         fleet.EntryID
	ctx        context.Context
	connection *connection
	stream     *quic.Stream
	stop       func() bool
	once       sync.Once

	mu         sync.Mutex
	bodyErr    error
	bodyClosed bool
}

// exchange opens a stream to the peer that ends with ctx.
func (n *Node) exchange(ctx context.Context, to fleet.Member) (*exchange, error) {
	c, err := n.connect(ctx, to.ID, to.PeerAddress)
	if err != nil {
		return nil, &Error{NotSent, to.ID, err}
	}
	c.requests.Add(1)
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		c.requests.Add(-1)
		return nil, &Error{NotSent, to.ID, err}
	}
	x := &exchange{to: to.ID, ctx: ctx, connection: c, stream: s}
	x.stop = context.AfterFunc(ctx, func() { x.reset(codeCancelled) })
	return x, nil
}

// reset gives both directions of the stream up. A direction that was closed is left alone, since a
// reset would discard what the peer has not received yet.
func (x *exchange) reset(code quic.StreamErrorCode) {
	x.mu.Lock()
	closed := x.bodyClosed
	x.mu.Unlock()
	if !closed {
		x.stream.CancelWrite(code)
	}
	x.stream.CancelRead(code)
}

// closeBody ends the sending direction.
func (x *exchange) closeBody(err error) {
	x.mu.Lock()
	x.bodyClosed = true
	x.bodyErr = err
	x.mu.Unlock()
	_ = x.stream.Close()
}

// end releases the exchange; it may be called several times.
func (x *exchange) end(code quic.StreamErrorCode) {
	x.once.Do(func() {
		x.stop()
		x.reset(code)
		x.connection.requests.Add(-1)
	})
}

// fail ends the exchange and returns the error that tells why.
func (x *exchange) fail(kind ErrorKind, err error) *Error {
	x.end(codeCancelled)
	x.mu.Lock()
	bodyErr := x.bodyErr
	x.mu.Unlock()
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	} else if bodyErr != nil {
		kind, err = BodyFailed, bodyErr
	}
	return &Error{kind, x.to, err}
}

// sendBody copies the request's body in frames.
func (x *exchange) sendBody(body io.Reader) {
	err := copyFrames(x.stream, body)
	if err == nil {
		x.closeBody(nil)
		return
	}
	var readErr *bodyReadError
	if !errors.As(err, &readErr) {
		// The other end stopped reading; its answer tells the rest.
		return
	}
	// The stream is closed without an end frame instead of reset, because a reset may overtake
	// the header frame. The receiver's body ends with io.ErrUnexpectedEOF.
	x.closeBody(readErr.err)
	x.stream.CancelRead(codeBodyFailed)
}

// answerBody is the body of an answer. It ends with io.EOF only after the answer's end frame.
type answerBody struct {
	x      *exchange
	frames bodyReader
	answer *Response
	err    error
}

func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.frames.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.answer.Trailer = b.frames.trailer
		b.x.end(codeAnswered)
		b.err = io.EOF
	} else {
		b.err = b.x.fail(Truncated, err)
	}
	return n, b.err
}

// Close gives the rest of the answer up.
func (b *answerBody) Close() error {
	b.x.end(codeCancelled)
	if b.err == nil {
		b.err = &Error{Truncated, b.x.to, http.ErrBodyReadAfterClose}
	}
	return nil
}

// FetchPair asks a peer for its pair in force if its revision is above than. The zero message means
// that the peer has none. Errors are *Error.
func (n *Node) FetchPair(ctx context.Context, to fleet.Member, than table.Revision) (PairMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeouts.Fetch)
	defer cancel()
	frame, err := encodeFrame(frameFetch, fetchMessage{Than: than})
	if err != nil {
		return PairMessage{}, &Error{NotSent, to.ID, err}
	}
	x, err := n.exchange(ctx, to)
	if err != nil {
		return PairMessage{}, err
	}
	defer x.end(codeAnswered)
	if _, err := x.stream.Write(frame); err != nil {
		return PairMessage{}, x.fail(NoResponse, err)
	}
	x.closeBody(nil)
	packed, err := readMessage[wirePair](x.stream, framePair)
	var pair PairMessage
	if err == nil {
		pair, err = packed.unpack()
	}
	if err != nil {
		return PairMessage{}, x.fail(NoResponse, err)
	}
	n.heard(x.connection)
	return pair, nil
}
