package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// fetchMessage asks for a pair above a revision.
type fetchMessage struct {
	Than table.Revision `cbor:"1,keyasint"`
}

// acceptStreams serves the requests of a peer.
func (n *Node) acceptStreams(id fleet.EntryID, c *connection) {
	for {
		s, err := c.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		c.requests.Add(1)
		n.heard(c)
		serve := func() {
			defer c.requests.Add(-1)
			n.serve(id, s)
		}
		if !n.run(serve) {
			s.CancelRead(codeStopping)
			s.CancelWrite(codeStopping)
			c.requests.Add(-1)
		}
	}
}

// serve answers one request.
func (n *Node) serve(id fleet.EntryID, s *quic.Stream) {
	t, size, err := readFrameHead(s)
	if err != nil {
		n.refuse(id, s, err)
		return
	}
	payload, err := readPayload(s, size)
	if err != nil {
		n.refuse(id, s, err)
		return
	}
	switch t {
	case frameForward:
		err = n.serveForward(s, payload)
	case frameFetch:
		err = n.serveFetch(s, payload)
	default:
		err = errorClass.New("stream begins with a frame of type %d", t)
	}
	if err != nil {
		n.refuse(id, s, err)
	}
}

func (n *Node) refuse(id fleet.EntryID, s *quic.Stream, err error) {
	n.Log.Warn().Str("peer", string(id)).Err(err).Msg("request of a peer refused")
	s.CancelRead(codeProtocol)
	s.CancelWrite(codeProtocol)
}

func (n *Node) serveFetch(s *quic.Stream, payload []byte) error {
	m, err := decodeMessage[fetchMessage](payload, frameFetch.limit())
	if err != nil {
		return err
	}
	packed, err := packPair(n.Handler.Pair(m.Than))
	if err != nil {
		return err
	}
	frame, err := encodeFrame(framePair, packed)
	if err != nil {
		return err
	}
	s.CancelRead(codeAnswered)
	if _, err := s.Write(frame); err != nil {
		return errorClass.Wrap(err)
	}
	return errorClass.Wrap(s.Close())
}

func (n *Node) serveForward(s *quic.Stream, payload []byte) error {
	h, err := decodeMessage[ForwardHeader](payload, maxHeader)
	if err != nil {
		return err
	}
	n.Counters.ForwardsReceived.Add(1)
	// The stream's context ends when the sender stops reading, so it is the sender's cancellation.
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	stop := context.AfterFunc(n.ctx, cancel)
	defer stop()
	w := &answerWriter{stream: s}
	n.Handler.Forward(ctx, h, &bodyReader{r: s}, w)
	w.end()
	return nil
}

// answerWriter is the sending side of an answer.
type answerWriter struct {
	stream *quic.Stream

	mu       sync.Mutex
	began    bool
	finished bool
}

// WriteHeader sends the header frame.
func (w *answerWriter) WriteHeader(h ResponseHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.began {
		return errorClass.New("answer header is already written")
	}
	frame, err := encodeFrame(frameAnswer, h)
	if err != nil {
		return err
	}
	w.began = true
	_, err = w.stream.Write(frame)
	return errorClass.Wrap(err)
}

// Write sends a part of the answer's body.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.began || w.finished {
		return 0, errorClass.New("body outside of an answer")
	}
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	b := *buffer
	written := 0
	for written < len(p) {
		n := copy(b[frameHead:], p[written:])
		putFrameHead(b, frameBody, n)
		if _, err := w.stream.Write(b[:frameHead+n]); err != nil {
			return written, errorClass.Wrap(err)
		}
		written += n
	}
	return written, nil
}

// Finish marks the answer as whole.
func (w *answerWriter) Finish(trailer http.Header) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.began || w.finished {
		return errorClass.New("end outside of an answer")
	}
	frame := appendEnd(nil)
	if len(trailer) > 0 {
		var err error
		if frame, err = encodeFrame(frameEnd, trailer); err != nil {
			return err
		}
	}
	w.finished = true
	if _, err := w.stream.Write(frame); err != nil {
		return errorClass.Wrap(err)
	}
	return errorClass.Wrap(w.stream.Close())
}

// end resets what the handler left open.
func (w *answerWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.finished {
		w.finished = true
		// Closing without an end frame tells the sender that the answer is truncated; a reset
		// would discard what was already written.
		_ = w.stream.Close()
	}
	w.stream.CancelRead(codeAnswered)
}
