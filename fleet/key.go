package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

// memberKey identifies one incarnation of an entry in 8 bytes: the low 32 bits of the hash of its ID, then the
// low 32 bits of the hash of its incarnation. Full IDs of 44 entries would not fit into a datagram.
type memberKey uint64

// nameKey is the part of a memberKey that identifies the entry.
type nameKey uint32

// maxKeys is the maximum size of a decoded KeySet; a group has about 44 entries.
const maxKeys = 1024

func nameKeyOf(id EntryID) nameKey { return nameKey(xxhash.Sum64String(string(id))) }

func (n nameKey) with(i Incarnation) memberKey {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(i))
	return memberKey(uint64(n)<<32 | xxhash.Sum64(b[:])&0xffffffff)
}

func (k memberKey) name() nameKey { return nameKey(k >> 32) }

// KeySet is a sorted set of incarnations of entries. It is encoded as a byte string of 8 bytes per key.
type KeySet []memberKey

// has reports whether the set holds exactly this incarnation.
func (s KeySet) has(k memberKey) bool {
	_, ok := slices.BinarySearch(s, k)
	return ok
}

// hasName reports whether the set holds any incarnation of the entry.
func (s KeySet) hasName(n nameKey) bool {
	i, _ := slices.BinarySearch(s, memberKey(uint64(n)<<32))
	return i < len(s) && s[i].name() == n
}

// digest identifies the content of the set.
func (s KeySet) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, k := range s {
		binary.LittleEndian.PutUint64(b[:], uint64(k))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// MarshalCBOR encodes the set as a byte string.
func (s KeySet) MarshalCBOR() ([]byte, error) {
	b := make([]byte, 0, 8*len(s))
	for _, k := range s {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
	}
	return cbor.Marshal(b)
}

// UnmarshalCBOR decodes a byte string of at most 1,024 keys in strictly ascending order.
func (s *KeySet) UnmarshalCBOR(data []byte) error {
	var b []byte
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Error.Wrap(err)
	}
	if len(b)%8 != 0 || len(b) > 8*maxKeys {
		return Error.New("key set has an invalid length of %d bytes", len(b))
	}
	keys := make(KeySet, 0, len(b)/8)
	for ; len(b) > 0; b = b[8:] {
		k := memberKey(binary.BigEndian.Uint64(b))
		if n := len(keys); n > 0 && keys[n-1] >= k {
			return Error.New("key set is not sorted")
		}
		keys = append(keys, k)
	}
	*s = keys
	return nil
}
