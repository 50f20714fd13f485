package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// CellFloor returns a cell's part of its pool's floor, rounded up, so that the floors of the cells add up to at
// least the pool's; 0 if the pool has no targets.
func CellFloor(floor, poolTargets, cellTargets int) int {
	if poolTargets <= 0 {
		return 0
	}
	return (floor*cellTargets + poolTargets - 1) / poolTargets
}

// notEjected counts the targets that are neither ejected nor leaving, and those that are ejected.
func (c *Cell) notEjected() (remaining, ejected int) {
	for i := range c.targets.len() {
		switch c.targets.at(i).state {
		case TargetLeaving:
		case TargetEjected:
			ejected++
		default:
			remaining++
		}
	}
	return remaining, ejected
}

// blockingReason returns why no further target may be ejected, or "". Only an exclusive owner ejects targets.
// All ejections in the fleet are then those of one entry, and its floor is the fleet's.
func (c *Cell) blockingReason() Reason {
	remaining, _ := c.notEjected()
	if remaining-1 < c.Floor && !c.injectedFaults.ignoreFloor {
		return ReasonFloor
	}
	if c.ownership != fleet.ExclusiveOwner && !c.injectedFaults.ejectContested {
		return ReasonOwnership
	}
	return ""
}

// enforceFloor makes ejected targets avoided when a changed table, a leaving target or a contested ownership no
// longer permits their ejection. It starts with the target that has the least evidence against it.
func (c *Cell) enforceFloor(now Time) {
	if c.ownership != fleet.ExclusiveOwner && !c.injectedFaults.ejectContested {
		for i := range c.targets.len() {
			if t := c.targets.at(i); t.state == TargetEjected {
				c.revertEjection(now, t, ReasonOwnership)
			}
		}
	}
	if c.injectedFaults.ignoreFloor {
		return
	}
	remaining, ejected := c.notEjected()
	for ; remaining < c.Floor && ejected > 0; remaining, ejected = remaining+1, ejected-1 {
		c.revertEjection(now, c.weakestEjected(), ReasonFloor)
	}
}

func (c *Cell) revertEjection(now Time, t *target, reason Reason) {
	cause := t.reason
	c.setState(now, t, TargetAvoided, reason, EventEjectionReverted, 0, 0, 0)
	t.reason, t.ejectionBlockedBy = cause, reason
	t.trial.due = min(t.trial.due, now+Time(trialInterval))
}

// weakestEjected returns the ejected target with the least evidence against it.
func (c *Cell) weakestEjected() *target {
	var weakest *target
	minSum := 0.0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state != TargetEjected {
			continue
		}
		sum, _, _ := t.evidence.strongest()
		if weakest == nil || sum < minSum {
			weakest, minSum = t, sum
		}
	}
	return weakest
}
