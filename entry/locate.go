package entry

import (
	"net/http"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

// Location is where callers of a host may connect.
type Location struct {
	// Addresses are equally good.
	Addresses []string
	// ValidFor is how long callers may use them.
	ValidFor time.Duration
}

// Locate returns where callers of a host connect: to the owners of the pools that its requests go to. ok is
// false while this entry knows no serving entry.
func (e *Entry) Locate(host, failureDomain string) (l Location, ok bool) {
	l.ValidFor = settings.Millis(e.Settings.AnswerValidMs)
	view := e.fleet.view()
	for _, key := range e.hostCells(host) {
		owner, found := view.Owner(key)
		if found && !slices.Contains(l.Addresses, owner.CallerAddress) {
			l.Addresses = append(l.Addresses, owner.CallerAddress)
		}
	}
	return l, len(l.Addresses) > 0
}

// hostCells returns a cell of each pool that requests for a host may go to; of an unknown host, or while no
// tables are in force, a cell that every entry ranks alike.
func (e *Entry) hostCells(host string) []fleet.CellKey {
	var keys []fleet.CellKey
	if force := e.config.current(); force != nil {
		for _, name := range force.router.HostPools(host) {
			keys = append(keys, e.pickCell(force, name))
		}
	}
	if len(keys) == 0 {
		keys = []fleet.CellKey{{Pool: table.PoolName(host)}}
	}
	return keys
}

// Ready says that the entry serves callers: tables are in force and it is not leaving.
func (e *Entry) Ready() bool {
	return fleet.State(e.state.Load()) == fleet.StateServing && e.config.current() != nil
}

// Extra is a further HTTP interface of an entry.
type Extra struct {
	// Address is an IP address with a port.
	Address string
	Handler http.Handler
}
