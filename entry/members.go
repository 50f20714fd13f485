package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// fleetState guards the membership, which is not safe for concurrent use, and publishes a view after each
// update.
type fleetState struct {
	mu         sync.Mutex
	membership *fleet.Membership
	current    atomic.Pointer[fleet.View]
}

func (f *fleetState) view() *fleet.View { return f.current.Load() }

// receive passes a heartbeat to the membership. The next update publishes its effect.
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

// peerStatus is what an entry logs changes of.
type peerStatus struct {
	link     fleet.LinkState
	degraded bool
}

// logPeerChanges logs peers that were lost since the last tick, peers that are heard for the first time or again, and
// those that begin or cease to be degraded. Requests forwarded to a lost peer continue: its heartbeats may only be
// delayed, and the connection has its own timeout.
func (e *Entry) logPeerChanges(v *fleet.View) {
	for _, m := range v.Members {
		last, known := e.peerStatuses[m.ID]
		previous := last.link
		e.peerStatuses[m.ID] = peerStatus{m.Link, m.Degraded}
		if m.Degraded != last.degraded && m.ID != e.Settings.ID {
			line := e.Log.Info().Str("event", "peerHealthChanged").Str("peer", string(m.ID)).
				Str("domain", string(m.FailureDomain)).Bool("degraded", m.Degraded)
			line.Msg("a peer reports whether it reaches its targets")
		}
		if !m.Hub && !v.IsHub() {
			// In the hub-and-spoke topology most links between other entries are silent, and nothing depends on
			// them.
			continue
		}
		if known && previous != fleet.LinkSilent && m.Link == fleet.LinkSilent {
			e.Log.Info().Str("event", "peerLost").Str("peer", string(m.ID)).Msg("no recent heartbeats from peer")
		}
		if m.Link != fleet.LinkSilent && (!known || previous == fleet.LinkSilent) && m.ID != e.Settings.ID {
			e.Log.Info().Str("event", "peerHeard").Str("peer", string(m.ID)).Msg("heartbeats from peer received")
		}
	}
}

// member returns a live member by ID.
func (e *Entry) member(id fleet.EntryID) (fleet.Member, bool) {
	m, ok := e.fleet.view().Member(id)
	return m, ok && m.Live
}

// owner returns the entry that owns a cell in this entry's view.
func (e *Entry) owner(key fleet.CellKey) (fleet.Member, bool) { return e.fleet.view().Owner(key) }

// pickCell chooses the cell of a pool that runs a request. Where cells belong to failure domains, a cell that
// this entry owns is preferred, which saves a hop, and next a cell of this entry's failure domain. Among
// several candidates the choice is random in proportion to the number of targets, so that the load on targets
// is even.
func (e *Entry) pickCell(active *activeTables, name table.PoolName) fleet.CellKey {
	key := fleet.CellKey{Pool: name}
	p := active.router.Pool(name)
	if p == nil || table.CellCount(p) < 2 {
		return key
	}
	sizes, isOwn := active.cellSizes[name]
	if !isOwn {
		if len(p.Targets) > 0 {
			key.Index = table.CellIndex(p, p.Targets[e.intN(len(p.Targets))])
		}
		return key
	}
	if len(p.CellDomains) == 0 {
		key.Index, _ = e.pickWeighted(sizes)
		return key
	}
	v := e.fleet.view()
	for _, preferred := range []func(int) bool{
		func(i int) bool { return v.Owns(fleet.CellKey{Pool: name, Index: i}) },
		func(i int) bool { return p.CellDomains[i] == e.Settings.FailureDomain },
	} {
		if index, ok := e.pickWeighted(filterWeights(sizes, preferred)); ok {
			key.Index = index
			return key
		}
	}
	key.Index, _ = e.pickWeighted(sizes)
	return key
}

// filterWeights returns the weights, with 0 for each index that keep rejects.
func filterWeights(weights []int, keep func(index int) bool) []int {
	filtered := make([]int, len(weights))
	for i, w := range weights {
		if keep(i) {
			filtered[i] = w
		}
	}
	return filtered
}

// pickWeighted chooses an index at random in proportion to its weight. ok is false if all weights are 0.
func (e *Entry) pickWeighted(weights []int) (index int, ok bool) {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	if sum == 0 {
		return 0, false
	}
	at := e.intN(sum)
	for i, w := range weights {
		if at -= w; at < 0 {
			return i, true
		}
	}
	return 0, false
}
