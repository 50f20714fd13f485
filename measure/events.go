package measure

import "github.com/bilberrywood/bilberrywood/pool"

// placements says what the events mean for ordinary work. A target that accepts no connections
// gets single attempts only, but does not count as ejected.
var placements = map[pool.EventKind]Placement{
	pool.EventAvoided:     Avoided,
	pool.EventDemoted:     Avoided,
	pool.EventUnreachable: Avoided,
	pool.EventEjected:     Ejected,
	pool.EventReturned:    Serving,
	pool.EventRestored:    Serving,
	pool.EventReachable:   Serving,
}
