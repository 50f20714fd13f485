package entry

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

// cellIdleTimeout is how long a cell that this entry does not own is kept without a request.
const cellIdleTimeout = time.Minute

// cellSet has the cells that this entry serves. Cells owned by other entries exist only while this entry places
// requests in them, so the cost of a tick does not grow with the tables.
type cellSet struct {
	e *Entry

	mu    sync.Mutex
	cells map[fleet.CellKey]*servedCell

	// lastOwnersKey is the input from which the owners were last computed, at ownersComputedAt. Only the tick
	// uses both.
	lastOwnersKey    ownersKey
	ownersComputedAt time.Time
}

// ownersKey identifies the tables and the members from which the owners of all cells are computed.
type ownersKey struct {
	active  *activeTables
	members uint64
}

// membersHash returns a hash of the IDs, liveness and states of the members. Ownership also depends on what the
// hash omits, such as degraded members, so the owners are refreshed without a change of the hash too.
func membersHash(members []fleet.Member) uint64 {
	h := xxhash.New()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = h.WriteString(string(m.ID))
		live := byte(0)
		if m.Live {
			live = 1
		}
		_, _ = h.Write([]byte{0, live, byte(m.State)})
	}
	return h.Sum64()
}

// servedCell is a cell with its prober.
type servedCell struct {
	*cellRunner
	prober *target.Prober
	// applyMu guards pair. New tables are applied when they become active, and the ownership with each tick.
	applyMu sync.Mutex
	pair    *table.Pair
	// alwaysSole is copied from faults.alwaysSole.
	alwaysSole bool
	// justDegraded says that this entry has handed the cell over, since it is degraded, and has not claimed it for the
	// last time. mu guards it.
	justDegraded bool
	// outcomes are those of the last tick; only the tick uses them.
	outcomes pool.Outcomes
}

// getOrCreate returns the runner of a cell. It creates the cell if the active tables contain it.
func (s *cellSet) getOrCreate(key fleet.CellKey) (*cellRunner, bool) {
	active := s.e.tables.current()
	if active == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.cells[key]; c != nil {
		return c.cellRunner, true
	}
	p := active.router.Pool(key.Pool)
	if p == nil || key.Index >= table.CellCount(p) {
		return nil, false
	}
	c := s.create(active, key, p)
	s.cells[key] = c
	return c.cellRunner, true
}

func (s *cellSet) create(active *activeTables, key fleet.CellKey, p *table.Pool) *servedCell {
	runner := &cellRunner{
		key: key, log: s.e.Log, now: s.e.now,
		pending:      make(map[pool.RequestID]chan pool.Decision),
		abandonable:  make(map[pool.RequestID]context.CancelCauseFunc),
		unsent:       make(map[pool.RequestID]*unsentAttempt),
		lastResponse: make(map[table.TargetID]time.Time),
		lastUsed:     time.Now(),
		cell: &pool.Cell{
			Key: key, Policy: p.Policy, SlotsPerTarget: p.Slots,
			Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Announcements: &s.e.announcements,
		},
	}
	c := &servedCell{cellRunner: runner, alwaysSole: s.e.faults.alwaysSole}
	c.prober = &target.Prober{
		Protocol: s.e.TargetProtocol,
		Skip:     func(t target.ProbeTarget) bool { return runner.respondedRecently(t.ID) || !runner.allowProbe(t.ID) },
		OnSignal: func(t target.ProbeTarget, signal pool.Signal) {
			if signal.Kind != pool.SignalDraining || !s.e.faults.ignoreDrain {
				runner.signal(t.ID, signal)
			}
		},
	}
	runner.probeNow = c.prober.Probe
	c.apply(active, s.e.fleet.view())
	return c
}

// apply updates the cell to the active tables and to this entry's ownership of it.
func (c *servedCell) apply(active *activeTables, v *fleet.View) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	created := c.pair == nil
	if created || c.pair.Revision < active.pair.Revision {
		c.pair = active.pair
		c.applyTables(active)
	}
	ownership := v.Ownership(c.key)
	if ownership == fleet.ExclusiveOwner && !v.MayEject(c.key) {
		ownership = fleet.ContestedOwner
	}
	if c.alwaysSole {
		ownership = fleet.ExclusiveOwner
	}
	gained := c.ownership == fleet.NotOwner && ownership != fleet.NotOwner
	lastEjected, known := v.LastEjected(c.key)
	poison := make([]pool.Fingerprint, len(v.Poison))
	for i, f := range v.Poison {
		poison[i] = pool.Fingerprint(f)
	}
	shared, partitioned := v.LikelyShared(c.key), !v.LinkedToMajority()
	c.withCell(func(now pool.Time, cell *pool.Cell) {
		// Without ownership, an entry that places requests is limited like an owner whose cell another entry
		// may serve too. One that does not reach its targets places none.
		placing := max(ownership, fleet.ContestedOwner)
		if v.IsDegraded() {
			placing = ownership
		}
		cell.SetShared(now, shared)
		cell.SetPartitioned(now, partitioned)
		cell.SetOwnership(now, placing, v.RecentlyPaused && !c.alwaysSole)
		if gained && known {
			cell.ImportEjected(now, lastEjected)
		}
		if gained || created {
			cell.ImportRateLimits(now, v.LastRateLimits(c.key))
			cell.ImportAnnouncements(now, v.LastAnnouncements(c.key))
		}
		if v.IsDegraded() && ownership == fleet.NotOwner && c.ownership != fleet.NotOwner {
			c.justDegraded = true
			c.endUnsent()
		}
		if ownership != c.ownership || shared != c.shared || partitioned != c.partitioned {
			c.logOwnership(ownership, shared, partitioned)
		}
		c.ownership, c.shared, c.partitioned = ownership, shared, partitioned
		cell.ImportPoison(now, poison)
	})
}

func (c *servedCell) applyTables(active *activeTables) {
	var cell table.Cell
	p := active.router.Pool(c.key.Pool)
	if p != nil && c.key.Index < table.CellCount(p) {
		cell = table.Cells(p)[c.key.Index]
	}
	targets := make(map[table.TargetID]table.Target, len(cell.Targets))
	for _, t := range cell.Targets {
		targets[t.ID] = t
	}
	c.withCell(func(now pool.Time, poolCell *pool.Cell) {
		maps.DeleteFunc(c.lastResponse, func(id table.TargetID, _ time.Time) bool { return targets[id].ID == "" })
		for id, t := range c.targets {
			if _, ok := targets[id]; !ok {
				targets[id] = t
			}
		}
		c.targets, c.revision = targets, active.pair.Revision
		if p != nil {
			poolCell.SetPolicy(now, cellPolicy(p, &cell), p.Slots)
		}
		poolCell.Update(now, cell.Targets, cell.Floor)
	})
	c.prober.SetTargets(probeTargets(p, cell.Targets))
}

// cellPolicy returns the policy of a cell. The queue limit and the retry burst of the pool are divided between
// its cells.
func cellPolicy(p *table.Pool, cell *table.Cell) table.Policy {
	policy := p.Policy
	policy.QueueLimit = cell.QueueLimit
	policy.RetryBurst /= float64(table.CellCount(p))
	return policy
}

// probeTargets returns the targets to probe, none if the pool is gone. Load endpoints are not polled: their
// figures lag, and the owner of a cell knows the exact number of requests in flight.
func probeTargets(p *table.Pool, targets []table.Target) []target.ProbeTarget {
	probed := make([]target.ProbeTarget, 0, len(targets))
	for _, t := range targets {
		probed = append(probed, target.ProbeTarget{
			Pool: p.Name, ID: t.ID, Address: t.Address, ProbePath: p.ProbePath,
		})
	}
	return probed
}

// list returns all cells.
func (s *cellSet) list() []*servedCell {
	s.mu.Lock()
	defer s.mu.Unlock()
	cells := make([]*servedCell, 0, len(s.cells))
	for _, c := range s.cells {
		cells = append(cells, c)
	}
	return cells
}

// apply updates every cell to the active tables.
func (s *cellSet) apply(active *activeTables) {
	v := s.e.fleet.view()
	for _, c := range s.list() {
		c.apply(active, v)
	}
}

// tick advances every cell, drops unused ones, and returns the claims and poison fingerprints to announce to
// peers.
func (s *cellSet) tick(active *activeTables, v *fleet.View) (claims []fleet.CellClaim, poison []uint64) {
	cells := s.list()
	for _, c := range cells {
		c.apply(active, v)
		elsewhere := outcomesElsewhere(active, v, cells, c)
		c.withCell(func(now pool.Time, cell *pool.Cell) {
			cell.SetOutcomesElsewhere(elsewhere)
			cell.Tick(now)
			c.outcomes = cell.RecentOutcomes(now)
			for _, f := range cell.PoisonFingerprints() {
				poison = append(poison, uint64(f))
			}
			// The last claim of a degraded entry tells the next owner what it still suspects.
			if c.ownership != fleet.NotOwner || c.justDegraded {
				c.justDegraded = false
				claim := fleet.CellClaim{
					Cell: c.key, Ejected: cell.EjectedTargets(), RateLimits: cell.RateLimits(),
					Announcements: cell.TargetAnnouncements(now),
				}
				if len(active.shardDomains) > 1 {
					claim.SpareSlots = max(0, cell.SpareSlots(now))
					claim.EndedTenths, claim.FailedTenths = tenths(c.outcomes.Ended), tenths(c.outcomes.Failed)
				}
				claims = append(claims, claim)
			}
		})
		s.dropIfUnused(c)
	}
	slices.Sort(poison)
	return claims, slices.Compact(poison)
}

func tenths(n float64) int { return int(math.Round(10 * n)) }

// outcomesElsewhere returns the recent outcomes in the other cells of a cell's pool, at this entry and at others.
func outcomesElsewhere(active *activeTables, v *fleet.View, cells []*servedCell, c *servedCell) pool.Outcomes {
	var o pool.Outcomes
	if len(active.shardDomains) < 2 {
		return o
	}
	o.Ended, o.Failed = v.OutcomesElsewhere(c.key.Pool)
	for _, other := range cells {
		if other != c && other.key.Pool == c.key.Pool && other.owned() {
			o.Ended += other.outcomes.Ended
			o.Failed += other.outcomes.Failed
		}
	}
	return o
}

// dropIfUnused removes a cell that this entry neither owns nor uses.
func (s *cellSet) dropIfUnused(c *servedCell) {
	if c.owned() || !c.idle(cellIdleTimeout) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closeIfIdle() {
		delete(s.cells, c.key)
		s.e.background.Go(func() { _ = c.prober.Close() })
	}
}

// ownersRefreshInterval is how often the owners of all cells are computed without a known change.
const ownersRefreshInterval = time.Second

// createOwned creates the cells that this entry owns, so that their targets are probed before the first
// request. Its cost grows with the pools of the group, so it returns early if neither the tables nor the
// members have changed and the last run was less than ownersRefreshInterval ago.
func (s *cellSet) createOwned(active *activeTables, v *fleet.View) {
	key := ownersKey{active: active, members: membersHash(v.Members)}
	if key == s.lastOwnersKey && time.Since(s.ownersComputedAt) < ownersRefreshInterval {
		return
	}
	s.lastOwnersKey, s.ownersComputedAt = key, time.Now()
	for _, p := range active.ownPools {
		for index := range table.CellCount(p) {
			key := fleet.CellKey{Pool: p.Name, Index: index}
			if owner, ok := v.Owner(key); ok && owner.ID == s.e.Settings.ID {
				s.getOrCreate(key)
			}
		}
	}
}

// close stops the probers.
func (s *cellSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cells {
		_ = c.prober.Close()
	}
}
