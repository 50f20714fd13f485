package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// Update applies the targets and the floor of the active tables. Targets that are no longer listed get no new
// requests; their rows stay until their attempts end.
func (c *Cell) Update(now Time, targets []table.Target, floor int) {
	initial := c.targets.len() == 0
	c.beginCall(now)
	c.Floor = floor
	for i := range c.targets.len() {
		c.targets.at(i).listed = false
	}
	for _, listed := range targets {
		t, added := c.targets.add(listed.ID)
		if added {
			*t = target{id: listed.ID, state: TargetServing, since: now, reason: ReasonTable}
			if !initial {
				t.rampCold(now)
			}
		}
		if !added && t.started < listed.Started {
			c.handleRestart(now, t)
		}
		// A registration of an earlier process says nothing about the one that was seen since.
		t.tableLeaving = listed.Leaving || t.tableLeaving && listed.Started < t.started
		t.started, t.slots = max(t.started, listed.Started), listed.Slots
		t.listed = true
		c.recallAnnouncement(t)
	}
	for i := c.targets.len() - 1; i >= 0; i-- {
		t := c.targets.at(i)
		c.updateLeaving(now, t, ReasonTable)
		c.removeIfUnlisted(t)
	}
	c.membershipChanged(now)
}

// handleRestart resets the target after a new process has taken its ID.
func (c *Cell) handleRestart(now Time, t *target) {
	t.evidence.reset()
	t.estimate = failureEstimate{}
	t.rate = rateLimiter{}
	t.connection = connectionState{}
	t.work = targetWork{crowdedAt: now}
	t.drainSignaled = false
	t.shedUntil, t.pausedUntil = 0, 0
	if t.state != TargetServing {
		c.setState(now, t, TargetServing, ReasonTable, EventReturned, 0, 0, 0)
	}
	t.rampCold(now)
}

// SetPolicy replaces the settings of the pool, as when the tables change.
func (c *Cell) SetPolicy(now Time, policy table.Policy, slots int) {
	c.beginCall(now)
	rescheduled := c.Policy.Scheduling != policy.Scheduling
	c.Policy = policy
	c.SlotsPerTarget = slots
	if rescheduled {
		c.reschedule()
	}
	c.stats.configure(policy.SlowFactor)
	c.refreshLimits(now)
}

// SetOwnership sets the fleet's view of this entry as owner of the cell, and whether the entry's process was
// paused recently. It is to be called before each Tick, and before Submit after a change.
func (c *Cell) SetOwnership(now Time, ownership fleet.Ownership, recentlyPaused bool) {
	c.beginCall(now)
	c.reportedOwnership = ownership
	if recentlyPaused {
		if !c.suspension.observerPaused {
			c.discardEvidence(now)
		}
		c.suspension.evidenceFrom = now
	}
	c.suspension.observerPaused = recentlyPaused
	if c.updateOwnership(now) {
		c.refreshLimits(now)
		c.dispatch(now)
	}
}

// ImportEjected takes over the targets that the previous owner of the cell had ejected. Those that may not be
// ejected now become avoided. Where failure episodes are tracked, the targets become suspect instead.
func (c *Cell) ImportEjected(now Time, ejected []table.TargetID) {
	c.beginCall(now)
	for _, id := range ejected {
		t := c.targets.get(id)
		if t != nil && c.tracksEpisodes() {
			c.importSuspect(now, t)
			continue
		}
		if t == nil || t.state != TargetServing {
			continue
		}
		c.setState(now, t, TargetAvoided, ReasonHandover, EventAvoided, 0, 0, 0)
		t.trial.reset(now, trialInterval)
		if c.blockingReason() == "" {
			c.setState(now, t, TargetEjected, ReasonHandover, EventEjected, 0, 0, 0)
			t.trial.reset(now, t.trial.ejectionTime())
		}
	}
	c.refreshLimits(now)
}

// Signal handles a report of a target's own endpoints.
func (c *Cell) Signal(now Time, id table.TargetID, s Signal) {
	c.beginCall(now)
	t := c.targets.get(id)
	if t == nil {
		return
	}
	switch s.Kind {
	case SignalDraining:
		c.Announcements.Add(id, Announcement{Started: t.started, Leaving: true})
		c.drain(now, t)
	case SignalProbeFailed:
		t.probeFailedAt = now
		c.confirmCrash(now, t)
	case SignalProbeOK:
		c.probeOK(now, t)
	case SignalLoad:
		// The reported load lags behind and may be wrong; the number of attempts in flight is known exactly.
	}
}

// probeOK ends a drain that was signaled by a process that has ended since, where targets don't say when their process
// started, and makes a trial of an unreachable target due at once. A successful probe is no evidence that requests
// succeed.
func (c *Cell) probeOK(now Time, t *target) {
	if t.drainSignaled && t.probeFailedAt > 0 && t.started == 0 {
		t.drainSignaled = false
		c.Announcements.endLeaving(t.id)
		t.rampCold(now)
		c.updateLeaving(now, t, ReasonRecovered)
		c.membershipChanged(now)
	}
	t.probeFailedAt = 0
	if t.state == TargetUnreachable {
		t.trial.due = now
		t.trial.urgent = true
	}
}

// drain stops new requests to a target that announced that it is leaving.
func (c *Cell) drain(now Time, t *target) {
	if t.drainSignaled {
		return
	}
	t.drainSignaled = true
	t.probeFailedAt = 0
	c.updateLeaving(now, t, ReasonDrainSignal)
	c.membershipChanged(now)
}

// updateLeaving moves a target into or out of TargetLeaving.
func (c *Cell) updateLeaving(now Time, t *target, reason Reason) {
	leaving := t.leaving() && !c.injectedFaults.workForLeaving
	switch {
	case leaving && t.state != TargetLeaving:
		c.setState(now, t, TargetLeaving, reason, EventLeaving, 0, 0, 0)
	case !leaving && t.state == TargetLeaving:
		t.evidence.reset()
		c.setState(now, t, TargetServing, reason, EventReturned, 0, 0, 0)
	}
}

func (c *Cell) removeIfUnlisted(t *target) {
	if !t.listed && t.inFlight == 0 {
		c.targets.remove(t.id)
	}
}

// membershipChanged recomputes what depends on the set of targets.
func (c *Cell) membershipChanged(now Time) {
	c.countListed()
	c.enforceFloor(now)
	c.refreshLimits(now)
	c.dispatch(now)
}

// updateOwnership computes the effective ownership and reports whether it changed.
func (c *Cell) updateOwnership(now Time) bool {
	ownership := c.reportedOwnership
	if ownership == fleet.ExclusiveOwner && now < c.suspension.delayedTickUntil {
		ownership = fleet.ContestedOwner
	}
	if ownership == c.ownership {
		return false
	}
	c.ownership = ownership
	c.enforceFloor(now)
	if ownership == fleet.NotOwner {
		c.refuseAll()
	}
	return true
}

// refuseAll ends all waiting requests, so that the daemon can forward them to the owner.
func (c *Cell) refuseAll() {
	c.queue.each(func(r *request) {
		c.queue.remove(r)
		c.endWaiting(r, ReasonNotOwner, 0)
	})
	for _, r := range c.delayed {
		c.endWaiting(r, ReasonNotOwner, 0)
	}
	c.delayed = c.delayed[:0]
}

// countListed counts the listed targets that the table does not mark as leaving.
func (c *Cell) countListed() {
	c.listedTargets = 0
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.listed && !t.tableLeaving {
			c.listedTargets++
		}
	}
}

// SetShared sets whether another entry is likely to send requests to the same targets now. If so, the cell uses
// half of their slots, unless failure episodes are tracked, and a part of a windowed retry budget.
func (c *Cell) SetShared(now Time, shared bool) {
	c.beginCall(now)
	if shared == c.shared {
		return
	}
	c.dropRetryBurst(now)
	c.shared = shared
	c.refreshLimits(now)
	c.dispatch(now)
}

// SetPartitioned sets whether this entry has lost its links with most of the fleet. Another entry may then own the cell
// unheard, and a retry burst that is a limit for the whole fleet belongs to that one.
func (c *Cell) SetPartitioned(now Time, partitioned bool) {
	c.beginCall(now)
	if partitioned == c.partitioned {
		return
	}
	c.dropRetryBurst(now)
	c.partitioned = partitioned
}
