package fleet

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/table"
)

// hash64 is the hash of a name that takes part in rendezvous hashing.
type hash64 uint64

func hashOf(name string) hash64 { return hash64(xxhash.Sum64String(name)) }

func (c CellKey) hash() hash64 {
	return hashOf(string(c.Pool) + "\x00" + strconv.Itoa(c.Index))
}

// weight is the rendezvous weight of an entry for a key. The entry with the highest weight wins;
// removing an entry moves only the keys that it had.
func weight(entry, key hash64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(entry))
	binary.LittleEndian.PutUint64(b[8:], uint64(key))
	return xxhash.Sum64(b[:])
}

// rankKeyOf is what the owners of a cell are ranked by.
type rankKey struct {
	hash hash64
	// domain is the failure domain whose entries come first; empty if none does.
	domain table.FailureDomain
}

// rankAttributes is what an entry's rank follows from.
type rankAttributes struct {
	hash     hash64
	degraded bool
	capacity CapacityClass
	domain   table.FailureDomain
}

// Places of the parts of a rank: fitness counts most, then the capacity, then the failure domain, then the rendezvous
// weight.
const (
	healthyBit    = 1 << 63
	capacityShift = 59
	domainBit     = 1 << 58
	weightShift   = 6
)

// rank orders entries for a cell; the entry with the highest rank owns it. Entries with equal capacity in one
// failure domain are ordered by rendezvous hashing.
func (k rankKey) rank(r rankAttributes) uint64 {
	rank := uint64(r.capacity)<<capacityShift | weight(r.hash, k.hash)>>weightShift
	if k.domain != "" && k.domain == r.domain {
		rank |= domainBit
	}
	if !r.degraded {
		rank |= healthyBit
	}
	return rank
}

// shardKey ranks the owners of the cells of a shard.
func shardKey(index int, domain table.FailureDomain) rankKey {
	return rankKey{hash: CellKey{Index: index}.hash(), domain: domain}
}

// GroupOfEntry returns the group of an entry, from 0 to groups-1. It depends on the name only.
func GroupOfEntry(id EntryID, groups int) int {
	return table.EntryGroup(id, groups)
}

// incarnationTimeBits is how many high bits of an incarnation hold the start time: milliseconds since
// 1970 need 41 bits until the year 2039, 42 until 2109.
const incarnationTimeBits = 42

// NewIncarnation returns an incarnation that is higher than all that were drawn in earlier milliseconds,
// so that a restarted entry replaces its former process at once. random fills the low 22 bits.
func NewIncarnation(unixMilli int64, random uint64) Incarnation {
	low := random & (1<<(64-incarnationTimeBits) - 1)
	return Incarnation(uint64(unixMilli)<<(64-incarnationTimeBits) | low | 1)
}
