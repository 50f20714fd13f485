package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// silentHolds is after how many mean service times without an answer a target counts as silent; about one answer
	// in ten takes longer, and seldom those of several targets at a time.
	silentHolds = 2
	// leastSilent is the least such time. Below it, scheduling on a busy VM looks like silence.
	leastSilent = 300 * time.Millisecond
	// silentMemory is how long a target counts as silent after its last attempt.
	silentMemory = 3 * time.Second
)

// UnresponsiveTargets returns the targets that have answered nothing, not even by a reset, since they were first sent a request
// after their last answer, for longer than answers usually take. Either they hang, or the path to them is cut.
func (c *Cell) UnresponsiveTargets(now Time) []table.TargetID {
	limit := Time(max(leastSilent, silentHolds*c.queue.hold))
	var ids []table.TargetID
	for i := range c.targets.len() {
		t := c.targets.at(i)
		lately := t.inFlight > 0 || now-t.usedAt <= Time(silentMemory)
		if t.state != TargetLeaving && lately && t.unansweredFrom > 0 && now-t.unansweredFrom >= limit {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// ListedCount returns how many targets the tables in force name for the cell.
func (c *Cell) ListedCount() int { return c.listedTargets }

// noteAsked and noteOutcome keep since when the target is silent. The time of an upload depends on its body, so that
// it says nothing.
func (t *target) noteAsked(now Time, r *request) {
	if t.unansweredFrom == 0 && !r.Upload {
		t.unansweredFrom = now
	}
}

func (t *target) noteOutcome(o *Outcome) {
	switch o.Kind {
	case OutcomeConnectFailed, OutcomeConnectionSilent, OutcomeTimeout, OutcomeCancelled, OutcomeNotStarted:
	default:
		t.unansweredFrom = 0
	}
}
