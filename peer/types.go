package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/http"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// ForwardMode says what the receiving entry is asked to do.
type ForwardMode uint8

// Modes of forwarding.
const (
	// ForwardAdmit asks the bound incarnation to decide whether the request's id may run.
	ForwardAdmit ForwardMode = iota
	// ForwardPlace asks the owner of the cell to place the request; the sender has decided
	// that it may run.
	ForwardPlace
)

// ForwardHeader is the first frame of a forwarded request.
type ForwardHeader struct {
	Mode ForwardMode `cbor:"1,keyasint"`
	// To is the entry that has to act; a receiver that is not To relays once.
	To   fleet.EntryID `cbor:"2,keyasint"`
	Cell fleet.CellKey `cbor:"3,keyasint"`
	Hops uint8         `cbor:"4,keyasint"`
	// RemainingMs is the time to the deadline; clocks of two VMs are never compared.
	RemainingMs   int64             `cbor:"5,keyasint"`
	Route         table.RouteName   `cbor:"6,keyasint"`
	Account       table.AccountName `cbor:"7,keyasint,omitempty"`
	Method        string            `cbor:"8,keyasint"`
	URI           string            `cbor:"9,keyasint"`
	Host          string            `cbor:"10,keyasint,omitempty"`
	Header        http.Header       `cbor:"11,keyasint,omitempty"`
	ContentLength int64             `cbor:"12,keyasint"`
}

// ResponseHeader is the first frame of an answer to a forwarded request.
type ResponseHeader struct {
	Status        int         `cbor:"1,keyasint"`
	Header        http.Header `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint"`
}

// Response is the receiving side of a forwarded request.
type Response struct {
	ResponseHeader
	// Body ends with io.EOF only if the answer is whole; Trailer is set by then.
	Body    io.ReadCloser
	Trailer http.Header
}

// ResponseWriter sends an answer on the stream of its request.
type ResponseWriter interface {
	// WriteHeader sends the first frame; it is called once.
	WriteHeader(ResponseHeader) error
	io.Writer
	// Finish sends the trailer and marks the answer as whole. An answer without Finish is
	// reported to the other end as truncated.
	Finish(trailer http.Header) error
}

// PairMessage is an accepted pair of tables on its way to a peer, which checks it again.
type PairMessage struct {
	Revision table.Revision    `cbor:"1,keyasint"`
	Digest   uint64            `cbor:"2,keyasint"`
	Values   map[string][]byte `cbor:"3,keyasint,omitempty"`
}

// wirePair is a PairMessage as it is sent: tables of many like rows shrink to about a fifth.
type wirePair struct {
	Revision table.Revision    `cbor:"1,keyasint"`
	Digest   uint64            `cbor:"2,keyasint"`
	Packed   map[string][]byte `cbor:"3,keyasint,omitempty"`
}

func packPair(m PairMessage) (wirePair, error) {
	w := wirePair{Revision: m.Revision, Digest: m.Digest, Packed: make(map[string][]byte, len(m.Values))}
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
			return wirePair{}, errorClass.Wrap(err)
		}
		w.Packed[name] = b.Bytes()
	}
	return w, nil
}

// unpack is the inverse of packPair; the values together may have at most maxPair bytes.
func (w wirePair) unpack() (PairMessage, error) {
	m := PairMessage{Revision: w.Revision, Digest: w.Digest, Values: make(map[string][]byte, len(w.Packed))}
	left := int64(maxPair)
	for name, packed := range w.Packed {
		raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), left+1))
		if err != nil {
			return PairMessage{}, errorClass.Wrap(err)
		}
		if left -= int64(len(raw)); left < 0 {
			return PairMessage{}, errorClass.New("pair is longer than %d bytes", maxPair)
		}
		m.Values[name] = raw
	}
	return m, nil
}

// Handler is the entry's side of the messages that arrive.
type Handler interface {
	// Heartbeat is called for each heartbeat whose sender's certificate names it.
	Heartbeat(fleet.Heartbeat)
	// Forward answers one forwarded request. ctx ends when the sender gives up.
	Forward(ctx context.Context, h ForwardHeader, body io.Reader, w ResponseWriter)
	// Pair returns the pair in force, or the zero message if its revision is not above than.
	Pair(than table.Revision) PairMessage
}
