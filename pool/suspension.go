package pool

import (
	"time"
)

// commonCauseSuspension is how long outlier detection is suspended after most of the targets looked unhealthy.
const commonCauseSuspension = 2 * time.Second

// simultaneousWindow is how old evidence may be to count as simultaneous. With little traffic, as at night, old
// evidence remains for hours, because no success outweighs it.
const simultaneousWindow = 10 * time.Second

// suspension holds the reasons for which the cell does not trust its own observations.
type suspension struct {
	// delayedTickUntil is the end of the suspension after a delayed tick of this cell.
	delayedTickUntil Time
	// observerPaused says that the daemon reported a recent pause of the process.
	observerPaused bool
	// Attempts that started before evidenceFrom are not evidence.
	evidenceFrom Time
	// commonCauseUntil is the end of the suspension after a common cause.
	commonCauseUntil Time
}

func (s *suspension) tickDelayed(now Time) {
	s.delayedTickUntil = now + Time(delayedTickSuspension)
	s.evidenceFrom = now
}

// detectionSuspended reports whether outlier detection is suspended, so that no target is avoided or ejected.
func (c *Cell) detectionSuspended(now Time) bool {
	return c.suspension.observerPaused || now < c.suspension.delayedTickUntil || now < c.suspension.commonCauseUntil
}

// discardEvidence clears the evidence against serving targets, because the observer may be at fault. Attempts
// that are in flight will be no evidence.
func (c *Cell) discardEvidence(now Time) {
	c.suspension.evidenceFrom = now
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetServing {
			t.evidence.reset()
			t.connection.consecutiveFaults = 0
		}
	}
}

// pathFaultAge is how long before its owner notices a broken path faults of targets may be due to it.
const pathFaultAge = Time(3 * time.Second)

// DiscardPathEvidence forgets the recent faults of targets, since the paths to them were broken. Attempts in flight
// will be no evidence.
func (c *Cell) DiscardPathEvidence(now Time) {
	c.beginCall(now)
	c.suspension.evidenceFrom = now
	for i := range c.targets.len() {
		t := c.targets.at(i)
		unreached := t.unansweredSince > 0 || t.connection.consecutiveRefused > 0
		recent := t.estimate.lastFaultAt > 0 && now-t.estimate.lastFaultAt <= pathFaultAge
		if !unreached && !recent {
			continue
		}
		t.evidence.reset()
		t.estimate = failureEstimate{}
		t.connection = connectionState{}
		t.unansweredSince = 0
		if t.state == TargetUnreachable {
			c.setState(now, t, TargetServing, ReasonRecovered, EventReachable, 0, 0, 0)
		}
	}
	c.refreshLimits(now)
}

// checkCommonCause reports whether most of the serving and avoided targets, of which there must be at least three,
// look unhealthy at the same time. Then a common cause, or a fault of the observer, is likelier than a fault of
// each target. Avoided targets are restored, the evidence is discarded, and outlier detection is suspended.
func (c *Cell) checkCommonCause(now Time) bool {
	unhealthy, inService := 0, 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state != TargetServing && t.state != TargetAvoided {
			continue
		}
		inService++
		recent := now-t.evidence.lastUnhealthyAt <= Time(simultaneousWindow)
		if (recent && (t.evidence.fromCompleted() >= minUnhealthyEvidence || t.state == TargetAvoided)) ||
			t.evidence.late >= minLateThreshold {
			unhealthy++
		}
	}
	if inService < 3 || unhealthy*2 <= inService {
		return false
	}
	c.suspension.commonCauseUntil = now + Time(commonCauseSuspension)
	c.stats.discount()
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetAvoided {
			c.restore(now, t, EventRestored)
		}
	}
	c.discardEvidence(now)
	c.emit(Event{At: now, Kind: EventCommonCause, Reason: ReasonMostTargetsUnhealthy, Samples: unhealthy})
	return true
}
