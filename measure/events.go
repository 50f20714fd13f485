package measure

import "github.com/bilberrywood/bilberrywood/pool"

// placements maps events to the placement that they bring about. A target that accepts no connections
// gets single attempts only; it counts as avoided, not as ejected.
var placements = map[pool.EventKind]Placement{
	pool.EventAvoided:          Avoided,
	pool.EventEjectionReverted: Avoided,
	pool.EventUnreachable:      Avoided,
	pool.EventEjected:          Ejected,
	pool.EventReturned:         Serving,
	pool.EventRestored:         Serving,
	pool.EventReachable:        Serving,
}
