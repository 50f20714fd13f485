package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// buffers holds the buffers of body frames.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, frameHead+maxChunk)
	return &b
}}

// bodyReadError wraps errors of the source of copyFrames, to tell them from those of the stream.
type bodyReadError struct{ err error }

func (e *bodyReadError) Error() string { return "read body: " + e.err.Error() }

// copyFrames sends a body in frames, each as soon as its bytes are there, and the end frame.
func copyFrames(w io.Writer, body io.Reader) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	b := *buffer
	for {
		n, err := body.Read(b[frameHead:])
		if n > 0 {
			putFrameHead(b, frameBody, n)
			if _, err := w.Write(b[:frameHead+n]); err != nil {
				return errorClass.Wrap(err)
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = w.Write(appendEnd(nil))
			return errorClass.Wrap(err)
		}
		if err != nil {
			return &bodyReadError{err}
		}
	}
}

// appendEnd appends an end frame without a trailer.
func appendEnd(b []byte) []byte {
	var head [frameHead]byte
	putFrameHead(head[:], frameEnd, 0)
	return append(b, head[:]...)
}

// bodyReader reads a body from its frames. It returns io.EOF only after the end frame; a stream that
// ends earlier gives io.ErrUnexpectedEOF or the reason for its reset.
type bodyReader struct {
	r       io.Reader
	left    int // bytes left of the current frame
	trailer http.Header
	err     error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	for b.left == 0 {
		if b.err = b.next(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil {
		b.err = unexpected(err)
		if n > 0 {
			return n, nil
		}
	}
	return n, b.err
}

// next reads the head of the next frame, and the whole frame if it is the end.
func (b *bodyReader) next() error {
	t, size, err := readFrameHead(b.r)
	if err != nil {
		return unexpected(err)
	}
	switch t {
	case frameBody:
		b.left = size
		return nil
	case frameEnd:
		if size > 0 {
			payload, err := readPayload(b.r, size)
			if err != nil {
				return unexpected(err)
			}
			if b.trailer, err = decodeMessage[http.Header](payload, maxHeader); err != nil {
				return err
			}
		}
		return io.EOF
	}
	return errorClass.New("frame of type %d in a body", t)
}

// unexpected turns the end of a stream in the middle of a message into an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
