package pool

import (
	"math"
)

// Shares of the threshold of ejection.
const (
	// avoidShare is where a target is avoided. Avoiding costs little, so it may happen by chance.
	avoidShare = 0.42
	// avoidEveryHours is the time between false avoidances that a quiet pool accepts, and leastAvoid the least
	// evidence that makes a target avoided.
	avoidEveryHours = 0.5
	leastAvoid      = 4.0
	// lateAvoidPower relates the rate to the evidence of requests in flight that makes a target avoided. These
	// avoidances end with the requests, so they may be frequent, but a busy pool, where several requests are
	// late soon at a target that hangs, needs more evidence. leastLateAvoid is the least.
	lateAvoidPower = 1.4
	leastLateAvoid = 5.5
	// restoreShare is where an avoided target's evidence is spent.
	restoreShare = 0.1
	// testsPerSample is the number of tests that each sample may trip by chance.
	testsPerSample = 4
	// flapRelief lowers the threshold for a target that failed again after its return, per return.
	flapRelief = 2.0
	// leastThreshold bounds thresholds in pools that accept frequent false ejections.
	leastThreshold = 8.0
	// suspectSum is the evidence of about one failure, from which a target looks bad for the question
	// whether most of the cell does.
	suspectSum = 4.0
)

// threshold is the evidence that ejects a target. With n samples an hour and one false ejection accepted
// in H hours, a healthy pool may reach it once in n*H samples.
func (c *Cell) threshold(t *target) float64 {
	hours := c.Policy.FalseEjectionEveryHours
	if hours <= 0 {
		hours = 1
	}
	samples := max(minRate, c.history.rate) * 3600 * hours * testsPerSample
	base := max(leastThreshold, math.Log(samples))
	return max(base/2, base-flapRelief*float64(t.trial.flaps))
}

// avoidThreshold is the evidence that makes a target avoided: a share of the threshold of ejection, and in a
// quiet pool, where few samples come by chance, no more than one false avoidance in avoidEveryHours needs.
func (c *Cell) avoidThreshold(threshold float64) float64 {
	samples := max(minRate, c.history.rate) * 3600 * avoidEveryHours * testsPerSample
	return min(threshold*avoidShare, max(leastAvoid, math.Log(samples)))
}

// lateThreshold is the evidence of requests in flight that makes a target avoided until they end.
func (c *Cell) lateThreshold() float64 {
	return max(leastLateAvoid, lateAvoidPower*math.Log(max(minRate, c.history.rate)))
}

// judge applies the evidence to every target.
func (c *Cell) judge(now Time) {
	for i := range c.targets.len() {
		t := c.targets.at(i)
		c.forgetFlaps(now, t)
		c.judgeTarget(now, t)
	}
}

// judgeTarget applies the evidence to one target.
func (c *Cell) judgeTarget(now Time, t *target) {
	e := &t.evidence
	sum, reason, samples := e.strongest()
	if sum == 0 && t.state == TargetServing {
		e.suspicion = 0
		return
	}
	threshold := c.threshold(t)
	e.suspicion = min(1, sum/c.avoidThreshold(threshold))
	switch t.state {
	case TargetServing:
		if sum >= c.avoidThreshold(threshold) && !c.doubtful(now) {
			c.avoid(now, t, sum, threshold, reason, samples)
		}
		if t.state == TargetServing && e.late >= c.lateThreshold() && !c.doubtful(now) {
			c.avoid(now, t, sum, threshold, ReasonSlow, samples)
			t.onlyLate = t.state == TargetAvoided
		}
	case TargetAvoided:
		if t.onlyLate && e.late == 0 && e.timeoutAt < t.since && e.settled() < c.avoidThreshold(threshold) {
			// The late requests were answered; what they showed is kept as evidence of their time.
			c.setState(now, t, TargetServing, ReasonRecovered, EventRestored, sum, threshold, samples)
			c.refreshLimits(now)
			return
		}
		if sum <= threshold*restoreShare && t.trial.recovered >= returnEvidence {
			c.restore(now, t, EventRestored)
			return
		}
	}
	// Attempts in flight only make a target avoided: if their connections are silent, the target is sound.
	if t.state == TargetAvoided && e.settled() >= threshold && !c.doubtful(now) {
		c.eject(now, t, sum, threshold, reason, samples)
	}
}

func (c *Cell) avoid(now Time, t *target, sum, threshold float64, reason Reason, samples int) {
	if c.commonCause(now) {
		return
	}
	c.setState(now, t, TargetAvoided, reason, EventAvoided, sum, threshold, samples)
	t.trial.reset(now, firstTrial)
	c.refreshLimits(now)
}

func (c *Cell) eject(now Time, t *target, sum, threshold float64, reason Reason, samples int) {
	blocked := c.mayEject()
	t.blocked = blocked
	if blocked != "" {
		return
	}
	c.setState(now, t, TargetEjected, reason, EventEjected, sum, threshold, samples)
	t.trial.reset(now, t.trial.holdOff())
	c.refreshLimits(now)
}

// setState moves a target to a state and reports it.
func (c *Cell) setState(now Time, t *target, s TargetState, reason Reason, kind EventKind,
	sum, threshold float64, samples int,
) {
	t.state, t.since, t.reason, t.blocked, t.onlyLate = s, now, reason, "", false
	c.event(Event{
		At: now, Kind: kind, Target: t.id, Reason: reason, Evidence: sum, Threshold: threshold, Samples: samples,
	})
}
