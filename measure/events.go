package measure

import "github.com/bilberrywood/bilberrywood/pool"

// Kinds of event that change a target's placement, and the reason of refused poison requests.
const (
	eventEjected  = pool.EventKind("ejected")
	eventReturned = pool.EventKind("returned")
	reasonPoison  = pool.Reason("poison")
)

// placements says what the events mean for ordinary work.
var placements = map[pool.EventKind]Placement{
	"avoided":     Avoided,
	"demoted":     Avoided,
	eventEjected:  Ejected,
	eventReturned: Serving,
	"restored":    Serving,
}
