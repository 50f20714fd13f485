package fleet

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/table"
)

// hash64 is the hash of a name in rendezvous hashing.
type hash64 uint64

func hashOf(name string) hash64 { return hash64(xxhash.Sum64String(name)) }

func (c CellKey) hash() hash64 {
	return hashOf(string(c.Pool) + "\x00" + strconv.Itoa(c.Index))
}

// weight returns the rendezvous weight of an entry for a key. The entry with the highest weight wins, so that
// the removal of an entry moves only the keys that it had.
func weight(entry, key hash64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(entry))
	binary.LittleEndian.PutUint64(b[8:], uint64(key))
	return xxhash.Sum64(b[:])
}

// rankKey is the key that the candidates for a cell are ranked by.
type rankKey struct {
	hash hash64
	// domain is the preferred failure domain; empty means no preference.
	domain table.FailureDomain
}

// rankAttributes are the properties of an entry that its rank depends on.
type rankAttributes struct {
	hash     hash64
	health   health
	capacity CapacityClass
	domain   table.FailureDomain
}

// Bits of a rank. Health counts most, then the capacity class, the preferred failure domain and the rendezvous
// weight.
const (
	healthShift   = 62
	capacityShift = 58
	domainBit     = 1 << 57
	weightShift   = 7
)

// rank returns the rank of an entry for a cell; the entry with the highest rank owns the cell. Rendezvous
// hashing orders entries that are equal in health, capacity class and preference of their failure domain.
func (k rankKey) rank(r rankAttributes) uint64 {
	rank := uint64(r.health)<<healthShift | uint64(r.capacity)<<capacityShift | weight(r.hash, k.hash)>>weightShift
	if k.domain != "" && k.domain == r.domain {
		rank |= domainBit
	}
	return rank
}

// shardKey returns the key for all cells with an index; it is the same in all pools.
func shardKey(index int, domain table.FailureDomain) rankKey {
	return rankKey{hash: CellKey{Index: index}.hash(), domain: domain}
}

// GroupOfEntry returns the group of an entry, from 0 to groups-1. It depends only on the ID and groups.
func GroupOfEntry(id EntryID, groups int) int {
	return table.EntryGroup(id, groups)
}

// incarnationTimeBits is how many high bits of an incarnation hold the start time. Milliseconds since 1970
// need 41 bits until the year 2039, 42 until 2109.
const incarnationTimeBits = 42

// NewIncarnation returns an incarnation that is higher than all of earlier milliseconds, so that a restarted
// entry replaces its former process at once. random fills the low 22 bits; the lowest is
// always set, so that no incarnation is zero.
func NewIncarnation(unixMilli int64, random uint64) Incarnation {
	low := random & (1<<(64-incarnationTimeBits) - 1)
	return Incarnation(uint64(unixMilli)<<(64-incarnationTimeBits) | low | 1)
}
