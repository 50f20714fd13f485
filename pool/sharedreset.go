package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// minSharedResets is how many targets must lose connections together for a common cause to be assumed. With
	// episodes of 6 s and a quarter of the targets in one, four of a hundred targets enter an episode each
	// second, so two of them occasionally coincide.
	minSharedResets = 3
	// sharedResetWindow is the time within which resets count as simultaneous.
	sharedResetWindow = 20 * time.Millisecond
	// minRunningTime is how long a request must have run for its reset to count as the loss of a working
	// connection. Unhealthy targets reset a request as soon as it arrives.
	minRunningTime = 10 * time.Millisecond
)

// reset is a connection that was lost while a request ran on it.
type reset struct {
	at     Time
	target table.TargetID
	// estimateBefore is the failure estimate before the reset.
	estimateBefore failureEstimate
}

// sharedReset records a reset and reports whether several targets had one at the same time. Then a fault of the
// network or of this entry is likelier than a fault of each target, and the failure estimates are set back to
// those before the resets.
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

// revertReset sets the failure estimate of a target back to the one before the reset.
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
