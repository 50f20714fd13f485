package pool

import (
	"github.com/bilberrywood/bilberrywood/table"
)

// TargetState is a target's place in the cell.
type TargetState string

// States of a target. Leaving comes before every other state.
const (
	// TargetServing means that the target gets ordinary work.
	TargetServing TargetState = "serving"
	// TargetAvoided means that it gets ordinary work only at saturation.
	TargetAvoided TargetState = "avoided"
	// TargetEjected means that it gets no ordinary work; limited by the floor.
	TargetEjected TargetState = "ejected"
	// TargetUnreachable means that it accepts no connections; it gets single attempts.
	TargetUnreachable TargetState = "unreachable"
	// TargetLeaving means that it gets no new work at all.
	TargetLeaving TargetState = "leaving"
)

// target is a row of the table of targets.
type target struct {
	id table.TargetID
	// listed says that the table in force names the target.
	listed bool
	// started tells the target's process from earlier ones with the same id; 0 if it isn't known.
	started int64
	// slots is the target's own number of slots; 0 means the pool's.
	slots int
	// tableLeaving and drainSignaled each make the target leave.
	tableLeaving  bool
	drainSignaled bool
	// probeFailedAt is the time of the last failed probe since the drain signal.
	probeFailedAt Time

	state  TargetState
	since  Time
	reason Reason
	// blockingReason says why an avoided target is not ejected; empty if its evidence does not suffice.
	ejectionBlockedBy Reason

	// avoidedForLateRequests says that the target is avoided because requests are late that may still be answered.
	avoidedForLateRequests bool

	// lastAttemptAt is when the last attempt began; 0 before the first.
	lastAttemptAt Time
	// unansweredSince is when the first attempt after the last answer began; 0 if there is none.
	unansweredSince Time
	// inFlight is at most limit whenever an attempt is added.
	inFlight int
	// limit is how many attempts the target may run now: its slots after standing and ramp.
	limit int
	// poisonSuspectsInFlight counts attempts of suspected poison requests; at most 1.
	poisonSuspectsInFlight int
	// attempts are the attempts in flight.
	attempts []*request

	rampStart Time
	ramping   bool
	// cold ramps follow a start, so that service times are not compared with the peers.
	cold      bool
	shedUntil Time

	estimate   failureEstimate
	evidence   evidence
	trial      trialState
	connection connectionState
}

func (t *target) leaving() bool {
	return !t.listed || t.tableLeaving || t.drainSignaled
}

// slowButResponding says that the target is out of service because it is slow, and that none of its requests hangs.
func (t *target) slowButResponding() bool { return t.reason == ReasonSlow && t.evidence.late == 0 }

// unlikelyToRespond says that hardly any request at a target out of service would be answered, so that its slots are
// no help at saturation.
func (t *target) unlikelyToRespond() bool {
	e := &t.evidence
	unresponsive := e.late > 0 || (e.overlappingTimeouts > 0 && e.firstTimeoutAt >= t.since)
	return unresponsive || t.reason == ReasonFailures || t.reason == ReasonConnections
}

func (t *target) freeSlots() int { return t.limit - t.inFlight }

func (t *target) removeAttempt(r *request) {
	for i, a := range t.attempts {
		if a != r {
			continue
		}
		last := len(t.attempts) - 1
		t.attempts[i] = t.attempts[last]
		t.attempts[last] = nil
		t.attempts = t.attempts[:last]
		return
	}
}
