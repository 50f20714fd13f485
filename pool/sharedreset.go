package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// minSharedResets is how many targets must lose connections together for the fault to be one that they share. With
	// spells of 6 s and a quarter of the targets in one, four of a hundred turn bad each second by themselves, so
	// that two of them meet now and then.
	minSharedResets = 3
	// sharedResetWindow is the time within which resets count as simultaneous.
	sharedResetWindow = 20 * time.Millisecond
	// minRunningTime is how long a request must have run for its reset to be one of a connection that worked: bad targets
	// reset a request as it arrives.
	minRunningTime = 10 * time.Millisecond
)

// reset is a connection that was lost under a running request.
type reset struct {
	at     Time
	target table.TargetID
	// estimateBefore is the belief before the reset.
	estimateBefore failureEstimate
}

// sharedReset notes a reset and says whether several targets had one at the same moment. Then a fault of the network,
// or of this entry, is likelier than faults of their own, and the beliefs are as they were before.
func (c *Cell) sharedReset(now Time, t *target, o *Outcome) bool {
	if o.Kind != OutcomeConnectionLost || o.ServiceTime < minRunningTime {
		return false
	}
	kept := c.resets[:0]
	targets := map[table.TargetID]bool{t.id: true}
	for _, r := range c.resets {
		if now-r.at <= Time(sharedResetWindow) {
			kept = append(kept, r)
			targets[r.target] = true
		}
	}
	c.resets = append(kept, reset{now, t.id, t.estimate})
	if len(targets) < minSharedResets {
		return false
	}
	for i := len(c.resets) - 1; i >= 0; i-- {
		c.revertReset(now, c.resets[i])
	}
	return true
}

// revertReset takes a reset back.
func (c *Cell) revertReset(now Time, r reset) {
	t := c.targets.get(r.target)
	if t == nil || t.estimate.lastFaultAt != r.at {
		return
	}
	t.estimate = r.estimateBefore
	if c.failureProbability(now, t) < suspectProbability {
		c.emit(Event{At: now, Kind: EventRestored, Target: t.id, Reason: ReasonSharedReset, Threshold: suspectProbability})
	}
}
