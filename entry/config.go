package entry

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// inForce is the pair of tables in force and what is derived from it. It is immutable.
type inForce struct {
	pair   *table.Pair
	router *table.Router
	routes map[table.RouteName]*table.Route
	// own has the pools of this entry's group, so that the tick does not look at the others.
	own []*table.Pool
	// cells are the cells of these pools.
	cells []fleet.CellKey
	// fromPeer says that another entry had the pair first.
	fromPeer bool
	// shards are the failure domains of the cells with each index, if these have the same owner in all pools; the
	// only one is empty if the targets are few enough for one entry to own them all.
	shards []table.FailureDomain
	// sizes has the number of targets in each cell of the pools of this entry's group.
	sizes map[table.PoolName][]int
	since time.Time
}

func newInForce(pair *table.Pair, self fleet.EntryID, since time.Time) *inForce {
	f := &inForce{pair: pair, router: table.NewRouter(pair), since: since, sizes: make(map[table.PoolName][]int)}
	groups := pair.Pools.FleetGroups
	group := table.EntryGroup(self, groups)
	for i := range pair.Pools.Pools {
		if p := &pair.Pools.Pools[i]; table.PoolGroup(p.Name, groups) == group {
			f.own = append(f.own, p)
		}
	}
	targets := 0
	for _, p := range f.own {
		targets += len(p.Targets)
		f.sizes[p.Name] = cellSizes(p)
		for index := range table.CellCount(p) {
			f.cells = append(f.cells, fleet.CellKey{Pool: p.Name, Index: index})
		}
	}
	switch {
	case targets <= maxOneOwner:
		f.shards = []table.FailureDomain{""}
	case len(f.own) > 0:
		f.shards = f.own[0].CellDomains
	}
	f.routes = make(map[table.RouteName]*table.Route, len(pair.Routes.Routes))
	for i := range pair.Routes.Routes {
		f.routes[pair.Routes.Routes[i].Name] = &pair.Routes.Routes[i]
	}
	return f
}

// cellSizes returns the number of targets in each cell of a pool.
func cellSizes(p *table.Pool) []int {
	sizes := make([]int, table.CellCount(p))
	for _, c := range table.Cells(p) {
		sizes[c.Index] = len(c.Targets)
	}
	return sizes
}

// maxOneOwner is how many targets of several pools one entry owns. Up to a cell's size their requests are no
// more than those of one cell, and callers reach every pool of a host without a hop.
const maxOneOwner = table.DefaultCellSize

// config holds the tables in force. Snapshots come from the platform and from peers; the acceptor
// alone decides.
type config struct {
	log      zerolog.Logger
	self     fleet.EntryID
	acceptor table.Acceptor
	force    atomic.Pointer[inForce]
	// changed is called after a pair was accepted.
	changed func(*inForce)
}

// current returns the tables in force, or nil if there are none yet.
func (c *config) current() *inForce { return c.force.Load() }

// offer rules on a snapshot from the platform or a peer.
func (c *config) offer(source string, s table.Snapshot) {
	c.acceptor.Offer(time.Now(), source, s)
}

// ruled puts an accepted pair in force. The acceptor calls it in the order of its rulings, so that an
// older pair can't replace a newer one that another goroutine offered.
func (c *config) ruled(now time.Time, r table.OfferResult) {
	switch r.Verdict {
	case table.Accepted:
		f := newInForce(r.Active, c.self, now)
		f.fromPeer = strings.HasPrefix(r.Source, peerSource)
		c.force.Store(f)
		c.log.Info().Str("event", "tablesAccepted").Uint64("revision", uint64(r.Revision)).Uint64("digest", f.pair.Digest).
			Str("source", r.Source).Msg("tables are in force")
		c.changed(f)
	case table.Rejected, table.Conflict:
		c.log.Warn().Str("event", "tablesRejected").Uint64("revision", uint64(r.Revision)).Str("source", r.Source).
			Str("verdict", r.Verdict.String()).Strs("problems", problemTexts(r.Problems)).
			Msg("tables were not accepted; the pair in force stays")
	case table.Ignored:
	}
}

// peerSource begins the name of a source that is another entry.
const peerSource = "entry "

// ownCells returns the cells of this entry's group.
func (c *config) ownCells() []fleet.CellKey {
	force := c.current()
	if force == nil {
		return []fleet.CellKey{{}}
	}
	return force.cells
}

func problemTexts(ps table.Problems) []string {
	texts := make([]string, len(ps))
	for i, p := range ps {
		texts[i] = p.Error()
	}
	return texts
}
