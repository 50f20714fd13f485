package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// unresponsiveServiceTimes is the time without a response, in mean service times, after which a target
	// counts as unresponsive. About one response in ten takes longer, but rarely those of several targets at
	// once.
	unresponsiveServiceTimes = 2
	// minUnresponsiveTime is the lower bound of that time. Shorter gaps can be scheduling delays on a busy VM.
	minUnresponsiveTime = 300 * time.Millisecond
	// unresponsiveWindow is how long after the start of its last attempt an idle target may count as unresponsive, and
	// how long after its last connection that failed to open.
	unresponsiveWindow = 3 * time.Second
)

// UnresponsiveTargets returns the targets whose last connection failed to open, and those that have sent nothing, not
// even a reset, for longer than responses usually take. The time counts from the first attempt after their last
// response. Either they hang or are down, or the path to them is broken.
func (c *Cell) UnresponsiveTargets(now Time) []table.TargetID {
	minTime := Time(max(minUnresponsiveTime, unresponsiveServiceTimes*c.queue.meanServiceTime))
	var ids []table.TargetID
	for i := range c.targets.len() {
		t := c.targets.at(i)
		recent := t.inFlight > 0 || now-t.lastAttemptAt <= Time(unresponsiveWindow)
		silent := recent && t.unansweredSince > 0 && now-t.unansweredSince >= minTime
		refused := t.connection.consecutiveRefused > 0 && now-t.connection.lastRefusedAt <= Time(unresponsiveWindow)
		if t.state != TargetLeaving && (silent || refused) {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// ListedCount returns how many targets of the cell the active tables list, without those that are leaving.
func (c *Cell) ListedCount() int { return c.listedTargets }

// recordAttempt and recordOutcome update the time since which the target has not responded. An upload does not
// start that time, because its service time depends on the body.
func (t *target) recordAttempt(now Time, r *request) {
	if t.unansweredSince == 0 && !r.Upload {
		t.unansweredSince = now
	}
}

func (t *target) recordOutcome(r *request, o *Outcome) {
	switch o.Kind {
	case OutcomeConnectFailed, OutcomeConnectionSilent, OutcomeTimeout, OutcomeCanceled, OutcomeNotStarted:
		return
	case OutcomeSuccess, OutcomeFailed:
		t.newestAnswered = max(t.newestAnswered, r.started)
	}
	t.unansweredSince = 0
}
