package entry

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// minSpillSlots is the least spare capacity of another cell, in requests, for which a request is passed on to it: the
// figure is up to a heartbeat old, and several entries may use it at the same time.
const minSpillSlots = 4

// spillover returns a cell of the same pool that can run a request at once if this entry's own cell can't, chosen at
// random in proportion to what its owner said it can run; else the cell itself. Where cells belong to failure domains,
// one of them may be short of targets while another has plenty.
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
