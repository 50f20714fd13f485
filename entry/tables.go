package entry

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// activeTables is the pair of tables in force and what is derived from it. It is immutable.
type activeTables struct {
	pair   *table.Pair
	router *table.Router
	routes map[table.RouteName]*table.Route
	// ownPools has the pools of this entry's group, so that the tick does not look at the others.
	ownPools []*table.Pool
	// ownCells are the cells of these pools.
	ownCells []fleet.CellKey
	// fromPeer says that another entry had the pair first.
	fromPeer bool
	// shardDomains are the failure domains of the cells with each index, if these have the same owner in all pools; the
	// only one is empty if the targets are few enough for one entry to own them all.
	shardDomains []table.FailureDomain
	// cellSizes has the number of targets in each cell of the pools of this entry's group.
	cellSizes   map[table.PoolName][]int
	activeSince time.Time
}

func newActiveTables(pair *table.Pair, self fleet.EntryID, since time.Time) *activeTables {
	t := &activeTables{pair: pair, router: table.NewRouter(pair), activeSince: since, cellSizes: make(map[table.PoolName][]int)}
	groups := pair.Pools.FleetGroups
	group := table.EntryGroup(self, groups)
	for i := range pair.Pools.Pools {
		if p := &pair.Pools.Pools[i]; table.PoolGroup(p.Name, groups) == group {
			t.ownPools = append(t.ownPools, p)
		}
	}
	targets := 0
	for _, p := range t.ownPools {
		targets += len(p.Targets)
		t.cellSizes[p.Name] = cellSizes(p)
		for index := range table.CellCount(p) {
			t.ownCells = append(t.ownCells, fleet.CellKey{Pool: p.Name, Index: index})
		}
	}
	switch {
	case targets <= maxSingleOwnerTargets:
		t.shardDomains = []table.FailureDomain{""}
	case len(t.ownPools) > 0:
		t.shardDomains = t.ownPools[0].CellDomains
	}
	t.routes = make(map[table.RouteName]*table.Route, len(pair.Routes.Routes))
	for i := range pair.Routes.Routes {
		t.routes[pair.Routes.Routes[i].Name] = &pair.Routes.Routes[i]
	}
	return t
}

// cellSizes returns the number of targets in each cell of a pool.
func cellSizes(p *table.Pool) []int {
	sizes := make([]int, table.CellCount(p))
	for _, c := range table.Cells(p) {
		sizes[c.Index] = len(c.Targets)
	}
	return sizes
}

// maxSingleOwnerTargets is how many targets of several pools one entry owns. Up to a cell's size their requests are no
// more than those of one cell, and callers reach every pool of a host without a hop.
const maxSingleOwnerTargets = table.DefaultCellSize

// tableState holds the tables in force. Snapshots come from the platform and from peers; the acceptor
// alone decides.
type tableState struct {
	log      zerolog.Logger
	self     fleet.EntryID
	acceptor table.Acceptor
	active   atomic.Pointer[activeTables]
	// onChange is called after a pair was accepted.
	onChange func(*activeTables)
}

// current returns the tables in force, or nil if there are none yet.
func (ts *tableState) current() *activeTables { return ts.active.Load() }

// offer rules on a snapshot from the platform or a peer.
func (ts *tableState) offer(source string, s table.Snapshot) {
	ts.acceptor.Offer(time.Now(), source, s)
}

// onOffer puts an accepted pair in force. The acceptor calls it in the order of its rulings, so that an
// older pair can't replace a newer one that another goroutine offered.
func (ts *tableState) onOffer(now time.Time, r table.OfferResult) {
	switch r.Verdict {
	case table.Accepted:
		active := newActiveTables(r.Active, ts.self, now)
		active.fromPeer = strings.HasPrefix(r.Source, peerSourcePrefix)
		ts.active.Store(active)
		ts.log.Info().Str("event", "tablesAccepted").Uint64("revision", uint64(r.Revision)).Uint64("digest", active.pair.Digest).
			Str("source", r.Source).Msg("tables are in force")
		ts.onChange(active)
	case table.Rejected, table.Conflict:
		ts.log.Warn().Str("event", "tablesRejected").Uint64("revision", uint64(r.Revision)).Str("source", r.Source).
			Str("verdict", r.Verdict.String()).Strs("problems", problemTexts(r.Problems)).
			Msg("tables were not accepted; the pair in force stays")
	case table.Ignored:
	}
}

// peerSourcePrefix begins the name of a source that is another entry.
const peerSourcePrefix = "entry "

// ownCells returns the cells of this entry's group.
func (ts *tableState) ownCells() []fleet.CellKey {
	active := ts.current()
	if active == nil {
		return []fleet.CellKey{{}}
	}
	return active.ownCells
}

func problemTexts(problems table.Problems) []string {
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.Error()
	}
	return texts
}
