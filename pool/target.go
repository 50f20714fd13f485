package pool

import (
	"github.com/bilberrywood/bilberrywood/table"
)

// TargetState is the state of a target in its cell.
type TargetState string

// States of a target. TargetLeaving takes precedence over every other state.
const (
	// TargetServing means that the target gets requests normally.
	TargetServing TargetState = "serving"
	// TargetAvoided means that it gets requests only at saturation, apart from trials.
	TargetAvoided TargetState = "avoided"
	// TargetEjected means that it gets only trials. The floor limits how many targets are ejected.
	TargetEjected TargetState = "ejected"
	// TargetUnreachable means that it accepts no connections. It gets single attempts.
	TargetUnreachable TargetState = "unreachable"
	// TargetLeaving means that it gets no new requests at all.
	TargetLeaving TargetState = "leaving"
)

// target is a row of the table of targets.
type target struct {
	id table.TargetID
	// listed says that the active table contains the target.
	listed bool
	// started identifies the target's process among all that had the same ID; 0 if it isn't known.
	started int64
	// slots is the target's own number of slots; 0 means the pool's.
	slots int
	// The target leaves if either tableLeaving or drainSignaled is set.
	tableLeaving  bool
	drainSignaled bool
	// probeFailedAt is the time of the last failed probe since the drain signal.
	probeFailedAt Time

	state  TargetState
	since  Time
	reason Reason
	// ejectionBlockedBy says why an avoided target is not ejected; empty if its evidence does not suffice.
	ejectionBlockedBy Reason

	// avoidedForLateRequests says that the target is avoided only because of late requests that may still get a
	// response.
	avoidedForLateRequests bool

	// lastAttemptAt is when the last attempt began; 0 before the first.
	lastAttemptAt Time
	// unansweredSince is when the first attempt after the last response began; 0 if there is none.
	unansweredSince Time
	// newestAnswered is when the latest attempt that got a response began.
	newestAnswered Time
	// inFlight is at most limit whenever an attempt is added.
	inFlight int
	// limit is how many attempts the target may run now, given its slots, the sharing of the cell and the ramp.
	limit int
	// poisonSuspectsInFlight counts the attempts of suspected poison requests in flight; at most 1.
	poisonSuspectsInFlight int
	// attempts are the attempts in flight.
	attempts []*request

	rampStart Time
	ramping   bool
	// cold says that the ramp follows a start of the target, so that its service times are not compared with
	// its peers'.
	cold bool
	// shedUntil is the end of the pause after a refusal.
	shedUntil Time
	// pausedUntil is until when the target itself asked for no requests; at most shedUntil.
	pausedUntil Time

	work       targetWork
	rate       rateLimiter
	estimate   failureEstimate
	recurrence recurrence
	evidence   evidence
	trial      trialState
	connection connectionState
}

func (t *target) leaving() bool {
	return !t.listed || t.tableLeaving || t.drainSignaled
}

// slowButResponding reports whether the target is out of service because it is slow, and no request is late.
func (t *target) slowButResponding() bool { return t.reason == ReasonSlow && t.evidence.late == 0 }

// unlikelyToRespond reports whether hardly any request at a target out of service would get a response, so that
// its slots don't help at saturation.
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
