package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// fetchRequest asks for the active pair if its revision is above After.
type fetchRequest struct {
	After table.Revision `cbor:"1,keyasint"`
}

// acceptStreams serves the requests that arrive on a connection.
func (n *Node) acceptStreams(id fleet.EntryID, c *connection) {
	for {
		s, err := c.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		n.markReceived(c)
		if !n.startServing(id, c, s) {
			s.CancelRead(codeStopping)
			s.CancelWrite(codeStopping)
		}
	}
}

// serve serves one request. It returns when the sender has received the response or has given up. It returns false if
// it has not called the handler.
func (n *Node) serve(id fleet.EntryID, s *quic.Stream) bool {
	t, size, err := readFrameHeader(s)
	if err != nil {
		n.rejectStream(id, s, err)
		return false
	}
	payload, err := readPayload(s, size)
	if err != nil {
		n.rejectStream(id, s, err)
		return false
	}
	switch t {
	case frameForward:
		err = n.serveForward(s, payload)
	case frameFetch:
		err = n.serveFetch(s, payload)
	case framePathCheck:
		err = n.servePathCheck(s, payload)
	case frameQuota:
		err = n.serveQuota(s, payload)
	default:
		err = errorClass.New("stream begins with a frame of type %d", t)
	}
	if err != nil {
		n.rejectStream(id, s, err)
	}
	return true
}

// rejectStream logs why a request failed and resets its stream.
func (n *Node) rejectStream(id fleet.EntryID, s *quic.Stream, err error) {
	n.Log.Warn().Str("peer", string(id)).Err(err).Msg("request of a peer rejected")
	s.CancelRead(codeProtocol)
	s.CancelWrite(codeProtocol)
}

func (n *Node) serveFetch(s *quic.Stream, payload []byte) error {
	m, err := decodeMessage[fetchRequest](payload, frameFetch.limit())
	if err != nil {
		return err
	}
	compressed, err := compressPair(n.Handler.Pair(m.After))
	if err != nil {
		return err
	}
	return respond(s, framePair, compressed)
}

func (n *Node) servePathCheck(s *quic.Stream, payload []byte) error {
	c, err := decodeMessage[PathCheck](payload, framePathCheck.limit())
	if err != nil {
		return err
	}
	return respond(s, framePathResult, n.Handler.CheckPaths(s.Context(), c))
}

// respond sends the response to a request that has no body.
func respond(s *quic.Stream, t frameType, message any) error {
	frame, err := encodeFrame(t, message)
	if err != nil {
		return err
	}
	s.CancelRead(codeResponded)
	if _, err := s.Write(frame); err != nil {
		return errorClass.Wrap(err)
	}
	awaitReceipt(s)
	return nil
}

// senderStopped reports whether the sender of a request has stopped reading before the stream was closed.
func senderStopped(s *quic.Stream) bool {
	var reset *quic.StreamError
	return errors.As(context.Cause(s.Context()), &reset) && reset.Remote
}

// awaitReceipt waits until the sender of a request stops reading, which it does when it has received the end of the
// response or has given up, or until the connection ends. It then closes the stream. Closing it earlier would end its
// context, which tells when the sender stops.
func awaitReceipt(s *quic.Stream) {
	<-s.Context().Done()
	_ = s.Close()
}

// errStopping is the cause of the end of requests that the Close of a Node aborts.
var errStopping = errorClass.New("this entry stops")

func (n *Node) serveForward(s *quic.Stream, payload []byte) error {
	h, err := decodeMessage[ForwardHeader](payload, maxHeaderSize)
	if err != nil {
		return err
	}
	n.Counters.ForwardsReceived.Add(1)
	// The stream's context ends when the sender stops reading, which is how it cancels the request.
	ctx, cancel := context.WithCancelCause(s.Context())
	defer cancel(nil)
	stop := context.AfterFunc(n.ctx, func() { cancel(errStopping) })
	defer stop()
	w := &responseWriter{stream: s}
	n.Handler.Forward(ctx, h, &bodyReader{r: s}, w)
	w.close()
	return nil
}

// responseWriter implements ResponseWriter on a stream.
type responseWriter struct {
	stream *quic.Stream
	// writingSince is when the pending write of a part of the body has begun; nil if none is pending.
	writingSince atomic.Pointer[time.Time]

	mu         sync.Mutex
	headerSent bool
	finished   bool
}

// WriteHeader sends the header frame.
func (w *responseWriter) WriteHeader(h ResponseHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.headerSent {
		return errorClass.New("answer header is already written")
	}
	frame, err := encodeFrame(frameResponse, h)
	if err != nil {
		return err
	}
	w.headerSent = true
	_, err = w.stream.Write(frame)
	return errorClass.Wrap(err)
}

// Write sends a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headerSent || w.finished {
		return 0, errorClass.New("body outside of an answer")
	}
	buffer := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buffer)
	b := *buffer
	written := 0
	defer w.writingSince.Store(nil)
	for written < len(p) {
		n := copy(b[frameHeaderSize:], p[written:])
		putFrameHeader(b, frameBody, n)
		now := time.Now()
		w.writingSince.Store(&now)
		if _, err := w.stream.Write(b[:frameHeaderSize+n]); err != nil {
			return written, errorClass.Wrap(err)
		}
		written += n
	}
	return written, nil
}

// stalledAfter is how long a write to a stream may take until its reader counts as stalled. The window of a stream opens in
// parts of tens of kilobytes, so that a caller that reads slowly holds up a write for seconds.
const stalledAfter = 4 * time.Second

// Stalled reports whether a part of the body has waited for stalledAfter to be sent.
func (w *responseWriter) Stalled() bool {
	since := w.writingSince.Load()
	return since != nil && time.Since(*since) >= stalledAfter
}

// AbortWrite makes a pending write fail, and tells the sender of the request that the response is truncated.
func (w *responseWriter) AbortWrite() { w.stream.CancelWrite(codeStalled) }

// Finish sends the end frame with the trailer.
func (w *responseWriter) Finish(trailer http.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headerSent || w.finished {
		return errorClass.New("end outside of an answer")
	}
	frame := appendEndFrame(nil)
	if len(trailer) > 0 {
		var err error
		if frame, err = encodeFrame(frameEnd, trailer); err != nil {
			return err
		}
	}
	w.finished = true
	_, err := w.stream.Write(frame)
	return errorClass.Wrap(err)
}

// close closes the stream when the sender has received the response or has given up.
func (w *responseWriter) close() {
	w.mu.Lock()
	finished := w.finished
	w.finished = true
	w.mu.Unlock()
	w.stream.CancelRead(codeResponded)
	if finished {
		awaitReceipt(w.stream)
		return
	}
	// Closing without an end frame tells the sender that the response is truncated. A reset would discard what is
	// already written.
	_ = w.stream.Close()
}
