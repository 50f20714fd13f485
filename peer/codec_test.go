package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// fuzzDecoder checks that a decoder does not panic, and that what it accepts can be encoded and decoded again.
func fuzzDecoder[T any](f *testing.F, limit int, seeds ...T) {
	for _, s := range seeds {
		b, err := encMode.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add([]byte{0x9f, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 100)) // nested arrays
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := decodeMessage[T](data, limit)
		if err != nil {
			return
		}
		encoded, err := encMode.Marshal(v)
		if err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
		if len(encoded) > limit { // unknown keys are dropped, so a message grows only by defaults
			return
		}
		w, err := decodeMessage[T](encoded, limit)
		if err != nil {
			t.Fatalf("encoded message can't be decoded: %v", err)
		}
		if last, _ := encMode.Marshal(w); !bytes.Equal(encoded, last) {
			t.Fatalf("message changed: %x, then %x", encoded, last)
		}
	})
}

// Guards against heartbeats of a faulty or unverified peer that crash an entry or exhaust its memory.
func FuzzHeartbeat(f *testing.F) {
	fuzzDecoder(f, maxHeartbeatSize, fleet.Heartbeat{From: "a", Incarnation: 7, Full: true,
		TwoWayLinks: fleet.KeySet{1, 2, 9}, ReceiverIncarnation: 3,
		Claims:     []fleet.CellClaim{{Cell: fleet.CellKey{Pool: "mengen-buch", Index: 1}}},
		KnownPeers: []fleet.KnownPeer{{ID: "b", PeerAddress: "10.0.0.1:1"}}, Poison: []uint64{1}}, fleet.Heartbeat{From: "b"})
}

// Guards against forwarded requests that crash an entry.
func FuzzForwardHeader(f *testing.F) {
	fuzzDecoder(f, maxHeaderSize, ForwardHeader{
		To: "a", Method: "POST", URI: "/x?y", Header: http.Header{"A": {"b", "c"}}, ContentLength: -1,
	})
}

// Guards against responses that crash an entry.
func FuzzAnswerHeader(f *testing.F) {
	fuzzDecoder(f, maxHeaderSize, ResponseHeader{Status: 200, Header: http.Header{"A": {"b"}}, ContentLength: 3})
}

// Guards against pairs that crash an entry.
func FuzzPairMessage(f *testing.F) {
	fuzzDecoder(f, maxPairSize, PairMessage{
		Revision: 3, Digest: 4, Values: map[string][]byte{"tables/routes": []byte("{}")},
	})
}

// Guards against compressed pairs that crash an entry, that take more memory than a pair may have, or that
// change in transfer.
func FuzzPackedPair(f *testing.F) {
	f.Add([]byte("{}"), true)
	f.Add(bytes.Repeat([]byte("x"), 1<<16), true)
	f.Add([]byte{1, 2, 3}, false)
	f.Fuzz(func(t *testing.T, raw []byte, valid bool) {
		is := is.New(t)
		if !valid {
			_, _ = compressedPair{Compressed: map[string][]byte{"tables/routes": raw}}.decompress()
			return
		}
		compressed, err := compressPair(PairMessage{Revision: 7, Values: map[string][]byte{"tables/routes": raw}})
		is.NoErr(err)
		m, err := compressed.decompress()
		is.NoErr(err)
		is.True(bytes.Equal(m.Values["tables/routes"], raw))
	})
}

// Guards against taking bodies for complete that have no end frame, or a frame with too large an announced
// size.
func FuzzBody(f *testing.F) {
	complete := &strings.Builder{}
	if err := writeBody(complete, strings.NewReader("body")); err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(complete.String()))
	f.Add([]byte(complete.String()[:8]))
	f.Add([]byte{byte(frameBody), 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{byte(frameEnd), 0, 0, 0, 2, 0xa1, 0x61})
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := io.ReadAll(&bodyReader{r: bytes.NewReader(data)})
		if err == nil && !bytes.Contains(data, []byte{byte(frameEnd), 0}) {
			t.Fatalf("body %q without an end frame is reported as complete", body)
		}
		if errors.Is(err, io.EOF) {
			t.Fatal("a truncated body ends with io.EOF")
		}
	})
}

// Guards against sending frames that exceed the limits.
func TestFrameLimits(t *testing.T) {
	is := is.New(t)
	_, err := encodeFrame(frameForward, ForwardHeader{URI: strings.Repeat("x", maxHeaderSize)})
	is.True(err != nil)
	_, err = encodeHeartbeat(fleet.Heartbeat{From: fleet.EntryID(strings.Repeat("x", maxHeartbeatSize))})
	is.True(err != nil)
}
