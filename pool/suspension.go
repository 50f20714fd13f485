package pool

import (
	"time"
)

// commonCauseSuspension is how long the cell withholds judgement after most of its targets looked bad.
const commonCauseSuspension = 2 * time.Second

// simultaneousWindow is how old evidence may be to count as simultaneous. At night old evidence stays for hours, because
// no success comes to outweigh it.
const simultaneousWindow = 10 * time.Second

// suspension says how far the cell trusts its own observations.
type suspension struct {
	// delayedTickUntil is the end of the doubt that follows a late tick of the cell's own.
	delayedTickUntil Time
	// observerPaused says that the daemon doubts the process as a whole.
	observerPaused bool
	// evidenceFrom is the start time from which attempts are evidence.
	evidenceFrom Time
	// commonCauseUntil is the end of the doubt that follows a common cause.
	commonCauseUntil Time
}

func (d *suspension) tickDelayed(now Time) {
	d.delayedTickUntil = now + Time(delayedTickSuspension)
	d.evidenceFrom = now
}

// detectionSuspended says that the cell withholds judgement.
func (c *Cell) detectionSuspended(now Time) bool {
	return c.suspension.observerPaused || now < c.suspension.delayedTickUntil || now < c.suspension.commonCauseUntil
}

// discardEvidence forgets the evidence against targets in service, because the observer may be at fault.
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

// checkCommonCause says that most of the targets in service look bad at the same time. Then a fault that they
// share, or of the observer, is likelier than many faults of their own; evidence is discarded, and none
// of them is avoided or ejected.
func (c *Cell) checkCommonCause(now Time) bool {
	unhealthy, inService := 0, 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state != TargetServing && t.state != TargetAvoided {
			continue
		}
		inService++
		recent := now-t.evidence.lastBadAt <= Time(simultaneousWindow)
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
	c.emit(Event{At: now, Kind: EventCommonCause, Reason: ReasonMostTargetsBad, Samples: unhealthy})
	return true
}
