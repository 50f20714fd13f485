package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// frameBuffers holds the buffers of body frames.
var frameBuffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeaderSize+maxBodyFrame)
	return &b
}}

// bodyReadError wraps errors of reading the source in writeBody, to tell them from errors of the stream.
type bodyReadError struct{ err error }

func (e *bodyReadError) Error() string { return "read body: " + e.err.Error() }

// writeBody sends a body and the end frame. Each body frame is sent as soon as its bytes are available.
func writeBody(w io.Writer, body io.Reader) error {
	buffer := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buffer)
	b := *buffer
	for {
		n, err := body.Read(b[frameHeaderSize:])
		if n > 0 {
			putFrameHeader(b, frameBody, n)
			if _, err := w.Write(b[:frameHeaderSize+n]); err != nil {
				return errorClass.Wrap(err)
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = w.Write(appendEndFrame(nil))
			return errorClass.Wrap(err)
		}
		if err != nil {
			return &bodyReadError{err}
		}
	}
}

// appendEndFrame appends an end frame without a trailer.
func appendEndFrame(b []byte) []byte {
	var header [frameHeaderSize]byte
	putFrameHeader(header[:], frameEnd, 0)
	return append(b, header[:]...)
}

// bodyReader reads a body from its frames. It returns io.EOF only after the end frame. If the stream ends
// earlier, it returns io.ErrUnexpectedEOF or the reason for the stream's reset.
type bodyReader struct {
	r         io.Reader
	remaining int // bytes of the current frame that are not read yet
	trailer   http.Header
	err       error
}

func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	for b.remaining == 0 {
		if b.err = b.nextFrame(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if err != nil {
		b.err = unexpectedEOF(err)
		if n > 0 {
			return n, nil
		}
	}
	return n, b.err
}

// nextFrame reads the header of the next frame, and the complete frame if it is the end frame.
func (b *bodyReader) nextFrame() error {
	t, size, err := readFrameHeader(b.r)
	if err != nil {
		return unexpectedEOF(err)
	}
	switch t {
	case frameBody:
		b.remaining = size
		return nil
	case frameEnd:
		if size > 0 {
			payload, err := readPayload(b.r, size)
			if err != nil {
				return unexpectedEOF(err)
			}
			if b.trailer, err = decodeMessage[http.Header](payload, maxHeaderSize); err != nil {
				return err
			}
		}
		return io.EOF
	}
	return errorClass.New("frame of type %d in a body", t)
}

// unexpectedEOF replaces io.EOF in the middle of a message by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
