package table

import (
	"net/netip"
	"strings"
)

func (c *checker) checkPools(t *Pools) {
	c.file = PoolsKey
	checkRange(c, location{}, "fleetGroups", t.FleetGroups, 1, maxFleetGroups)
	names := make(map[PoolName]location, len(t.Pools))
	// Addresses are unique over all pools: if a target were in two pools, two owners would each count
	// its slots.
	addresses := make(map[netip.AddrPort]location, len(t.Pools))
	for i := range t.Pools {
		at := rowLocation(poolsList, i)
		p := &t.Pools[i]
		checkName(c, at, "name", p.Name)
		checkUnique(c, names, p.Name, at, "name")
		c.checkPool(at, p)
		c.checkTargets(at, p.Targets, addresses)
	}
}

func (c *checker) checkPool(at location, p *Pool) {
	if p.Floor < 0 || p.Floor > len(p.Targets) {
		c.addProblem(at, "floor", "floor %d is not between 0 and the pool's size of %d", p.Floor, len(p.Targets))
	}
	checkRange(c, at, "slots", p.Slots, 1, MaxSlots)
	checkRange(c, at, "maxConnections", p.MaxConnections, 1, MaxConnections)
	if p.MaxConnections < p.Slots {
		c.addProblem(at, "maxConnections", "maxConnections %d is below slots %d, which could then not be filled",
			p.MaxConnections, p.Slots)
	}
	checkRange(c, at, "cellSize", p.CellSize, 0, maxCellSize)
	checkRange(c, at, "cellDomains", len(p.CellDomains), 0, maxCellDomains)
	c.checkEndpoint(at, "probePath", p.ProbePath)
	c.checkEndpoint(at, "loadPath", p.LoadPath)
	c.checkPolicy(at, &p.Policy)
}

// checkEndpoint reports a path that can't be sent unchanged.
func (c *checker) checkEndpoint(at location, fieldName, path string) {
	if path == "" {
		return
	}
	if path[0] != '/' || strings.IndexFunc(path, notInURL) >= 0 {
		c.addProblem(at, fieldName, "%s %q is not a path that starts with \"/\"", fieldName, path)
	}
}

// notInURL reports whether r is not allowed in the path or query of a URL.
func notInURL(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' || r == '"' || r == '\\' }

func (c *checker) checkPolicy(at location, p *Policy) {
	checkRange(c, at, "policy/falseEjectionEveryHours", p.FalseEjectionEveryHours, 1, maxFalseEjectionHours)
	if p.SlowFactor != 0 {
		checkRange(c, at, "policy/slowFactor", p.SlowFactor, minSlowFactor, maxSlowFactor)
	}
	checkRange(c, at, "policy/queueLimit", p.QueueLimit, 0, maxQueueLimit)
	if p.RetryPercent != nil {
		checkRange(c, at, "policy/retryPercent", *p.RetryPercent, 0, maxPercent)
	}
	checkRange(c, at, "policy/spellMs", int64(p.SpellMs), 0, MaxMillis)
	checkRange(c, at, "policy/retryBurst", p.RetryBurst, 0, maxQueueLimit)
	checkRange(c, at, "policy/rampMs", int64(p.RampMs), 0, MaxMillis)
	if p.Scheduling != ScheduleRetryable && p.Scheduling != SchedulePriority {
		c.addProblem(at, "policy/scheduling", "scheduling %q is neither empty nor %q", p.Scheduling, SchedulePriority)
	}
}

func (c *checker) checkTargets(pool location, targets []Target, addresses map[netip.AddrPort]location) {
	ids := make(map[TargetID]location, len(targets))
	for i := range targets {
		t := &targets[i]
		at := pool.child(targetsList, i)
		checkName(c, at, "id", t.ID)
		checkUnique(c, ids, t.ID, at, "id")
		checkName(c, at, "failureDomain", t.FailureDomain)
		checkRange(c, at, "slots", t.Slots, 0, MaxSlots)
		if a, ok := checkAddress(c, at, "address", t.Address); ok {
			checkUnique(c, addresses, a, at, "address")
		}
	}
}
