package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Limits of messages, in bytes.
const (
	// maxHeartbeat is what a QUIC datagram holds on every path.
	maxHeartbeat = 1200
	// maxHeader bounds a forward header, an answer header and a trailer.
	maxHeader = 256 << 10
	// maxChunk bounds one body frame.
	maxChunk = 32 << 10
	// maxPair bounds a pair of tables; the platform holds values of up to 1 MB.
	maxPair = 16 << 20
	// frameHead is the size of a frame's type and length.
	frameHead = 5
)

// frameType is the first byte of a frame.
type frameType uint8

// Types of frames on a stream. A forwarded request is frameForward, any number of frameBody,
// frameEnd; its answer is frameAnswer, any number of frameBody, frameEnd with the trailer.
const (
	frameForward frameType = iota + 1
	frameAnswer
	frameBody
	frameEnd
	frameFetch
	framePair
)

// limit returns the largest payload of a frame; 0 for an unknown type.
func (t frameType) limit() int {
	switch t {
	case frameForward, frameAnswer, frameEnd:
		return maxHeader
	case frameBody:
		return maxChunk
	case frameFetch:
		return 64
	case framePair:
		return maxPair
	}
	return 0
}

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  6,
		MaxArrayElements: 4096,
		MaxMapPairs:      4096,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// must is for options that are constant.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeHeartbeat returns the datagram for a heartbeat.
func encodeHeartbeat(h fleet.Heartbeat) ([]byte, error) {
	b, err := encoding.Marshal(h)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	if len(b) > maxHeartbeat {
		return nil, errorClass.New("heartbeat of %d bytes is larger than %d", len(b), maxHeartbeat)
	}
	return b, nil
}

// decodeMessage decodes a message of at most limit bytes.
func decodeMessage[T any](b []byte, limit int) (T, error) {
	var v T
	if len(b) > limit {
		return v, errorClass.New("message of %d bytes is larger than %d", len(b), limit)
	}
	if err := decoding.Unmarshal(b, &v); err != nil {
		return v, errorClass.Wrap(err)
	}
	return v, nil
}

// putFrameHead writes type and length in front of a payload.
func putFrameHead(b []byte, t frameType, size int) {
	b[0] = byte(t)
	binary.BigEndian.PutUint32(b[1:frameHead], uint32(size))
}

// encodeFrame returns a frame with a CBOR payload.
func encodeFrame(t frameType, message any) ([]byte, error) {
	payload, err := encoding.Marshal(message)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	if len(payload) > t.limit() {
		return nil, errorClass.New("frame of type %d has %d bytes, at most %d are allowed", t, len(payload), t.limit())
	}
	b := make([]byte, frameHead+len(payload))
	putFrameHead(b, t, len(payload))
	copy(b[frameHead:], payload)
	return b, nil
}

// readFrameHead reads type and length of the next frame and checks them.
func readFrameHead(r io.Reader) (frameType, int, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, err
	}
	t, size := frameType(head[0]), binary.BigEndian.Uint32(head[1:])
	if uint64(size) > uint64(t.limit()) {
		return 0, 0, errorClass.New("frame of type %d announces %d bytes, at most %d are allowed", t, size, t.limit())
	}
	return t, int(size), nil
}

// readPayload reads a frame's payload. Memory grows with what arrives, not with what is announced.
func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= maxChunk {
		b := make([]byte, size)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(b) < size {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// readMessage reads one frame of the given type.
func readMessage[T any](r io.Reader, want frameType) (T, error) {
	var zero T
	t, size, err := readFrameHead(r)
	if err != nil {
		return zero, err
	}
	if t != want {
		return zero, errorClass.New("frame of type %d, expected %d", t, want)
	}
	b, err := readPayload(r, size)
	if err != nil {
		return zero, err
	}
	return decodeMessage[T](b, want.limit())
}
