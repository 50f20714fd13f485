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
	// Addresses are equally suitable.
	Addresses []string
	// ValidFor is how long callers may use them.
	ValidFor time.Duration
}

// Locate returns where callers of a host should connect: to the owners of the pools that its requests go to. If
// some cells of these pools belong to the failure domain, only their owners are returned. ok is false while
// this entry knows no serving entry.
func (e *Entry) Locate(host, failureDomain string) (l Location, ok bool) {
	l.ValidFor = settings.Millis(e.Settings.AnswerValidMs)
	view := e.fleet.view()
	cells := e.hostCells(host)
	preferred := cells.inDomain(table.FailureDomain(failureDomain))
	if len(preferred) == 0 {
		preferred = cells
	}
	for _, c := range preferred {
		owner, found := view.Owner(c.key)
		if found && !slices.Contains(l.Addresses, owner.CallerAddress) {
			l.Addresses = append(l.Addresses, owner.CallerAddress)
		}
	}
	return l, len(l.Addresses) > 0
}

// domainCell is a cell with its failure domain, which is empty if the cell has none.
type domainCell struct {
	key    fleet.CellKey
	domain table.FailureDomain
}

type domainCells []domainCell

// inDomain returns the cells of a failure domain.
func (l domainCells) inDomain(d table.FailureDomain) domainCells {
	var cells domainCells
	for _, c := range l {
		if c.domain == d {
			cells = append(cells, c)
		}
	}
	return cells
}

// hostCells returns the cells of each pool that requests for a host may go to; see poolCells. If there are none,
// because the host is unknown or no tables are active, it returns a cell key derived from the host, for which
// every entry computes the same owner.
func (e *Entry) hostCells(host string) domainCells {
	var cells domainCells
	if active := e.tables.current(); active != nil {
		for _, name := range active.router.PoolsForHost(host) {
			cells = append(cells, e.poolCells(active, name)...)
		}
	}
	if len(cells) == 0 {
		cells = domainCells{{key: fleet.CellKey{Pool: table.PoolName(host)}}}
	}
	return cells
}

// poolCells returns the nonempty cells of a pool with their failure domains, or one cell that pickCell chooses if
// the pool's cells have none.
func (e *Entry) poolCells(active *activeTables, name table.PoolName) domainCells {
	p := active.router.Pool(name)
	if p == nil || len(p.CellDomains) == 0 {
		return domainCells{{key: e.pickCell(active, name)}}
	}
	var cells domainCells
	for i, n := range active.cellSizes[name] {
		if n > 0 {
			cells = append(cells, domainCell{fleet.CellKey{Pool: name, Index: i}, p.CellDomains[i]})
		}
	}
	return cells
}

// Ready reports whether the entry serves callers: tables are active and it is not leaving.
func (e *Entry) Ready() bool {
	return fleet.State(e.state.Load()) == fleet.StateServing && e.tables.current() != nil
}

// Listener is an additional HTTP endpoint of an entry.
type Listener struct {
	// Address is an IP address with a port.
	Address string
	Handler http.Handler
}
