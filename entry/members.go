package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// fleetState guards the membership, which is not concurrent, and publishes a view after each tick.
type fleetState struct {
	mu         sync.Mutex
	membership *fleet.Membership
	current    atomic.Pointer[fleet.View]
}

func (f *fleetState) view() *fleet.View { return f.current.Load() }

func (f *fleetState) receive(now time.Duration, hb fleet.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membership.Receive(now, hb)
}

// update changes the membership and publishes a new view.
func (f *fleetState) update(now time.Duration, change func(*fleet.Membership)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.membership)
	f.current.Store(f.membership.View(now))
}

// noteLinks logs which peers were lost and regained since the last tick. Requests that were passed to a lost one go
// on: heartbeats may only be late, and the connection has a timeout of its own.
func (e *Entry) noteLinks(v *fleet.View) {
	for _, m := range v.Members {
		was, known := e.links[m.ID]
		e.links[m.ID] = m.Link
		if known && was != fleet.LinkSilent && m.Link == fleet.LinkSilent {
			e.Log.Info().Str("event", "peerLost").Str("peer", string(m.ID)).Msg("peer fell silent")
		}
		if m.Link != fleet.LinkSilent && (!known || was == fleet.LinkSilent) && m.ID != e.Settings.ID {
			e.Log.Info().Str("event", "peerHeard").Str("peer", string(m.ID)).Msg("peer is heard")
		}
	}
}

// member returns a live member by id.
func (e *Entry) member(id fleet.EntryID) (fleet.Member, bool) {
	m, ok := e.fleet.view().Member(id)
	return m, ok && m.Live
}

// owner returns the entry that owns a cell in this entry's view.
func (e *Entry) owner(key fleet.CellKey) (fleet.Member, bool) { return e.fleet.view().Owner(key) }

// pickCell chooses the cell of a pool that runs a request: at random in proportion to the number
// of targets, so that the load on targets is even.
func (e *Entry) pickCell(force *inForce, name table.PoolName) fleet.CellKey {
	p := force.router.Pool(name)
	if p == nil || len(p.Targets) == 0 {
		return fleet.CellKey{Pool: name}
	}
	if table.CellCount(p) == 1 {
		return fleet.CellKey{Pool: name}
	}
	t := p.Targets[e.intN(len(p.Targets))]
	return fleet.CellKey{Pool: name, Index: table.CellOf(p, t.ID)}
}
