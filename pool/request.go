package pool

import (
	"github.com/bilberrywood/bilberrywood/table"
)

// phase is where a request is between Submit and its final decision.
type phase uint8

const (
	// phaseQueued requests are in one of the queues.
	phaseQueued phase = iota
	// phaseDelayed requests wait for their retry time.
	phaseDelayed
	// phaseInFlight requests run at a target.
	phaseInFlight
)

// request is a row of the table of requests.
type request struct {
	Request
	phase     phase
	submitted Time
	// class is the queue that holds the request while it is queued.
	class queueClass
	node  queueNode[table.AccountName, *request]

	// target runs the attempt in flight; nil otherwise.
	target  *target
	started Time
	// attempt is the number of attempts started.
	attempt int
	trial   bool
	// forFloor says that the last attempt went to a target that only the floor keeps in use.
	forFloor  bool
	cancelled bool
	// suspectedPoison attempts count towards target.poisonSuspectsInFlight.
	suspectedPoison bool
	// cold attempts ran at a target that had just started, whose service times say nothing.
	cold bool

	// lastTarget is not chosen for the next attempt if there is another.
	lastTarget table.TargetID
	// notBefore is the time of the next attempt while delayed.
	notBefore Time
	// mayHaveRun says that some attempt was written, so that a refusal as not run would be a lie.
	mayHaveRun  bool
	lastOutcome OutcomeKind
}

// onLastAttempt says that the request has had attempts and may have one more.
func (r *request) onLastAttempt() bool {
	limit := maxAttempts
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return r.attempt > 0 && r.attempt >= limit-1
}

// retryable says that a second attempt does no harm after an attempt that may have run.
func (r *request) retryable() bool { return r.Idempotent && r.Replayable }
