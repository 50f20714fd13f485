package entry

import (
	"maps"
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

// cellIdle is how long a cell of which this entry is not the owner is kept without a request.
const cellIdle = time.Minute

// cellSet has the cells that this entry serves. Cells of pools that other entries own exist only
// while this entry places requests in them, so the cost of a tick does not grow with the tables.
type cellSet struct {
	e *Entry

	mu    sync.Mutex
	cells map[fleet.CellKey]*servedCell

	// adopted is what the owners were last computed from, at adoptedAt; only the tick uses them.
	adopted   adoptKey
	adoptedAt time.Time
}

// adoptKey identifies what the owners of cells follow from.
type adoptKey struct {
	force   *inForce
	members uint64
}

// membersKey is a hash of what ownership follows from.
func membersKey(members []fleet.Member) uint64 {
	h := xxhash.New()
	for _, m := range members {
		// Writing to a hash does not fail.
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
	// applying guards pair: new tables are applied when they come into force, and standings with each tick.
	applying sync.Mutex
	pair     *table.Pair
	// alwaysSole is faults.alwaysSole.
	alwaysSole bool
}

// get returns the cell's runner, which it creates if the cell is in the tables in force.
func (s *cellSet) get(key fleet.CellKey) (*cellRunner, bool) {
	force := s.e.config.current()
	if force == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.cells[key]; c != nil {
		return c.cellRunner, true
	}
	p := force.router.Pool(key.Pool)
	if p == nil || key.Index >= table.CellCount(p) {
		return nil, false
	}
	c := s.create(force, key, p)
	s.cells[key] = c
	return c.cellRunner, true
}

func (s *cellSet) create(force *inForce, key fleet.CellKey, p *table.Pool) *servedCell {
	runner := &cellRunner{
		key: key, log: s.e.Log, now: s.e.now,
		waiting:  make(map[pool.RequestID]chan pool.Decision),
		answered: make(map[table.TargetID]time.Time),
		lastUse:  time.Now(),
		cell: &pool.Cell{
			Key: key, Policy: p.Policy, SlotsPerTarget: p.Slots,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	c := &servedCell{cellRunner: runner, alwaysSole: s.e.faults.alwaysSole}
	c.prober = &target.Prober{
		Protocol: s.e.TargetProtocol,
		Skip:     func(t target.ProbeTarget) bool { return runner.answers(t.ID) },
		OnSignal: func(t target.ProbeTarget, sig pool.Signal) {
			if sig.Kind != pool.SignalDraining || !s.e.faults.ignoreDrain {
				runner.signal(t.ID, sig)
			}
		},
	}
	runner.probe = c.prober.Probe
	c.apply(force, s.e.fleet.view())
	return c
}

// apply gives the cell the rows of the tables in force and its standing.
func (c *servedCell) apply(force *inForce, v *fleet.View) {
	c.applying.Lock()
	defer c.applying.Unlock()
	if c.pair == nil || c.pair.Revision < force.pair.Revision {
		c.pair = force.pair
		c.applyTables(force)
	}
	standing := v.Ownership(c.key)
	if standing == fleet.ExclusiveOwner && !v.MayEject(c.key) {
		standing = fleet.ContestedOwner
	}
	if c.alwaysSole {
		standing = fleet.ExclusiveOwner
	}
	inherited, known := v.LastEjected(c.key)
	poison := make([]pool.Fingerprint, len(v.Poison))
	for i, f := range v.Poison {
		poison[i] = pool.Fingerprint(f)
	}
	c.do(func(now pool.Time, cell *pool.Cell) {
		// An entry that places requests although it is not the owner is as limited as an owner
		// whose cell another entry may serve too.
		cell.SetShared(now, v.LikelyShared(c.key))
		cell.SetOwnership(now, max(standing, fleet.ContestedOwner), v.RecentlyPaused && !c.alwaysSole)
		if c.standing == fleet.NotOwner && standing != fleet.NotOwner && known {
			cell.ImportEjected(now, inherited)
		}
		c.standing = standing
		cell.ImportPoison(now, poison)
	})
}

func (c *servedCell) applyTables(force *inForce) {
	var cell table.Cell
	p := force.router.Pool(c.key.Pool)
	if p != nil && c.key.Index < table.CellCount(p) {
		cell = table.Cells(p)[c.key.Index]
	}
	rows := make(map[table.TargetID]table.Target, len(cell.Targets))
	for _, t := range cell.Targets {
		rows[t.ID] = t
	}
	c.do(func(now pool.Time, pc *pool.Cell) {
		maps.DeleteFunc(c.answered, func(id table.TargetID, _ time.Time) bool { return rows[id].ID == "" })
		for id, t := range c.targets {
			if _, ok := rows[id]; !ok {
				rows[id] = t
			}
		}
		c.targets, c.revision = rows, force.pair.Revision
		if p != nil {
			pc.SetPolicy(now, cellPolicy(p, &cell), p.Slots)
		}
		pc.Update(now, cell.Targets, cell.Floor)
	})
	c.prober.SetTargets(probeTargets(p, cell.Targets))
}

// cellPolicy returns the policy of a cell of a pool, whose queue and retries beyond the percentage are divided between
// its cells.
func cellPolicy(p *table.Pool, cell *table.Cell) table.Policy {
	policy := p.Policy
	policy.QueueLimit = cell.QueueLimit
	policy.RetryBurst /= table.CellCount(p)
	return policy
}

// probeTargets returns what the prober polls; nothing if the pool is gone. Load endpoints are not polled:
// they lag, and the owner of a cell knows the requests in flight exactly.
func probeTargets(p *table.Pool, targets []table.Target) []target.ProbeTarget {
	polled := make([]target.ProbeTarget, 0, len(targets))
	for _, t := range targets {
		polled = append(polled, target.ProbeTarget{
			Pool: p.Name, ID: t.ID, Address: t.Address, ProbePath: p.ProbePath,
		})
	}
	return polled
}

// list returns the cells.
func (s *cellSet) list() []*servedCell {
	s.mu.Lock()
	defer s.mu.Unlock()
	cells := make([]*servedCell, 0, len(s.cells))
	for _, c := range s.cells {
		cells = append(cells, c)
	}
	return cells
}

// apply gives every cell the tables in force.
func (s *cellSet) apply(force *inForce) {
	v := s.e.fleet.view()
	for _, c := range s.list() {
		c.apply(force, v)
	}
}

// tick runs the systems of every cell, drops unused ones, and returns what to announce to peers.
func (s *cellSet) tick(force *inForce, v *fleet.View) (claims []fleet.CellClaim, poison []uint64) {
	for _, c := range s.list() {
		c.apply(force, v)
		c.do(func(now pool.Time, cell *pool.Cell) {
			cell.Tick(now)
			for _, f := range cell.PoisonFingerprints() {
				poison = append(poison, uint64(f))
			}
			if c.standing != fleet.NotOwner {
				claim := fleet.CellClaim{Cell: c.key, Ejected: cell.EjectedTargets()}
				if len(force.shards) > 1 {
					claim.SpareSlots = max(0, cell.SpareSlots(now))
				}
				claims = append(claims, claim)
			}
		})
		s.drop(c)
	}
	slices.Sort(poison)
	return claims, slices.Compact(poison)
}

// drop removes a cell that this entry neither owns nor uses.
func (s *cellSet) drop(c *servedCell) {
	if c.standing != fleet.NotOwner || !c.idle(cellIdle) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.retire() {
		delete(s.cells, c.key)
		s.e.background.Go(func() { _ = c.prober.Close() })
	}
}

// adoptEvery is how often the owners of all cells are computed without a known change.
const adoptEvery = time.Second

// adopt creates the cells that this entry owns, so that their targets are probed before the
// first request. It does nothing while neither the tables nor the members have changed, since its
// cost grows with the pools of the group.
func (s *cellSet) adopt(force *inForce, v *fleet.View) {
	key := adoptKey{force: force, members: membersKey(v.Members)}
	if key == s.adopted && time.Since(s.adoptedAt) < adoptEvery {
		return
	}
	s.adopted, s.adoptedAt = key, time.Now()
	for _, p := range force.own {
		for index := range table.CellCount(p) {
			key := fleet.CellKey{Pool: p.Name, Index: index}
			if owner, ok := v.Owner(key); ok && owner.ID == s.e.Settings.ID {
				s.get(key)
			}
		}
	}
}

// close ends the probers.
func (s *cellSet) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cells {
		_ = c.prober.Close()
	}
}
