package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/bilberrywood/bilberrywood/memory"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// exchange is one request that this entry handles for a caller or a peer.
type exchange struct {
	peer.ForwardHeader
	// caller is the address of the caller, or "entry" for a forwarded request; for logs.
	caller string
	// callerConn is the caller's connection; nil for a forwarded request.
	callerConn *callerConn
	// requestID is the caller's own ID of the request, for logs; empty if it sent none.
	requestID string
	route     *table.Route
	// arrivedAt is when the request, or its forwarded copy, arrived.
	arrivedAt time.Time
	// pool is the route's pool, or the one chosen from its traffic split.
	pool table.PoolName
	// id is set for requests that may run at most once.
	id *notice.ID
	// priority is the operators' priority of the account or the route; 0 is the highest.
	priority int
	// idempotent means that running the request twice does no harm.
	idempotent bool
	// deadline holds if the VM is not suspended from now on; see Entry.deadline. suspendedBefore is how long it had
	// been suspended when the request arrived.
	deadline        time.Time
	suspendedBefore time.Duration
	responseWriter  peer.ResponseWriter

	body io.Reader
	// Trailer has the announced keys of the request's trailer; the values are set at the end of the body.
	Trailer http.Header
	// abortBody makes pending reads of an unbuffered body return. It is nil for forwarded requests.
	abortBody func()
	// controller is that of the caller's connection. It is nil for forwarded requests.
	controller *http.ResponseController
	// buffered is the complete body if it is small enough to be sent again, else nil.
	buffered []byte
	// bodyPrefix has the first bytes of an unbuffered body of known length, or of one that was read ahead.
	bodyPrefix []byte
	// ahead reads an unbuffered body ahead; nil if it has not been read ahead.
	ahead *aheadBody
	// stream leases an unbuffered body to attempts.
	stream streamedBody
	// holder is charged for the head and the buffered body; nil if nothing is.
	holder *memory.Holder
	// attempts counts the attempts at targets and peers.
	attempts int
	// triedTargets has the targets of the attempts at targets.
	triedTargets []table.TargetID
}

// expireBody makes all reads of a caller's body fail.
func (x *exchange) expireBody() {
	// Reads from a connection with an expired deadline return at once. An error means that the connection is already
	// closed.
	_ = x.controller.SetReadDeadline(longAgo)
}

// errBodyTooLarge is returned by reads of a body that is longer than its route allows.
var errBodyTooLarge = errs.New("body is longer than the route allows")

// limitedBody reads at most remaining bytes and fails with errBodyTooLarge if there are more.
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

// bodyPrefixBytes is how much of an unbuffered body is hashed for its fingerprint.
const bodyPrefixBytes = 4 << 10

// bufferBody buffers a body of at most limit bytes, so that it can be sent again. A longer body is streamed
// after its first bodyPrefixBytes have been read ahead. If the length is unknown, only one read is done ahead,
// and the body is buffered only if it ends with that read. Waiting for more would block callers that wait for
// the response before they send the rest.
func (x *exchange) bufferBody(limit int64) error {
	if x.ContentLength == 0 {
		x.buffered = []byte{}
		return nil
	}
	size := x.ContentLength
	if size > limit {
		size = min(bodyPrefixBytes, limit)
	}
	var prefix []byte
	var err error
	x.holder.Receive()
	if size > 0 {
		prefix, err = readBody(x.body, size, x.holder)
	} else {
		x.holder.Force(memory.Bytes(min(limit, bodyPrefixBytes)))
		prefix, err = readOnce(x.body, limit)
	}
	if !x.holder.Received() {
		err = errMemoryShort
	}
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return Error.Wrap(err)
	case size > 0 && size == x.ContentLength, errors.Is(err, io.EOF) && x.ContentLength < 0:
		x.buffered = prefix
		x.ContentLength = int64(len(prefix))
		return nil
	case errors.Is(err, io.EOF):
		return Error.Wrap(io.ErrUnexpectedEOF)
	}
	if size > 0 {
		x.bodyPrefix = prefix
	}
	x.body = io.MultiReader(bytes.NewReader(prefix), x.body)
	return nil
}

// readOnce returns the bytes of the first read that returns any, at most limit and at most bodyPrefixBytes of
// them, and io.EOF if the body ended with them.
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

// replayable reports whether the body can be sent from its start. It ends the reading of an unbuffered body by the latest
// attempt, which must have ended.
func (x *exchange) replayable() bool { return x.buffered != nil || x.stream.revoke() }

// nextBody returns the body for another attempt. It must only be called if replayable returns true.
func (x *exchange) nextBody() io.Reader {
	if x.buffered != nil {
		return bytes.NewReader(x.buffered)
	}
	return x.stream.lease(x.body)
}

// contentHash returns a hash of the request's content, which is the same for all its retries. It distinguishes
// copies of a request from other requests with the same ID.
func (x *exchange) contentHash() uint64 {
	h := x.hashHead()
	_, _ = h.Write(x.buffered)
	_, _ = h.Write(x.bodyPrefix)
	return h.Sum64()
}

// hashHead returns a hash of what identifies the request besides its body.
func (x *exchange) hashHead() *xxhash.Digest {
	h := xxhash.New()
	// If the route matches all hosts, callers may send the name of whichever entry they connect to.
	host := ""
	if x.route != nil {
		host = x.route.Host
	}
	for _, part := range []string{string(x.Account), x.Method, host, x.TargetURI()} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h
}

// fingerprint identifies the content of a request for the detection of poison requests. It is 0 for an
// unbuffered body of unknown length: a hash without the body would blame all such requests on the path for one
// of them.
func (x *exchange) fingerprint() pool.Fingerprint {
	if x.buffered == nil && x.bodyPrefix == nil {
		return 0
	}
	return pool.Fingerprint(x.contentHash())
}

// headFingerprint identifies the request without its body if its fingerprint is 0, and is 0 otherwise.
func (x *exchange) headFingerprint() pool.Fingerprint {
	if x.fingerprint() != 0 {
		return 0
	}
	h := x.hashHead()
	// Without this, a request with an empty body would have the same hash.
	_, _ = h.WriteString("head")
	return pool.Fingerprint(h.Sum64())
}
