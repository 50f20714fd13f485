package pool

import (
	"math"
)

// Shares of the threshold of ejection.
const (
	// avoidFraction is where a target is avoided. Avoiding costs little, so it may happen by chance.
	avoidFraction = 0.42
	// falseAvoidanceHours is the time between false avoidances that a quiet pool accepts, and minAvoidThreshold the least
	// evidence that makes a target avoided.
	falseAvoidanceHours = 0.5
	minAvoidThreshold   = 4.0
	// lateThresholdFactor relates the rate to the evidence of requests in flight that makes a target avoided. These
	// avoidances end with the requests, so they may be frequent, but a busy pool, where several requests are
	// late soon at a target that hangs, needs more evidence. minLateThreshold is the least.
	lateThresholdFactor = 1.4
	minLateThreshold    = 5.5
	// restoreFraction is where an avoided target's evidence is spent.
	restoreFraction = 0.1
	// testsPerSample is the number of tests that each sample may trip by chance.
	testsPerSample = 4
	// flapThresholdReduction lowers the threshold for a target that failed again after its return, per return.
	flapThresholdReduction = 2.0
	// minEjectThreshold bounds thresholds in pools that accept frequent false ejections.
	minEjectThreshold = 8.0
	// minUnhealthyEvidence is the evidence of about one failure, from which a target looks bad for the question
	// whether most of the cell does.
	minUnhealthyEvidence = 4.0
)

// ejectThreshold is the evidence that ejects a target. With n samples an hour and one false ejection accepted
// in H hours, a healthy pool may reach it once in n*H samples.
func (c *Cell) ejectThreshold(t *target) float64 {
	hours := c.Policy.FalseEjectionEveryHours
	if hours <= 0 {
		hours = 1
	}
	samples := max(minRate, c.stats.sampleRate) * 3600 * hours * testsPerSample
	base := max(minEjectThreshold, math.Log(samples))
	return max(base/2, base-flapThresholdReduction*float64(t.trial.flaps))
}

// avoidThreshold is the evidence that makes a target avoided: a share of the threshold of ejection, and in a
// quiet pool, where few samples come by chance, no more than one false avoidance in falseAvoidanceHours needs.
func (c *Cell) avoidThreshold(threshold float64) float64 {
	samples := max(minRate, c.stats.sampleRate) * 3600 * falseAvoidanceHours * testsPerSample
	return min(threshold*avoidFraction, max(minAvoidThreshold, math.Log(samples)))
}

// lateThreshold is the evidence of requests in flight that makes a target avoided until they end.
func (c *Cell) lateThreshold() float64 {
	return max(minLateThreshold, lateThresholdFactor*math.Log(max(minRate, c.stats.sampleRate)))
}

// evaluateTargets applies the evidence to every target.
func (c *Cell) evaluateTargets(now Time) {
	for i := range c.targets.len() {
		t := c.targets.at(i)
		c.decayFlaps(now, t)
		c.evaluate(now, t)
	}
}

// evaluate applies the evidence to one target.
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
		if t.avoidedForLateRequests && e.late == 0 && e.firstTimeoutAt < t.since && e.fromCompleted() < c.avoidThreshold(threshold) {
			// The late requests were answered; what they showed is kept as evidence of their time.
			c.setState(now, t, TargetServing, ReasonRecovered, EventRestored, sum, threshold, samples)
			c.refreshLimits(now)
			return
		}
		if sum <= threshold*restoreFraction && t.trial.healthEvidence >= returnEvidence {
			c.restore(now, t, EventRestored)
			return
		}
	}
	// Attempts in flight only make a target avoided: if their connections are silent, the target is sound.
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

// setState moves a target to a state and reports it.
func (c *Cell) setState(now Time, t *target, s TargetState, reason Reason, kind EventKind,
	sum, threshold float64, samples int,
) {
	t.state, t.since, t.reason, t.ejectionBlockedBy, t.avoidedForLateRequests = s, now, reason, "", false
	c.emit(Event{
		At: now, Kind: kind, Target: t.id, Reason: reason, Evidence: sum, Threshold: threshold, Samples: samples,
	})
}
