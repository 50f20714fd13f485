package entry

import (
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
)

// minSpillSlots is the minimum number of spare slots of another cell for requests to spill over to it. The
// reported figure is up to one heartbeat old, and several entries may use it at the same time.
const minSpillSlots = 4

// servesSoon reports whether this entry owns the cell and the request would get a slot there soon, so that it need not
// spill over even if no slot is free at the moment.
func (e *Entry) servesSoon(key fleet.CellKey, x *exchange) bool {
	if !e.fleet.view().Owns(key) {
		return false
	}
	cell, ok := e.cells.getOrCreate(key)
	return ok && cell.servesSoon(&pool.Request{Idempotent: x.idempotent, Objective: e.objective(x)})
}

// spillover returns the cell that runs a request of key's pool. If this entry owns key and the cell is
// saturated, another cell of the pool is chosen at random in proportion to the spare slots that its owner
// reported; otherwise it is key itself. Where cells belong to failure domains, one of them may be short of
// targets while another has spare slots.
func (e *Entry) spillover(active *activeTables, key fleet.CellKey) fleet.CellKey {
	if len(active.shardDomains) < 2 {
		return key
	}
	v := e.fleet.view()
	if !v.Owns(key) {
		return key
	}
	if cell, ok := e.cells.getOrCreate(key); !ok || !cell.saturated() {
		return key
	}
	spareSlots := make([]int, len(active.shardDomains))
	for i := range spareSlots {
		other := fleet.CellKey{Pool: key.Pool, Index: i}
		if n := v.SpareSlots(other); n >= minSpillSlots && !v.Owns(other) {
			spareSlots[i] = n
		}
	}
	if i, ok := e.pickWeighted(spareSlots); ok {
		return fleet.CellKey{Pool: key.Pool, Index: i}
	}
	return key
}
