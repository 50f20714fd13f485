package memory

import (
	"sync/atomic"
	"time"
)

// phase is what a holder is doing. Holders of a lower phase are evicted first.
type phase uint32

const (
	// receiving holders wait for bytes that no one else waits for: the rest of a head or of a body that is being buffered,
	// of which nothing has been passed on, or the rest of a body whose request was answered.
	receiving phase = iota
	// idle holders have no request.
	idle
	// busy holders have a request that no target is running, or that waits for its caller. They are evicted only if there
	// are too many holders.
	busy
	// running holders have a request that a target may be running. They are not evicted.
	running
	evicted
)

// Holder is charged for the memory that one connection or request holds. A nil Holder has no limit. Charges come from the
// goroutine that serves the connection, or from the one that reads ahead for it.
type Holder struct {
	budget *Budget
	evict  func()
	bytes  atomic.Int64
	// leaving is what the holder was charged for when it was evicted.
	leaving atomic.Int64
	// opened is when the holder was opened, and since the time since which it has held its charges.
	opened time.Duration
	since  atomic.Int64
	phase  atomic.Uint32
}

// Grow charges the holder for n more bytes. It returns false, and charges nothing, if the budget has no room or the holder
// was evicted. While the holder has at most SmallHolding there is always room.
func (h *Holder) Grow(n Bytes) bool {
	if h == nil {
		return true
	}
	b := h.budget
	holds := Bytes(h.bytes.Add(int64(n)))
	b.used.Add(int64(n))
	if b.exceeds(b.Limit) {
		b.shed()
	}
	if b.Limit > 0 && holds > SmallHolding {
		if !h.Evicted() && (b.exceeds(b.Limit) || b.Used() > b.Limit*excessNum/excessDen) {
			b.refused.Add(1)
			h.Shrink(n)
			return false
		}
	}
	if h.Evicted() {
		h.Shrink(n)
		return false
	}
	return true
}

// Force charges the holder for n bytes that it holds whether there is room or not.
func (h *Holder) Force(n Bytes) { h.Shrink(-n) }

// Shrink gives back n bytes.
func (h *Holder) Shrink(n Bytes) {
	if h == nil {
		return
	}
	h.bytes.Add(-int64(n))
	h.budget.used.Add(-int64(n))
}

// Receive says that the rest of a head or body is awaited. It returns false if the holder was evicted.
func (h *Holder) Receive() bool {
	if h == nil {
		return true
	}
	if h.phase.CompareAndSwap(uint32(idle), uint32(receiving)) {
		h.since.Store(int64(h.budget.Now()))
		return true
	}
	return h.to(receiving)
}

// Received says that the head or body is complete. It returns false if the holder was evicted before.
func (h *Holder) Received() bool { return h.to(busy) }

// Run says that a target may run the request from now on, until Busy is called. It returns false if the holder was evicted.
func (h *Holder) Run() bool { return h.to(running) }

// Busy says that no target runs the request any more.
func (h *Holder) Busy() { h.to(busy) }

// AwaitCaller says that a request which is running waits for its caller, to send more of the body or to read more of the
// response. It returns false if the request is not running.
func (h *Holder) AwaitCaller() bool {
	return h != nil && h.phase.CompareAndSwap(uint32(running), uint32(busy))
}

// Resume ends AwaitCaller. It has no effect if the request was answered or evicted meanwhile.
func (h *Holder) Resume() { h.phase.CompareAndSwap(uint32(busy), uint32(running)) }

// Discard says that the request was answered and only the rest of its body is awaited.
func (h *Holder) Discard() { h.to(receiving) }

// Idle says that no request is being served, and gives back all charges but those for keep bytes.
func (h *Holder) Idle(keep Bytes) {
	if h == nil {
		return
	}
	h.shrinkTo(keep)
	h.since.Store(int64(h.budget.Now()))
	h.to(idle)
}

// Linger says that the connection is only read to its end, and gives back all charges.
func (h *Holder) Linger() {
	if h == nil {
		return
	}
	h.shrinkTo(0)
	h.to(receiving)
}

func (h *Holder) shrinkTo(keep Bytes) { h.Shrink(Bytes(h.bytes.Load()) - keep) }

// to changes the phase, unless the holder was evicted.
func (h *Holder) to(p phase) bool {
	if h == nil {
		return true
	}
	for {
		old := h.phase.Load()
		if phase(old) == evicted {
			return false
		}
		if h.phase.CompareAndSwap(old, uint32(p)) {
			return true
		}
	}
}

// Evicted reports whether the holder has to give way.
func (h *Holder) Evicted() bool { return h != nil && phase(h.phase.Load()) == evicted }

// MayLinger reports whether an evicted holder may take its time to close: while few others do, so that they keep no others out.
func (h *Holder) MayLinger() bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.MaxHolders == 0 || b.gone <= b.MaxHolders/evictedDen/2
}

// Close gives back all charges. It must be called once, when the holder is charged no more.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	if _, ok := b.holders[h]; ok {
		delete(b.holders, h)
		if h.Evicted() {
			b.gone--
			b.leaving.Add(-h.leaving.Load())
		}
		if b.room != nil && b.hasRoom() {
			close(b.room)
			b.room = nil
		}
	}
	b.mu.Unlock()
	h.Shrink(Bytes(h.bytes.Load()))
}
