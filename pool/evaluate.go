package pool

import (
	"math"
)

// Parameters of the thresholds of the evidence.
const (
	// avoidFraction is the avoid threshold as a fraction of the eject threshold. Avoiding a target costs
	// little, so false avoidances are acceptable.
	avoidFraction = 0.42
	// falseAvoidanceHours is the acceptable time between false avoidances in a pool with little traffic, and
	// minAvoidThreshold the lower bound of the avoid threshold.
	falseAvoidanceHours = 0.5
	minAvoidThreshold   = 4.0
	// lateThresholdFactor multiplies the logarithm of the rate in the threshold for requests in flight, and
	// minLateThreshold is its lower bound. These avoidances end with the requests, so they may be frequent. A
	// busy pool needs more evidence, because several requests are soon late at a target that hangs.
	lateThresholdFactor = 1.4
	minLateThreshold    = 5.5
	// restoreFraction is the fraction of the eject threshold to which the evidence against an avoided target
	// must fall before the target is restored.
	restoreFraction = 0.1
	// testsPerSample is the number of tests that each sample may trigger by chance.
	testsPerSample = 4
	// flapThresholdReduction lowers the threshold of a target that failed again after its return, for each
	// return.
	flapThresholdReduction = 2.0
	// minEjectThreshold is the lower bound of the threshold, for pools that accept frequent false ejections.
	minEjectThreshold = 8.0
	// minUnhealthyEvidence is the evidence of about one failure. From it on a target counts as unhealthy when
	// the cell looks for a common cause.
	minUnhealthyEvidence = 4.0
)

// ejectThreshold returns the evidence that ejects a target. With n samples an hour and one false ejection
// accepted in H hours, a healthy pool may reach it once in n*H samples.
func (c *Cell) ejectThreshold(t *target) float64 {
	hours := c.Policy.FalseEjectionEveryHours
	if hours <= 0 {
		hours = 1
	}
	samples := max(minRate, c.stats.sampleRate) * 3600 * hours * testsPerSample
	base := max(minEjectThreshold, math.Log(samples))
	return max(base/2, base-flapThresholdReduction*float64(t.trial.flaps))
}

// avoidThreshold returns the evidence that makes a target avoided: a fraction of the eject threshold, but no
// more than it takes for one false avoidance in falseAvoidanceHours. The latter applies to pools with little
// traffic, where few samples occur by chance.
func (c *Cell) avoidThreshold(threshold float64) float64 {
	samples := max(minRate, c.stats.sampleRate) * 3600 * falseAvoidanceHours * testsPerSample
	return min(threshold*avoidFraction, max(minAvoidThreshold, math.Log(samples)))
}

// lateThreshold returns the evidence of requests in flight that makes a target avoided until they end.
func (c *Cell) lateThreshold() float64 {
	return max(minLateThreshold, lateThresholdFactor*math.Log(max(minRate, c.stats.sampleRate)))
}

// evaluateTargets updates the state of every target from its evidence.
func (c *Cell) evaluateTargets(now Time) {
	for i := range c.targets.len() {
		t := c.targets.at(i)
		c.decayFlaps(now, t)
		c.evaluate(now, t)
	}
}

// evaluate updates the state of one target from its evidence.
func (c *Cell) evaluate(now Time, t *target) {
	e := &t.evidence
	sum, reason, samples := e.strongest()
	if sum == 0 && t.state == TargetServing {
		e.faultLevel = 0
		return
	}
	threshold := c.ejectThreshold(t)
	e.faultLevel = min(1, sum/c.avoidThreshold(threshold))
	switch t.state {
	case TargetServing:
		if sum >= c.avoidThreshold(threshold) && !c.detectionSuspended(now) {
			c.avoid(now, t, sum, threshold, reason, samples)
		}
		if t.state == TargetServing && e.late >= c.lateThreshold() && !c.detectionSuspended(now) {
			c.avoid(now, t, sum, threshold, ReasonSlow, samples)
			t.avoidedForLateRequests = t.state == TargetAvoided
		}
	case TargetAvoided:
		if t.avoidedForLateRequests && e.late == 0 && e.firstTimeoutAt < t.since &&
			e.fromCompleted() < c.avoidThreshold(threshold) {
			// The late requests got a response; their service times have been added to the evidence.
			c.setState(now, t, TargetServing, ReasonRecovered, EventRestored, sum, threshold, samples)
			c.refreshLimits(now)
			return
		}
		if sum <= threshold*restoreFraction && t.trial.healthEvidence >= returnEvidence {
			c.restore(now, t, EventRestored)
			return
		}
	}
	// Attempts in flight can make a target avoided, but not ejected: if only their connections are silent, the
	// target is healthy.
	if t.state == TargetAvoided && e.fromCompleted() >= threshold && !c.detectionSuspended(now) {
		c.eject(now, t, sum, threshold, reason, samples)
	}
}

func (c *Cell) avoid(now Time, t *target, sum, threshold float64, reason Reason, samples int) {
	if c.checkCommonCause(now) {
		return
	}
	c.setState(now, t, TargetAvoided, reason, EventAvoided, sum, threshold, samples)
	t.trial.reset(now, trialInterval)
	c.refreshLimits(now)
}

func (c *Cell) eject(now Time, t *target, sum, threshold float64, reason Reason, samples int) {
	blocked := c.blockingReason()
	t.ejectionBlockedBy = blocked
	if blocked != "" {
		return
	}
	c.setState(now, t, TargetEjected, reason, EventEjected, sum, threshold, samples)
	t.trial.reset(now, t.trial.ejectionTime())
	c.refreshLimits(now)
}

// setState moves a target to a state and emits the event.
func (c *Cell) setState(now Time, t *target, s TargetState, reason Reason, kind EventKind,
	sum, threshold float64, samples int,
) {
	t.state, t.since, t.reason, t.ejectionBlockedBy, t.avoidedForLateRequests = s, now, reason, "", false
	c.emit(Event{
		At: now, Kind: kind, Target: t.id, Reason: reason, Evidence: sum, Threshold: threshold, Samples: samples,
	})
}
