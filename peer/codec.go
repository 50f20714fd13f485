package peer

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Maximum sizes of messages in bytes.
const (
	// maxHeartbeatSize is the size that a QUIC datagram can have on every path.
	maxHeartbeatSize = 1200
	// maxHeaderSize is the maximum size of a forward header, a response header or a trailer. It holds the largest
	// request header that an entry accepts.
	maxHeaderSize = 2 << 20
	// maxHeaderFields is the maximum number of fields of a header, and of values of a field. A field takes three bytes at
	// least, so that no header of maxHeaderSize has more. The decoder counts them before it allocates memory for them.
	maxHeaderFields = maxHeaderSize / 3
	// maxBodyFrame is the maximum payload of a body frame.
	maxBodyFrame = 32 << 10
	// maxPairSize is the maximum size of a pair of tables; the platform holds values of up to 1 MB.
	maxPairSize = 16 << 20
	// maxPathCheckSize is the maximum size of a path check and of its result.
	maxPathCheckSize = 4 << 10
	// maxQuotaSize is the maximum size of a request for credit and of its result.
	maxQuotaSize = 32 << 10
	// frameHeaderSize is the size of a frame's type and length.
	frameHeaderSize = 5
)

// frameType is the first byte of a frame.
type frameType uint8

// Types of frames on a stream. A forwarded request consists of frameForward, any number of frameBody, and
// frameEnd. Its response consists of frameResponse, any number of frameBody, and frameEnd with the trailer.
const (
	frameForward frameType = iota + 1
	frameResponse
	frameBody
	frameEnd
	frameFetch
	framePair
	framePathCheck
	framePathResult
	frameQuota
	frameQuotaResult
)

// limit returns the maximum payload of a frame in bytes; 0 for an unknown type.
func (t frameType) limit() int {
	switch t {
	case frameForward, frameResponse, frameEnd:
		return maxHeaderSize
	case frameBody:
		return maxBodyFrame
	case frameFetch:
		return 64
	case framePair:
		return maxPairSize
	case framePathCheck, framePathResult:
		return maxPathCheckSize
	case frameQuota, frameQuotaResult:
		return maxQuotaSize
	}
	return 0
}

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  6,
		MaxArrayElements: maxHeaderFields,
		MaxMapPairs:      maxHeaderFields,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// Header values may be of any encoding.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode())
)

// must panics on an error; it is used for constant options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeHeartbeat returns the datagram for a heartbeat.
func encodeHeartbeat(h fleet.Heartbeat) ([]byte, error) {
	b, err := encMode.Marshal(h)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	if len(b) > maxHeartbeatSize {
		return nil, errorClass.New("heartbeat of %d bytes is larger than %d", len(b), maxHeartbeatSize)
	}
	return b, nil
}

// decodeMessage decodes a message of at most limit bytes.
func decodeMessage[T any](b []byte, limit int) (T, error) {
	var v T
	if len(b) > limit {
		return v, errorClass.New("message of %d bytes is larger than %d", len(b), limit)
	}
	if err := decMode.Unmarshal(b, &v); err != nil {
		return v, errorClass.Wrap(err)
	}
	return v, nil
}

// putFrameHeader writes the frame header in front of a payload.
func putFrameHeader(b []byte, t frameType, size int) {
	b[0] = byte(t)
	binary.BigEndian.PutUint32(b[1:frameHeaderSize], uint32(size))
}

// encodeFrame returns a frame with a CBOR payload.
func encodeFrame(t frameType, message any) ([]byte, error) {
	payload, err := encMode.Marshal(message)
	if err != nil {
		return nil, errorClass.Wrap(err)
	}
	if len(payload) > t.limit() {
		return nil, errorClass.New("frame of type %d has %d bytes, at most %d are allowed", t, len(payload), t.limit())
	}
	b := make([]byte, frameHeaderSize+len(payload))
	putFrameHeader(b, t, len(payload))
	copy(b[frameHeaderSize:], payload)
	return b, nil
}

// readFrameHeader reads and checks the type and length of the next frame.
func readFrameHeader(r io.Reader) (frameType, int, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	t, size := frameType(header[0]), binary.BigEndian.Uint32(header[1:])
	if uint64(size) > uint64(t.limit()) {
		return 0, 0, errorClass.New("frame of type %d announces %d bytes, at most %d are allowed", t, size, t.limit())
	}
	return t, int(size), nil
}

// readPayload reads a frame's payload. Memory grows with the bytes that arrive, not with the announced size.
func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= maxBodyFrame {
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
	t, size, err := readFrameHeader(r)
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
