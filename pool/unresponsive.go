package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// unresponsiveServiceTimes is after how many mean service times without an answer a target counts as silent; about one answer
	// in ten takes longer, and seldom those of several targets at a time.
	unresponsiveServiceTimes = 2
	// minUnresponsiveTime is the least such time. Below it, scheduling on a busy VM looks like silence.
	minUnresponsiveTime = 300 * time.Millisecond
	// unresponsiveWindow is how long a target counts as silent after its last attempt.
	unresponsiveWindow = 3 * time.Second
)

// UnresponsiveTargets returns the targets that have answered nothing, not even by a reset, since they were first sent a request
// after their last answer, for longer than answers usually take. Either they hang, or the path to them is cut.
func (c *Cell) UnresponsiveTargets(now Time) []table.TargetID {
	minTime := Time(max(minUnresponsiveTime, unresponsiveServiceTimes*c.queue.meanServiceTime))
	var ids []table.TargetID
	for i := range c.targets.len() {
		t := c.targets.at(i)
		recent := t.inFlight > 0 || now-t.lastAttemptAt <= Time(unresponsiveWindow)
		if t.state != TargetLeaving && recent && t.unansweredSince > 0 && now-t.unansweredSince >= minTime {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// ListedCount returns how many targets the tables in force name for the cell.
func (c *Cell) ListedCount() int { return c.listedTargets }

// recordAttempt and recordOutcome keep since when the target is silent. The time of an upload depends on its body, so that
// it says nothing.
func (t *target) recordAttempt(now Time, r *request) {
	if t.unansweredSince == 0 && !r.Upload {
		t.unansweredSince = now
	}
}

func (t *target) recordOutcome(o *Outcome) {
	switch o.Kind {
	case OutcomeConnectFailed, OutcomeConnectionSilent, OutcomeTimeout, OutcomeCancelled, OutcomeNotStarted:
	default:
		t.unansweredSince = 0
	}
}
