package pool

import (
	"time"
)

// commonCauseTime is how long the cell withholds judgement after most of its targets looked bad.
const commonCauseTime = 2 * time.Second

// sameTime is how old evidence may be to count as simultaneous. At night old evidence stays for hours, because
// no success comes to outweigh it.
const sameTime = 10 * time.Second

// doubt says how far the cell trusts its own observations.
type doubt struct {
	// until is the end of the doubt that follows a late tick of the cell's own.
	until Time
	// observer says that the daemon doubts the process as a whole.
	observer bool
	// evidenceFrom is the start time from which attempts are evidence.
	evidenceFrom Time
	// commonUntil is the end of the doubt that follows a common cause.
	commonUntil Time
}

func (d *doubt) late(now Time) {
	d.until = now + Time(doubtTime)
	d.evidenceFrom = now
}

// doubtful says that the cell withholds judgement.
func (c *Cell) doubtful(now Time) bool {
	return c.doubt.observer || now < c.doubt.until || now < c.doubt.commonUntil
}

// discardEvidence forgets the evidence against targets in service, because the observer may be at fault.
func (c *Cell) discardEvidence(now Time) {
	c.doubt.evidenceFrom = now
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetServing {
			t.evidence.reset()
			t.connection.streak = 0
		}
	}
}

// commonCause says that most of the targets in service look bad at the same time. Then a fault that they
// share, or of the observer, is likelier than many faults of their own; evidence is discarded, and none
// of them is avoided or ejected.
func (c *Cell) commonCause(now Time) bool {
	bad, seen := 0, 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state != TargetServing && t.state != TargetAvoided {
			continue
		}
		seen++
		recent := now-t.evidence.badAt <= Time(sameTime)
		if (recent && (t.evidence.settled() >= suspectSum || t.state == TargetAvoided)) ||
			t.evidence.late >= leastLateAvoid {
			bad++
		}
	}
	if seen < 3 || bad*2 <= seen {
		return false
	}
	c.doubt.commonUntil = now + Time(commonCauseTime)
	c.history.forget()
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetAvoided {
			c.restore(now, t, EventRestored)
		}
	}
	c.discardEvidence(now)
	c.event(Event{At: now, Kind: EventCommonCause, Reason: ReasonMostTargetsBad, Samples: bad})
	return true
}
