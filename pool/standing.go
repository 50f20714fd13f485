package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Update puts the targets and the floor of the tables in force into effect. Targets that are no longer
// listed get no new work; their rows stay until their attempts end.
func (c *Cell) Update(now Time, targets []table.Target, floor int) {
	first := c.targets.len() == 0
	c.begin(now)
	c.Floor = floor
	for i := range c.targets.len() {
		c.targets.at(i).listed = false
	}
	for _, listed := range targets {
		t, fresh := c.targets.add(listed.ID)
		if fresh {
			*t = target{id: listed.ID, state: TargetServing, since: now, reason: ReasonTable}
			if !first {
				t.rampCold(now)
			}
		}
		if !fresh && t.started != listed.Started {
			c.restarted(now, t)
		}
		t.started, t.slots = listed.Started, listed.Slots
		t.listed = true
		t.tableLeaving = listed.Leaving
	}
	for i := c.targets.len() - 1; i >= 0; i-- {
		t := c.targets.at(i)
		c.settleLeaving(now, t, ReasonTable)
		c.dropIfGone(t)
	}
	c.afterMembership(now)
}

// restarted starts over with a new process that has a former target's id.
func (c *Cell) restarted(now Time, t *target) {
	t.evidence.reset()
	t.belief = belief{}
	t.connection = connectionState{}
	t.drainSignalled = false
	if t.state != TargetServing {
		c.setState(now, t, TargetServing, ReasonTable, EventReturned, 0, 0, 0)
	}
	t.rampCold(now)
}

// SetPolicy replaces the pool's settings, as when the tables change.
func (c *Cell) SetPolicy(now Time, policy table.Policy, slots int) {
	c.begin(now)
	c.Policy = policy
	c.SlotsPerTarget = slots
	c.history.configure(policy.SlowFactor)
	c.refreshLimits(now)
}

// SetOwnership reports the fleet's view of this entry as owner of the cell, and whether the entry doubts
// itself. It is to be called before each Tick, and before Submit after a change.
func (c *Cell) SetOwnership(now Time, standing fleet.Ownership, selfDoubt bool) {
	c.begin(now)
	c.given = standing
	if selfDoubt {
		if !c.doubt.observer {
			c.discardEvidence(now)
		}
		c.doubt.evidenceFrom = now
	}
	c.doubt.observer = selfDoubt
	if c.settleStanding(now) {
		c.refreshLimits(now)
		c.pump(now)
	}
}

// ImportEjected starts with the targets that the former owner of the cell had ejected.
func (c *Cell) ImportEjected(now Time, ejected []table.TargetID) {
	c.begin(now)
	for _, id := range ejected {
		t := c.targets.get(id)
		if t != nil && c.spells() {
			c.inheritDoubt(now, t)
			continue
		}
		if t == nil || t.state != TargetServing {
			continue
		}
		c.setState(now, t, TargetAvoided, ReasonInherited, EventAvoided, 0, 0, 0)
		t.trial.reset(now, firstTrial)
		if c.mayEject() == "" {
			c.setState(now, t, TargetEjected, ReasonInherited, EventEjected, 0, 0, 0)
			t.trial.reset(now, t.trial.holdOff())
		}
	}
	c.refreshLimits(now)
}

// Signal reports what a target's own endpoints say.
func (c *Cell) Signal(now Time, id table.TargetID, s Signal) {
	c.begin(now)
	t := c.targets.get(id)
	if t == nil {
		return
	}
	switch s.Kind {
	case SignalDraining:
		c.drain(now, t)
	case SignalProbeFailed:
		t.probeFailedAt = now
		c.confirmCrash(now, t)
	case SignalProbeOK:
		c.probeOK(now, t)
	case SignalLoad:
		// The reported load lags and may mislead; the attempts in flight are known exactly.
	}
}

// probeOK ends a drain that was signalled by a process that has ended since, and lets an unreachable
// target be tried at once. It is no evidence that real work succeeds.
func (c *Cell) probeOK(now Time, t *target) {
	if t.drainSignalled && t.probeFailedAt > 0 {
		t.drainSignalled = false
		t.rampCold(now)
		c.settleLeaving(now, t, ReasonRecovered)
		c.afterMembership(now)
	}
	t.probeFailedAt = 0
	if t.state == TargetUnreachable {
		t.trial.due = now
		t.trial.urgent = true
	}
}

// drain stops new work for a target that announced that it is leaving.
func (c *Cell) drain(now Time, t *target) {
	if t.drainSignalled {
		return
	}
	t.drainSignalled = true
	t.probeFailedAt = 0
	c.settleLeaving(now, t, ReasonDrainSignal)
	c.afterMembership(now)
}

// settleLeaving moves a target into or out of TargetLeaving.
func (c *Cell) settleLeaving(now Time, t *target, reason Reason) {
	leaving := t.leaving() && !c.faults.workForLeaving
	switch {
	case leaving && t.state != TargetLeaving:
		c.setState(now, t, TargetLeaving, reason, EventLeaving, 0, 0, 0)
	case !leaving && t.state == TargetLeaving:
		t.evidence.reset()
		c.setState(now, t, TargetServing, reason, EventReturned, 0, 0, 0)
	}
}

func (c *Cell) dropIfGone(t *target) {
	if !t.listed && t.inFlight == 0 {
		c.targets.remove(t.id)
	}
}

// afterMembership recomputes what depends on the set of targets.
func (c *Cell) afterMembership(now Time) {
	c.countListed()
	c.enforceFloor(now)
	c.refreshLimits(now)
	c.pump(now)
}

// settleStanding applies the standing in use, and says whether it changed.
func (c *Cell) settleStanding(now Time) bool {
	standing := c.given
	if standing == fleet.ExclusiveOwner && now < c.doubt.until {
		standing = fleet.ContestedOwner
	}
	if standing == c.standing {
		return false
	}
	c.standing = standing
	c.enforceFloor(now)
	if standing == fleet.NotOwner {
		c.refuseAll()
	}
	return true
}

// refuseAll ends all waiting requests, so that the daemon can pass them to the owner.
func (c *Cell) refuseAll() {
	for i := range c.queue.lanes {
		q := &c.queue.lanes[i]
		q.each(func(r *request) {
			q.remove(&r.node)
			c.settleUnrun(r, ReasonNotOwner, 0)
		})
	}
	for _, r := range c.delayed {
		c.settleUnrun(r, ReasonNotOwner, 0)
	}
	c.delayed = c.delayed[:0]
}

// countListed counts the targets that the table lists and that stay.
func (c *Cell) countListed() {
	c.listedTargets = 0
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.listed && !t.tableLeaving {
			c.listedTargets++
		}
	}
}

// SetShared says whether another entry is likely to place work at the same targets now. The cell then
// uses half of their slots.
func (c *Cell) SetShared(now Time, shared bool) {
	c.begin(now)
	if shared == c.shared {
		return
	}
	c.shared = shared
	c.budget.ownFrom = now
	c.refreshLimits(now)
	c.pump(now)
}
