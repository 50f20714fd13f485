package pool

import (
	"time"
)

// Bounds of the time that a request waits for a serving target before an avoided one is used.
const (
	minSaturationWait = 50 * time.Millisecond
	maxSaturationWait = 5 * time.Second
)

// faultLevelWeight is the load penalty of a target that is almost avoided, as a fraction of a full target's
// load: with 4 slots, two requests in flight.
const faultLevelWeight = 0.5

// connectionFaultLevel is the fault level after a connection fault that does not count as evidence yet.
const connectionFaultLevel = 0.5

// overloadServiceTimes is the queue wait, in mean service times, that indicates lasting overload. Then a slot
// is worth more than the few uploads that could fail at an unhealthy target.
const overloadServiceTimes = 3

// unresolvedFaultLevel is below the fault level after one failure, and above the level once a success has
// followed.
const unresolvedFaultLevel = 0.3

// faultLevelServiceTimes is how long a fault affects the load penalty, in mean service times.
const faultLevelServiceTimes = 2

// pick chooses a target with a free slot for the request, or returns nil. The last result says that the attempt
// is a trial.
func (c *Cell) pick(now Time, r *request) (*target, Reason, bool) {
	if t := c.pickTrial(now, r); t != nil {
		return t, ReasonTrial, true
	}
	if c.tracksEpisodes() {
		return c.pickByProbability(now, r)
	}
	if t := c.leastInFlight(now, r, TargetServing); t != nil {
		if r.attempt > 0 {
			return t, ReasonRetry, false
		}
		return t, c.ordinaryReason(), false
	}
	if c.mayUseAvoided(now, r) {
		if t := c.leastInFlight(now, r, TargetAvoided); t != nil {
			return t, ReasonSaturated, false
		}
	}
	return nil, "", false
}

// mayUseAvoided reports whether the request may go to an avoided target, because it is not likely to get
// another slot soon.
func (c *Cell) mayUseAvoided(now Time, r *request) bool {
	if c.avoidedTargets == 0 {
		return false
	}
	if c.servingSlots == 0 {
		return true
	}
	return c.waitedLong(now, r)
}

func (c *Cell) waitedLong(now Time, r *request) bool {
	return now-r.submitted >= Time(min(max(2*c.queue.meanServiceTime, minSaturationWait), maxSaturationWait))
}

// tooRisky reports whether the request could well fail at the target, so that it is better kept waiting or
// refused as not run. An upload occupies its slot for long, so evidence from uploads comes late. Uploads that
// are not retryable therefore skip targets with a recent fault for a time, and run there one at a time until one
// succeeds.
func (c *Cell) tooRisky(now Time, t *target, r *request) bool {
	if t.state == TargetAvoided {
		return c.servingTargets > 0 && (t.unlikelyToRespond() || (!r.retryable() && !t.slowButResponding()))
	}
	if r.retryable() {
		return false
	}
	if !r.Upload || c.mostHaveFaults {
		return false
	}
	if t.hasUnresolvedFault() && t.inFlight > 0 {
		return now-r.submitted < Time(overloadServiceTimes*c.queue.meanServiceTime)
	}
	return t.recentFaultLevel(now-Time(c.queue.meanServiceTime)) > 0 && !c.waitedLong(now, r)
}

// leastInFlight returns the target in the given state with the lowest sum of the fraction of its slots in use
// and its load penalty, or nil. Ties go to a random target. A retry goes to the target of the last attempt only
// if there is no other serving target.
func (c *Cell) leastInFlight(now Time, r *request, state TargetState) *target {
	n := c.targets.len()
	if n == 0 {
		return nil
	}
	var best, previous *target
	bestScore := 0.0
	position := c.Random.IntN(n)
	for range n {
		t := c.targets.at(position)
		position++
		if position == n {
			position = 0
		}
		if t.state != state || now < t.shedUntil || t.freeSlots() <= 0 {
			continue
		}
		if (r.suspectedPoison && t.poisonSuspectsInFlight > 0) || c.tooRisky(now, t, r) || !c.withinRate(now, t) {
			continue
		}
		if r.attempt > 0 && t.id == r.lastTarget {
			previous = t
			continue
		}
		score := c.load(t, r) + c.loadPenalty(now, t)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if best == nil && previous != nil && !c.hasOtherServing(previous) {
		return previous
	}
	return best
}

// loadPenalty returns the extra load that is assumed for a target because of evidence against it. It applies
// while requests are late and for a few service times after the last fault. If it lasted longer, a target
// without requests could neither recover nor be found unhealthy.
func (c *Cell) loadPenalty(now Time, t *target) float64 {
	if c.mostHaveFaults {
		return 0
	}
	return faultLevelWeight * t.recentFaultLevel(now-Time(faultLevelServiceTimes*c.queue.meanServiceTime))
}

// recentFaultLevel returns the evidence of faults since the given time, as a fraction of what makes the target
// avoided.
func (t *target) recentFaultLevel(since Time) float64 {
	e := &t.evidence
	level := 0.0
	if e.late > 0 || (e.lastFailureAt > 0 && e.lastFailureAt >= since) {
		level = e.faultLevel
	}
	if s := &t.connection; s.consecutiveFaults > 0 && s.lastFaultAt >= since {
		level = max(level, connectionFaultLevel)
	}
	return level
}

// hasUnresolvedFault reports whether no success has outweighed the last fault yet.
func (t *target) hasUnresolvedFault() bool {
	return t.connection.consecutiveFaults > 0 || t.evidence.faultLevel >= unresolvedFaultLevel
}

// hasOtherServing reports whether a serving target other than t exists, free or not.
func (c *Cell) hasOtherServing(t *target) bool {
	if t.state == TargetServing {
		return c.servingTargets > 1
	}
	return c.servingTargets > 0
}

// refreshLimits recomputes how many attempts each target may run, and the counts over the targets. The cell uses
// half of the slots, rounded up, while another entry is likely to use the same targets, and after a delayed
// tick. A contested owner that hears of no other entry uses all slots: after a crash the cell stays contested
// until the fleet list drops the VM, and targets that are oversubscribed nevertheless shed requests before they
// run them.
func (c *Cell) refreshLimits(now Time) {
	slots := max(1, c.SlotsPerTarget)
	// Where failure episodes are tracked, targets queue and shed requests themselves, and slots are too scarce
	// to be halved.
	if (c.shared || now < c.suspension.delayedTickUntil) && !c.injectedFaults.fullSlotsWhenShared && !c.tracksEpisodes() {
		slots = (slots + 1) / 2
	}
	if c.injectedFaults.oneSlotTooMany {
		slots++
	}
	c.servingSlots, c.servingTargets, c.avoidedTargets, c.trials.outOfService = 0, 0, 0, 0
	withFaults := 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		targetSlots := slots
		if t.slots > 0 && c.tracksEpisodes() {
			targetSlots = t.slots
		}
		t.limit = c.rampedSlots(now, t, targetSlots)
		switch t.state {
		case TargetServing:
			c.servingTargets++
			if t.recentFaultLevel(now-Time(faultLevelServiceTimes*c.queue.meanServiceTime)) > 0 {
				withFaults++
			}
			suspect := c.tracksEpisodes() && c.failureProbability(now, t) >= suspectProbability
			if now >= t.shedUntil && !suspect {
				c.servingSlots += c.slotsWithinRate(t)
			}
		case TargetAvoided:
			c.avoidedTargets++
			c.trials.outOfService++
			if c.tracksEpisodes() && t.reason == ReasonSlow {
				c.servingSlots += c.slotsWithinRate(t)
			}
		case TargetEjected, TargetUnreachable:
			c.trials.outOfService++
		}
	}
	c.mostHaveFaults = withFaults*2 > c.servingTargets
}
