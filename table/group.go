package table

import "github.com/cespare/xxhash/v2"

// PoolGroup returns the group of entries, 0 to groups-1, that serves a pool. It depends only on the name
// and the number of groups, so that a change of liveness never moves a pool to another group.
func PoolGroup(pool PoolName, groups int) int {
	return rendezvous(xxhash.Sum64String(string(pool)), groups)
}

// EntryGroup returns the group of an entry: hash(entry ID) mod groups.
func EntryGroup[ID ~string](id ID, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(id)) % uint64(groups))
}

// rendezvous returns the bucket, 0 to n-1, with the highest weight for the key.
func rendezvous(key uint64, n int) int {
	return rendezvousAmong(key, n, func(int) bool { return true })
}

// rendezvousAmong returns the allowed bucket with the highest weight for the key, or 0 if none is
// allowed.
func rendezvousAmong(key uint64, n int, allowed func(bucket int) bool) int {
	best, bestWeight := 0, uint64(0)
	for i := range n {
		if !allowed(i) {
			continue
		}
		// The multiplier is the golden ratio in 64 bits. It spreads consecutive bucket numbers.
		weight := mix(key ^ mix(uint64(i+1)*0x9e3779b97f4a7c15))
		if weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// mix is the finalizer of MurmurHash3: every input bit changes every output bit with probability 1/2.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashNames hashes two names with a separator that can't occur in them.
func hashNames(a, b string) uint64 {
	var buffer [2*maxNameLength + 1]byte
	key := append(buffer[:0], a...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, b...))
}
