package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// exchange is one request on its way through this entry, from a caller or from a peer.
type exchange struct {
	peer.ForwardHeader
	// caller is the address of the caller or the id of the peer, for logs.
	caller string
	// requestID is the caller's own id of the request, for logs; empty if it gave none.
	requestID string
	route     *table.Route
	// arrivedAt is when the request, or its forwarded copy, came in.
	arrivedAt time.Time
	// pool is where the request goes: the route's pool, or one of its split.
	pool table.PoolName
	// id is set for requests that may run at most once.
	id *notice.ID
	// idempotent says that a second run does no harm.
	idempotent     bool
	deadline       time.Time
	responseWriter peer.ResponseWriter

	body io.Reader
	// Trailer has the announced keys of the request's trailer; values come with the body's end.
	Trailer http.Header
	// abortBody makes reads of a body that is not kept return; nil if it is kept.
	abortBody func()
	// buffered has the whole body if it is small enough to be sent again; nil otherwise.
	buffered []byte
	// bodyPrefix has the first bytes of a body of known length that is not kept.
	bodyPrefix []byte
	// bodyRead says that bytes of a body that is not kept have been read.
	bodyRead bool
	// attempts counts the attempts at targets and peers.
	attempts int
}

// errBodyTooLarge is returned by reads of a body that is longer than its route allows.
var errBodyTooLarge = errs.New("body is longer than the route allows")

// limitedBody reads at most left bytes and fails with errBodyTooLarge if there are more.
type limitedBody struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// bodyPrefixBytes is how much of a body that is not kept goes into its fingerprint.
const bodyPrefixBytes = 4 << 10

// bufferBody reads the body into memory if it has at most limit bytes, so that it can be sent again.
// Longer bodies stay streams, of which the first bodyPrefixBytes are read ahead. Of a body of unknown
// length only what the first read brings is read ahead: waiting for more would stall callers that
// wait for the answer before they send the rest.
func (x *exchange) bufferBody(limit int64) error {
	if x.ContentLength == 0 {
		x.buffered = []byte{}
		return nil
	}
	size := x.ContentLength
	if size > limit {
		size = min(bodyPrefixBytes, limit)
	}
	var head []byte
	var err error
	if size > 0 {
		head = make([]byte, size)
		_, err = io.ReadFull(x.body, head)
	} else {
		head, err = readOnce(x.body, limit)
	}
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return Error.Wrap(err)
	case size > 0 && size == x.ContentLength, errors.Is(err, io.EOF) && x.ContentLength < 0:
		x.buffered = head
		x.ContentLength = int64(len(head))
		return nil
	case errors.Is(err, io.EOF):
		return Error.Wrap(io.ErrUnexpectedEOF)
	}
	if size > 0 {
		x.bodyPrefix = head
	}
	x.body = io.MultiReader(bytes.NewReader(head), x.body)
	return nil
}

// readOnce returns the bytes of one successful read of at most limit bytes, and io.EOF if the body
// ended with them.
func readOnce(r io.Reader, limit int64) ([]byte, error) {
	buf := make([]byte, min(limit, bodyPrefixBytes))
	n, err := 0, error(nil)
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
		if m > 0 && err == nil {
			break
		}
	}
	return buf[:n], err
}

// replayable says that the body can be sent again from its start.
func (x *exchange) replayable() bool { return x.buffered != nil || !x.bodyRead }

// nextBody returns the body for another attempt; replayable must hold.
func (x *exchange) nextBody() io.Reader {
	if x.buffered != nil {
		return bytes.NewReader(x.buffered)
	}
	return readFunc(func(b []byte) (int, error) {
		x.bodyRead = true
		return x.body.Read(b)
	})
}

type readFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(b []byte) (int, error) { return f(b) }

// contentHash is a hash of the request that is the same for every resend of it. It tells copies of an
// id from other requests.
func (x *exchange) contentHash() uint64 {
	h := xxhash.New()
	// Callers of a route for all hosts may name whichever entry they connect to.
	host := ""
	if x.route != nil {
		host = x.route.Host
	}
	for _, part := range []string{string(x.Account), x.Method, host, x.URI} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.buffered)
	_, _ = h.Write(x.bodyPrefix)
	return h.Sum64()
}

// fingerprint identifies a request's content for the detection of poison requests. It is zero for
// a body of unknown length that is not kept: a hash without the body would blame every
// such request on the path for one of them.
func (x *exchange) fingerprint() pool.Fingerprint {
	if x.buffered == nil && x.bodyPrefix == nil {
		return 0
	}
	return pool.Fingerprint(x.contentHash())
}

// remainingMs returns the time to the deadline in milliseconds, at least 0.
func (x *exchange) remainingMs() int64 { return max(0, time.Until(x.deadline).Milliseconds()) }
