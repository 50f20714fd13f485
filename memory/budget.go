// Package memory accounts for the memory that callers make a process hold, and decides who gives way when it runs short.
//
// Each connection, and each request of a peer, is a Holder. It is charged for what it costs, not for what was sent. When
// the sum exceeds the budget, the holders that are still sending and hold most for longest are evicted. When there are too
// many connections, idle ones follow, and then those with a request that no target is running.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// SmallHolding is what a holder may always have, so that an ordinary request without a large body is served while
	// others hold too much. A head of 2 KB with 20 fields costs about a third of it.
	SmallHolding Bytes = 16 << 10
	// connectionBytes is what a connection costs besides its charges. It only ranks holders: the number of connections
	// has a limit of its own.
	connectionBytes Bytes = 16 << 10
	// An eviction goes on until lowMarkNum/lowMarkDen of the limits are in use, so that the next one is some way off.
	lowMarkNum, lowMarkDen = 7, 8
	// Of MaxHolders, one in newcomersDen may be receiving before they give way to holders of later phases. Otherwise those that
	// have just connected would be the first to go while all others are busy.
	newcomersDen = 8
	// leastTime is how long a holder may stay when there are too many. If a crowd that connects again at once made holders give
	// way sooner, none would be served.
	leastTime = 200 * time.Millisecond
	// While MaxHolders and one in evictedDen more are open, with evicted ones that have not closed yet, no further one is opened.
	evictedDen = 16
	// shedPause bounds the processor time that is spent while no holder can be evicted.
	shedPause = 10 * time.Millisecond
	// Charges are refused while excessNum/excessDen of the limit are in use, with what evicted holders have yet to free.
	excessNum, excessDen = 5, 4
)

// Budget bounds the sum of what its holders are charged for. Its exported fields must be set before Open.
type Budget struct {
	// Limit is the sum of all charges; 0 means no limit.
	Limit Bytes
	// MaxHolders is the number of holders that can be evicted, as connections can; 0 means no limit.
	MaxHolders int
	// Now returns a monotonic time.
	Now func() time.Duration
	// OnShed is called after each eviction of one or more holders; nil means not.
	OnShed func(Shed)

	used, refused atomic.Int64
	// leaving is the part of used that evicted holders have not given back yet.
	leaving atomic.Int64

	mu sync.Mutex
	// holders has those that can be evicted; gone counts those of them that were evicted and are not closed.
	holders map[*Holder]struct{}
	gone    int
	// room is closed when there is room for another holder; nil if nobody waits for it.
	room chan struct{}
	// nextShed is when holders are looked at again after none could be evicted.
	nextShed time.Duration
}

// Shed describes an eviction.
type Shed struct {
	// Used and Holders are what was in use before.
	Used    Bytes
	Holders int
	// Evicted and Freed are how many holders were evicted, and what they were charged for.
	Evicted int
	Freed   Bytes
	// Idle is how many of the evicted holders had no request, and Busy how many had one that was complete.
	Idle, Busy int
	// LongestHeld is the longest time that one of the evicted had held its charges.
	LongestHeld time.Duration
}

// Used returns the sum of all charges.
func (b *Budget) Used() Bytes { return Bytes(b.used.Load()) }

// Refused returns how many charges were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Open returns a holder that is receiving, or busy if evict is nil. evict is called at most once, on any goroutine that charges
// the budget; it must not block, nor charge. A holder without evict is never evicted. Open evicts others if there are too many.
// The holders of a nil Budget are nil.
func (b *Budget) Open(evict func()) *Holder {
	if b == nil {
		return nil
	}
	h := &Holder{budget: b, evict: evict, opened: b.Now()}
	h.since.Store(int64(h.opened))
	if evict == nil {
		h.phase.Store(uint32(busy))
		return h
	}
	h.phase.Store(uint32(receiving))
	b.mu.Lock()
	if b.holders == nil {
		b.holders = make(map[*Holder]struct{})
	}
	b.holders[h] = struct{}{}
	tooMany := b.tooMany(b.MaxHolders)
	b.mu.Unlock()
	if tooMany {
		b.shed()
	}
	return h
}

// AwaitRoom returns a channel that is closed when there is room for another holder, nil if there is. Evicted holders that are not
// closed yet count too. A nil Budget always has room. Room may also come by MakeRoom after some time.
func (b *Budget) AwaitRoom() <-chan struct{} {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hasRoom() {
		return nil
	}
	if b.room == nil {
		b.room = make(chan struct{})
	}
	return b.room
}

// MakeRoom evicts holders if there are too many that have been there for long enough.
func (b *Budget) MakeRoom() { b.shed() }

// hasRoom reports whether another holder may be opened. b.mu must be held.
func (b *Budget) hasRoom() bool {
	return b.MaxHolders == 0 || len(b.holders) <= b.MaxHolders+b.MaxHolders/evictedDen
}

// tooMany reports whether more than limit holders were not evicted. b.mu must be held.
func (b *Budget) tooMany(limit int) bool { return b.MaxHolders > 0 && len(b.holders)-b.gone > limit }

func (b *Budget) exceeds(limit Bytes) bool {
	return b.Limit > 0 && Bytes(b.used.Load()-b.leaving.Load()) > limit
}

// candidate is a holder as it is ranked for eviction.
type candidate struct {
	holder *Holder
	phase  phase
	bytes  Bytes
	// age is how long it has held its charges, open how long it has been open.
	age, open time.Duration
}

// shed evicts holders until both limits are kept with some room. If those that can't be evicted leave no such room, the
// others are evicted only if they hold more than SmallHolding.
func (b *Budget) shed() {
	b.mu.Lock()
	result := Shed{Used: b.Used(), Holders: len(b.holders) - b.gone}
	now := b.Now()
	if now < b.nextShed || !b.exceeds(b.Limit) && !b.tooMany(b.MaxHolders) {
		b.mu.Unlock()
		return
	}
	candidates, evictable := b.candidates(now)
	fixed := Bytes(b.used.Load()-b.leaving.Load()) - evictable
	hopeless := fixed > b.Limit*lowMarkNum/lowMarkDen
	receivers := 0
	for _, c := range candidates {
		if c.phase == receiving {
			receivers++
		}
	}
	for _, c := range candidates {
		short := b.exceeds(b.Limit*lowMarkNum/lowMarkDen) && (!hopeless || c.bytes > SmallHolding) && c.bytes > 0 && c.phase != busy
		crowded := b.tooMany(b.MaxHolders*lowMarkNum/lowMarkDen) && c.open >= leastTime &&
			(c.phase != receiving || receivers > b.MaxHolders/newcomersDen)
		if (short || crowded) && b.evict(c, &result) && c.phase == receiving {
			receivers--
		}
	}
	for _, c := range candidates {
		// The others are running.
		if c.phase == receiving && c.open >= leastTime && b.tooMany(b.MaxHolders) {
			b.evict(c, &result)
		}
	}
	if result.Evicted == 0 {
		b.nextShed = now + shedPause
	}
	b.mu.Unlock()
	if result.Evicted > 0 && b.OnShed != nil {
		b.OnShed(result)
	}
}

// evict evicts a holder, unless it has changed its phase, and adds it to a sum. b.mu must be held.
func (b *Budget) evict(c candidate, sum *Shed) bool {
	if !c.holder.phase.CompareAndSwap(uint32(c.phase), uint32(evicted)) {
		return false
	}
	b.gone++
	b.leaving.Add(int64(c.bytes))
	c.holder.leaving.Store(int64(c.bytes))
	sum.Evicted++
	sum.Freed += c.bytes
	switch c.phase {
	case idle:
		sum.Idle++
	case busy:
		sum.Busy++
	}
	sum.LongestHeld = max(sum.LongestHeld, c.age)
	c.holder.evict()
	return true
}

// candidates returns the holders that can be evicted, by phase and then first the one that holds most for longest, and the
// sum of what can be evicted for memory. b.mu must be held.
func (b *Budget) candidates(now time.Duration) ([]candidate, Bytes) {
	var sum Bytes
	var all []candidate
	for h := range b.holders {
		c := candidate{h, phase(h.phase.Load()), Bytes(h.bytes.Load()), now - time.Duration(h.since.Load()), now - h.opened}
		if c.phase > busy {
			continue
		}
		all = append(all, c)
		if c.phase != busy {
			sum += c.bytes
		}
	}
	weight := func(c candidate) float64 { return float64(c.bytes+connectionBytes) * c.age.Seconds() }
	slices.SortFunc(all, func(a, b candidate) int {
		if a.phase != b.phase {
			return cmp.Compare(a.phase, b.phase)
		}
		return cmp.Compare(weight(b), weight(a))
	})
	return all, sum
}
