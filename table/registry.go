package table

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Definition is what operators publish if targets register themselves: the routes, and the pools without
// their targets.
type Definition struct {
	Routes Routes
	// Pools have no targets. The Registry sets the Floor of each pool from FloorPercent. It raises Slots to
	// the largest value of the targets, at least 1, and MaxConnections to at least Slots.
	Pools []Pool
}

// Registration is the state that a target publishes about itself.
type Registration struct {
	Target
	Pool PoolName
	// CreateRevision is the revision at which the registration was created. If two registrations have
	// the same address, the one with the higher revision is valid.
	CreateRevision Revision
	// Sequence grows with each report of one process of the target. Reports may arrive out of order.
	Sequence int64
}

// supersedes reports whether g is newer than other: from a later process, or a later report of the same
// process.
func (g *Registration) supersedes(other *Registration) bool {
	if g.Started != other.Started {
		return g.Started > other.Started
	}
	return g.Sequence > other.Sequence
}

// Registry builds the tables from a definition and the registrations of targets. It is not safe for
// concurrent use.
type Registry struct {
	// FloorPercent is the minimum percentage of a pool's targets that are not ejected.
	FloorPercent int
	// GracePeriod is how long a target is kept whose registration expired while the store was
	// unreachable. Targets that are alive register again within this time.
	GracePeriod time.Duration

	definition *Definition
	targets    map[TargetID]Registration
	// deregistered holds the last report of targets whose registration was removed, so that a delayed
	// report does not add them again.
	deregistered map[TargetID]Registration
	// expiring maps targets without a registration to the end of their grace period.
	expiring map[TargetID]time.Time
}

// SetDefinition replaces the definition, unless it is of a lower version than the known one, and reports whether it did.
// A store that was restored from a copy returns an older definition until the operators' last one is written again.
func (r *Registry) SetDefinition(d Definition) bool {
	if r.definition != nil && d.Routes.Version < r.definition.Routes.Version {
		return false
	}
	r.definition = &d
	return true
}

// HasDefinition reports whether there is a definition.
func (r *Registry) HasDefinition() bool { return r.definition != nil }

// Register adds or replaces the registration of a target. It ignores a registration that is older than
// the known one. A process that has reported that it is leaving stays leaving.
func (r *Registry) Register(g Registration) {
	if r.targets == nil {
		r.targets = make(map[TargetID]Registration)
		r.deregistered = make(map[TargetID]Registration)
	}
	known, ok := r.targets[g.ID]
	if !ok {
		known, ok = r.deregistered[g.ID]
	}
	if ok && !g.supersedes(&known) {
		return
	}
	g.Leaving = g.Leaving || ok && known.Leaving && known.Started == g.Started
	r.targets[g.ID] = g
	delete(r.deregistered, g.ID)
	delete(r.expiring, g.ID)
}

// maxDeregistered is the maximum number of deregistered targets that are remembered. When it is reached,
// all of them are forgotten.
const maxDeregistered = 10_000

// remove deletes a target but remembers its last report.
func (r *Registry) remove(id TargetID) {
	if len(r.deregistered) >= maxDeregistered {
		clear(r.deregistered)
	}
	r.deregistered[id] = r.targets[id]
	delete(r.targets, id)
	delete(r.expiring, id)
}

// Deregister removes a registration. If graceUntil is later than now, a target that did not report that
// it was leaving is kept until then.
func (r *Registry) Deregister(id TargetID, now, graceUntil time.Time) {
	g, ok := r.targets[id]
	if !ok {
		return
	}
	if g.Leaving || !graceUntil.After(now) {
		r.remove(id)
		return
	}
	if r.expiring == nil {
		r.expiring = make(map[TargetID]time.Time)
	}
	if _, inGrace := r.expiring[id]; !inGrace {
		r.expiring[id] = graceUntil
	}
}

// DeregisterMissing deregisters every target that is not listed. It is called with a list of all
// registrations.
func (r *Registry) DeregisterMissing(listed map[TargetID]bool, now, graceUntil time.Time) {
	for id := range r.targets {
		if !listed[id] {
			r.Deregister(id, now, graceUntil)
		}
	}
}

// Expire removes the targets whose grace period has ended.
func (r *Registry) Expire(now time.Time) {
	for id, until := range r.expiring {
		if !until.After(now) {
			r.remove(id)
		}
	}
}

// Values returns the two tables as raw values by key. The same definition and registrations give the
// same bytes. Registrations for undefined pools are left out.
func (r *Registry) Values() (map[string][]byte, error) {
	pools := Pools{FleetGroups: 1, Pools: make([]Pool, len(r.definition.Pools))}
	byPool := r.byPool()
	domains := CellDomains(byPool)
	for i, p := range r.definition.Pools {
		p.CellDomains = domains
		p.Targets = byPool[p.Name]
		if p.Targets == nil {
			p.Targets = []Target{}
		}
		p.Floor = ceilProportion(r.FloorPercent, len(p.Targets), 100)
		for _, t := range p.Targets {
			p.Slots = max(p.Slots, t.Slots)
		}
		p.Slots = max(p.Slots, 1)
		p.MaxConnections = max(p.MaxConnections, p.Slots)
		pools.Pools[i] = p
	}
	routes, err := json.Marshal(r.definition.Routes)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	raw, err := json.Marshal(pools)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return map[string][]byte{RoutesKey: routes, PoolsKey: raw}, nil
}

// byPool returns the targets of each pool, ordered by ID. Of several registrations with the same address
// only the latest counts, because the targets of the earlier ones have ended.
func (r *Registry) byPool() map[PoolName][]Target {
	latest := make(map[string]Registration, len(r.targets))
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		g := r.targets[id]
		if other, ok := latest[g.Address]; !ok || g.CreateRevision > other.CreateRevision {
			latest[g.Address] = g
		}
	}
	targets := make(map[PoolName][]Target)
	for _, g := range latest {
		targets[g.Pool] = append(targets[g.Pool], g.Target)
	}
	for _, pool := range targets {
		slices.SortFunc(pool, func(a, b Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return targets
}

// Check returns the rules that a registration breaks. It is called before Register, because one invalid
// target would make the tables invalid for all pools.
func (g *Registration) Check() error {
	c := checker{file: PoolsKey}
	checkName(&c, location{}, "pool", g.Pool)
	pool := rowLocation(poolsList, 0)
	c.checkTargets(pool, []Target{g.Target}, make(map[netip.AddrPort]location))
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}
