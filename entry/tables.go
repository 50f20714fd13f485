package entry

import (
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// activeTables is the active pair of tables with the indexes derived from it. It is immutable.
type activeTables struct {
	pair   *table.Pair
	router *table.Router
	routes map[table.RouteName]*table.Route
	// ownPools are the pools of this entry's group, so that the tick can skip all others.
	ownPools []*table.Pool
	// ownCells are the cells of ownPools.
	ownCells []fleet.CellKey
	// fromPeer is true if the pair came from another entry.
	fromPeer bool
	// shardDomains has the failure domain of the cells with each index if cells with the same index have the
	// same owner in all pools. It is one empty name if there are so few targets that one entry owns them all,
	// and nil if each cell has an owner of its own.
	shardDomains []table.FailureDomain
	// cellSizes has the number of targets in each cell of ownPools.
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

// comparedPath returns the path of a request's target in the form in which it is compared with prefixes.
func (t *activeTables) comparedPath(uri string) (string, error) {
	path := stripQuery(uri)
	if t.pair.Paths == table.MatchLiteral {
		return path, nil
	}
	path, err := url.PathUnescape(path)
	return path, Error.Wrap(err)
}

// cellSizes returns the number of targets in each cell of a pool.
func cellSizes(p *table.Pool) []int {
	sizes := make([]int, table.CellCount(p))
	for _, c := range table.Cells(p) {
		sizes[c.Index] = len(c.Targets)
	}
	return sizes
}

// maxSingleOwnerTargets is the maximum number of targets, over all pools, that one entry owns alone. Up to the
// size of one cell they get no more requests than one cell, and callers reach every pool of a host without an
// extra hop.
const maxSingleOwnerTargets = table.DefaultCellSize

// tableState holds the active tables. Snapshots come from the platform and from peers; only the acceptor
// decides which one becomes active.
type tableState struct {
	log      zerolog.Logger
	self     fleet.EntryID
	acceptor table.Acceptor
	active   atomic.Pointer[activeTables]
	// onChange is called after a pair was accepted.
	onChange func(*activeTables)
}

// current returns the active tables, or nil if there are none yet.
func (ts *tableState) current() *activeTables { return ts.active.Load() }

// offer submits a snapshot from the platform or a peer to the acceptor.
func (ts *tableState) offer(source string, s table.Snapshot) {
	ts.acceptor.Offer(time.Now(), source, s)
}

// onOffer activates an accepted pair. The acceptor calls it in the order of its decisions, so an older pair
// can't replace a newer one that another goroutine offered.
func (ts *tableState) onOffer(now time.Time, r table.OfferResult) {
	switch r.Verdict {
	case table.Accepted:
		active := newActiveTables(r.Active, ts.self, now)
		active.fromPeer = strings.HasPrefix(r.Source, peerSourcePrefix)
		ts.active.Store(active)
		ts.log.Info().Str("event", "tablesAccepted").Stringer("revision", r.Revision).Uint64("digest", active.pair.Digest).
			Str("source", r.Source).Msg("tables activated")
		ts.onChange(active)
	case table.Rejected, table.Conflict:
		ts.log.Warn().Str("event", "tablesRejected").Stringer("revision", r.Revision).Str("source", r.Source).
			Str("verdict", r.Verdict.String()).Strs("problems", problemTexts(r.Problems)).
			Msg("tables not accepted; keeping the active pair")
	case table.Ignored:
	}
}

// peerSourcePrefix starts the source name of a snapshot that came from another entry.
const peerSourcePrefix = "entry "

// ownCells returns the cells of this entry's group, or one zero key while no tables are active.
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
