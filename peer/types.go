package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// ForwardMode says what the receiving entry must do with a forwarded request.
type ForwardMode uint8

// Modes of forwarding.
const (
	// ForwardAdmit asks the incarnation to which the request ID is bound to decide whether the request may run,
	// and to run it if so.
	ForwardAdmit ForwardMode = iota
	// ForwardPlace asks the owner of the cell to place the request on a target. The sender has already decided
	// that it may run.
	ForwardPlace
)

// ForwardHeader is the first frame of a forwarded request.
type ForwardHeader struct {
	Mode ForwardMode `cbor:"1,keyasint"`
	// To is the entry that must act. Any other receiver relays the request once.
	To   fleet.EntryID `cbor:"2,keyasint"`
	Cell fleet.CellKey `cbor:"3,keyasint"`
	Hops uint8         `cbor:"4,keyasint"`
	// RemainingMs is the time to the deadline in milliseconds. The clocks of two VMs are never compared.
	RemainingMs   int64             `cbor:"5,keyasint"`
	Route         table.RouteName   `cbor:"6,keyasint"`
	Account       table.AccountName `cbor:"7,keyasint,omitempty"`
	Method        string            `cbor:"8,keyasint"`
	URI           string            `cbor:"9,keyasint"`
	Host          string            `cbor:"10,keyasint,omitempty"`
	Header        http.Header       `cbor:"11,keyasint,omitempty"`
	ContentLength int64             `cbor:"12,keyasint"`
	// Revision is that of the tables by which the sender has chosen the route. It is 0 if the sender is of a build
	// that may choose another route from the same tables.
	Revision table.Revision `cbor:"13,keyasint,omitempty"`
	// RawURI replaces URI if it is not UTF-8, which earlier builds require of texts. URI is then escaped.
	RawURI []byte `cbor:"14,keyasint,omitempty"`
	// TokenDigest is the SHA-256 of the request's token, which may be unknown; nil if CheckedRevision is 0 or there is none.
	TokenDigest []byte `cbor:"15,keyasint,omitempty"`
	// CheckedRevision names the tables by which an entry has identified Account by its token, if they identify any. Header
	// then lacks the token, and has the field that names the account to targets if there is one. 0 means that no entry has
	// looked for a token.
	CheckedRevision table.Revision `cbor:"16,keyasint,omitempty"`
}

// SetURI sets the target of the request.
func (h *ForwardHeader) SetURI(uri string) {
	h.URI, h.RawURI = uri, nil
	if !utf8.ValidString(uri) {
		h.URI, h.RawURI = escapeNonASCII(uri), []byte(uri)
	}
}

// TargetURI returns the target of the request as the caller sent it.
func (h *ForwardHeader) TargetURI() string {
	if len(h.RawURI) > 0 {
		return string(h.RawURI)
	}
	return h.URI
}

func escapeNonASCII(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if s[i] < utf8.RuneSelf {
			b.WriteByte(s[i])
			continue
		}
		fmt.Fprintf(&b, "%%%02X", s[i])
	}
	return b.String()
}

// ResponseHeader is the first frame of a response to a forwarded request.
type ResponseHeader struct {
	Status        int         `cbor:"1,keyasint"`
	Header        http.Header `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint"`
	// Announcement is what the response says about the target that it comes from; nil if that is nothing.
	Announcement *fleet.TargetAnnouncement `cbor:"4,keyasint,omitempty"`
}

// Response is a response to a forwarded request, on the sender's side of the request.
type Response struct {
	ResponseHeader
	// Body ends with io.EOF only if the response is complete; Trailer is set by then.
	Body    io.ReadCloser
	Trailer http.Header
}

// ResponseWriter sends a response on the stream of its request.
type ResponseWriter interface {
	// WriteHeader sends the first frame. It is called once.
	WriteHeader(ResponseHeader) error
	io.Writer
	// Finish sends the trailer and marks the response as complete. A response without Finish is reported to
	// the other end as truncated.
	Finish(trailer http.Header) error
}

// PairMessage is an accepted pair of tables on its way to a peer, which checks it again.
type PairMessage struct {
	Revision table.Revision    `cbor:"1,keyasint"`
	Digest   uint64            `cbor:"2,keyasint"`
	Values   map[string][]byte `cbor:"3,keyasint,omitempty"`
}

// PathCheck asks a peer which targets of a pool accept connections from it. Targets that its tables don't list are not
// checked.
type PathCheck struct {
	Pool    table.PoolName   `cbor:"1,keyasint"`
	Targets []table.TargetID `cbor:"2,keyasint"`
}

// PathResult is the response to a PathCheck.
type PathResult struct {
	Reached []table.TargetID `cbor:"1,keyasint,omitempty"`
}

// compressedPair is a PairMessage as it is sent. Tables of many similar rows shrink to about a fifth.
type compressedPair struct {
	Revision   table.Revision    `cbor:"1,keyasint"`
	Digest     uint64            `cbor:"2,keyasint"`
	Compressed map[string][]byte `cbor:"3,keyasint,omitempty"`
}

func compressPair(m PairMessage) (compressedPair, error) {
	w := compressedPair{Revision: m.Revision, Digest: m.Digest, Compressed: make(map[string][]byte, len(m.Values))}
	for name, raw := range m.Values {
		var b bytes.Buffer
		z, err := flate.NewWriter(&b, flate.BestSpeed)
		if err == nil {
			_, err = z.Write(raw)
		}
		if err == nil {
			err = z.Close()
		}
		if err != nil {
			return compressedPair{}, errorClass.Wrap(err)
		}
		w.Compressed[name] = b.Bytes()
	}
	return w, nil
}

// decompress is the inverse of compressPair. The values may have at most maxPairSize bytes together.
func (w compressedPair) decompress() (PairMessage, error) {
	m := PairMessage{Revision: w.Revision, Digest: w.Digest, Values: make(map[string][]byte, len(w.Compressed))}
	remaining := int64(maxPairSize)
	for name, compressed := range w.Compressed {
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), remaining+1))
		if err != nil {
			return PairMessage{}, errorClass.Wrap(err)
		}
		if remaining -= int64(len(raw)); remaining < 0 {
			return PairMessage{}, errorClass.New("pair is longer than %d bytes", maxPairSize)
		}
		m.Values[name] = raw
	}
	return m, nil
}

// Handler handles the messages that arrive from peers.
type Handler interface {
	// Heartbeat is called for each heartbeat whose sender is named by the peer's certificate.
	Heartbeat(fleet.Heartbeat)
	// Forward responds to one forwarded request. ctx ends when the sender cancels the request.
	Forward(ctx context.Context, h ForwardHeader, body io.Reader, w ResponseWriter)
	// Pair returns the active pair if its revision is above after, else the zero message.
	Pair(after table.Revision) PairMessage
	// CheckPaths opens a connection to each target and returns when all have accepted or failed.
	CheckPaths(ctx context.Context, c PathCheck) PathResult
	// Quota returns a grant for each account.
	Quota(ctx context.Context, q QuotaRequest) QuotaResult
}
