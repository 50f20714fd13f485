package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// phase says where a request is between Submit and its final decision.
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
	// level holds the request while it is queued in a cell that serves by priority; nil otherwise. cost is the expected
	// slot time that it counts there.
	level *level
	cost  time.Duration
	// returned says that the request was queued again after an attempt.
	returned bool
	// charged is the slot time of the attempt in flight that was charged to the account.
	charged time.Duration

	// target runs the attempt in flight; nil if there is none.
	target  *target
	started Time
	// respondedAt is when the response to the attempt in flight began; 0 before.
	respondedAt Time
	// targetStarted identifies the target's process at the start of the attempt.
	targetStarted int64
	// attempt is the number of attempts started.
	attempt int
	trial   bool
	// forFloor says that the last attempt went to a target that was used only because of the floor.
	forFloor bool
	canceled bool
	// abandoned says that the cell has abandoned the attempt in flight.
	abandoned bool
	// suspectedPoison attempts count in target.poisonSuspectsInFlight.
	suspectedPoison bool
	// cold says that the attempt ran at a target that had just started, so that its service time is not
	// compared.
	cold bool

	// lastTarget is not chosen for the next attempt if there is another target.
	lastTarget table.TargetID
	// notBefore is the time of the next attempt while delayed.
	notBefore Time
	// retryDecidedAt is when the latest retry was decided.
	retryDecidedAt Time
	// countedAsEnded says that the request counts in Cell.recentFailures, as ended or as overdue.
	countedAsEnded bool
	// retryReserved says that a retry of the budget is set aside for the next attempt.
	retryReserved bool
	// mayHaveRun says that an attempt may have run the request, so that it must not be refused as not run.
	mayHaveRun  bool
	work        requestWork
	lastOutcome OutcomeKind
}

// onLastAttempt reports whether the request has had attempts and at most one more is left of maxAttempts or of its
// own limit.
func (r *request) onLastAttempt() bool {
	limit := maxAttempts
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return r.attempt > 0 && r.attempt >= limit-1
}

// attemptsSpent reports whether a request that may have run gets no further attempt.
func (r *request) attemptsSpent() bool {
	return r.attempt >= maxAttempts || r.MaxAttempts > 0 && r.attempt >= r.MaxAttempts
}

// retryable reports whether the request may be retried after an attempt that may have run it.
func (r *request) retryable() bool { return r.Idempotent && r.Replayable }
