package entry

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// leastSpare is the least spare capacity of another cell, in requests, for which a request is passed on to it: the
// figure is up to a heartbeat old, and several entries may use it at the same time.
const leastSpare = 4

// relieve returns a cell of the same pool that can run a request at once if this entry's own cell can't, chosen at
// random in proportion to what its owner said it can run; else the cell itself. Where cells belong to failure domains,
// one of them may be short of targets while another has plenty.
func (e *Entry) relieve(force *inForce, key fleet.CellKey) fleet.CellKey {
	if len(force.shards) < 2 {
		return key
	}
	v := e.fleet.view()
	if !v.Owns(key) {
		return key
	}
	if cell, ok := e.cells.get(key); !ok || !cell.full() {
		return key
	}
	spare := make([]int, len(force.shards))
	for i := range spare {
		other := fleet.CellKey{Pool: key.Pool, Index: i}
		if n := v.SpareSlots(other); n >= leastSpare && !v.Owns(other) {
			spare[i] = n
		}
	}
	if i, ok := e.pickWeighted(spare); ok {
		return fleet.CellKey{Pool: key.Pool, Index: i}
	}
	return key
}
