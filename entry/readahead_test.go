package entry

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendPieces returns a body that arrives in pieces, the next one after interval, and ends with err.
func sendPieces(interval time.Duration, err error, pieces ...string) io.Reader {
	r, w := io.Pipe()
	go func() {
		for i, piece := range pieces {
			if i > 0 {
				time.Sleep(interval)
			}
			_, _ = io.WriteString(w, piece) // the test ends without reading all
		}
		_ = w.CloseWithError(err)
	}()
	return r
}

// Guards against a body in chunks that has no fingerprint, or one that depends on how the chunks arrive, and against a
// body that is passed on with other bytes than those that arrived.
func TestReadAhead(t *testing.T) {
	const soon, limit = 10 * time.Millisecond, 5 * time.Second
	errCut := errors.New("cut off")
	long := string(make([]byte, bodyPrefixBytes)) + strings.Repeat("the rest ", 200)
	fingerprint := func(body string) uint64 {
		x := &exchange{bodyPrefix: []byte(body[:min(len(body), bodyPrefixBytes)])}
		return uint64(x.fingerprint())
	}
	for _, c := range []struct {
		name     string
		interval time.Duration
		limit    time.Duration
		end      error
		pieces   []string
		buffered bool
		known    bool
		failed   bool
	}{
		{"short", soon, limit, io.EOF, []string{"a short ", "body"}, true, true, false},
		{"long", soon, limit, io.EOF, []string{long[:100], long[100:5000], long[5000:]}, false, true, false},
		{"long in other pieces", soon, limit, io.EOF, []string{long[:3000], long[3000:4000], long[4000:]}, false, true, false},
		{"of the length of the prefix", soon, limit, io.EOF, []string{long[:1], long[1:bodyPrefixBytes]}, false, true, false},
		{"too late", 200 * time.Millisecond, soon, io.EOF, []string{"a part ", "and a later one"}, false, false, false},
		{"cut off", soon, limit, errCut, []string{"a part"}, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Join(c.pieces, "")
			x := &exchange{body: sendPieces(c.interval, c.end, c.pieces...)}
			x.ContentLength = -1
			is.NoErr(x.bufferBody(64 << 10))
			is.Equal(uint64(x.fingerprint()), uint64(0))
			is.True(x.headFingerprint() != 0)
			err := x.readAhead(t.Context(), bodyPrefixBytes, c.limit)
			is.Equal(err != nil, c.failed)
			is.Equal(x.fingerprint() != 0, c.known)
			is.Equal(x.headFingerprint() == 0, c.known)
			is.Equal(x.buffered != nil, c.buffered)
			if c.failed {
				return
			}
			if c.known {
				is.Equal(uint64(x.fingerprint()), fingerprint(body))
			}
			is.True(x.replayable())
			got, err := io.ReadAll(x.nextBody())
			is.NoErr(err)
			is.Equal(string(got), body)
		})
	}
}

// Guards against a request with an empty body that counts as one whose body isn't known.
func TestHeadIsNoFingerprint(t *testing.T) {
	is := is.New(t)
	empty, unknown := &exchange{}, &exchange{}
	is.NoErr(empty.bufferBody(1))
	unknown.ContentLength = -1
	is.True(empty.fingerprint() != unknown.headFingerprint())
}
