package entry

import (
	"errors"
	"io"

	"github.com/bilberrywood/bilberrywood/memory"
)

const (
	// firstBodyBytes is the most that is allocated for a body before any of it has arrived.
	firstBodyBytes = 16 << 10
	// bodyGrowth is how many times as much is allocated as has arrived. What is left behind is garbage, 1/bodyGrowth of
	// the next buffer.
	bodyGrowth = 8
)

// readBody reads the first size bytes of a body of known length. Its memory, and what the holder is charged for, grow with
// what arrives.
func readBody(r io.Reader, size int64, h *memory.Holder) ([]byte, error) {
	buf := make([]byte, min(size, firstBodyBytes))
	if !h.Grow(memory.Bytes(len(buf))) {
		return nil, errMemoryShort
	}
	filled := 0
	for {
		n, err := io.ReadFull(r, buf[filled:])
		filled += n
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil || int64(filled) == size {
			return buf, err
		}
		larger := make([]byte, min(size, bodyGrowth*int64(len(buf))))
		if !h.Grow(memory.Bytes(len(larger) - len(buf))) {
			return nil, errMemoryShort
		}
		copy(larger, buf)
		buf = larger
	}
}
