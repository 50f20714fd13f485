package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/cost"
	"github.com/bilberrywood/bilberrywood/table"
)

// Types for identifiers and units.
type (
	// Time is the time since an arbitrary start, taken from the monotonic clock of the process.
	Time time.Duration
	// RequestID identifies a request within this process; it is never reused.
	RequestID uint64
	// Fingerprint identifies the content of a request across its retries, for the detection of poison requests.
	Fingerprint uint64
	// OutcomeKind classifies how an attempt at a target ended.
	OutcomeKind uint8
	// Reason says why a decision was made. It appears in logs and in refusals to callers.
	Reason string
)

// Kinds of outcome of an attempt.
const (
	// OutcomeSuccess is a complete response that does not report a failure of the target.
	OutcomeSuccess OutcomeKind = iota
	// OutcomeFailed is a complete response with status 500 or above, other than a shed.
	OutcomeFailed
	// OutcomeTruncated is a response that ended before its announced length.
	OutcomeTruncated
	// OutcomeShed is a refusal by the target before it ran the request.
	OutcomeShed
	// OutcomeMisdirected is a refusal by another target that now has the address. It did not run the request.
	OutcomeMisdirected
	// OutcomeConnectFailed means that no connection could be opened; nothing was sent.
	OutcomeConnectFailed
	// OutcomeConnectionLost means that the connection ended before a response began.
	OutcomeConnectionLost
	// OutcomeConnectionSilent means that the connection delivered nothing (half-open) while a new one worked.
	OutcomeConnectionSilent
	// OutcomeTimeout means that the deadline passed without a complete response.
	OutcomeTimeout
	// OutcomeCanceled means that the caller closed its connection before the attempt ended.
	OutcomeCanceled
	// OutcomeNotStarted means that the entry gave up the attempt before it wrote the first byte.
	OutcomeNotStarted
)

// Request holds what the decisions depend on.
type Request struct {
	ID    RequestID
	Route table.RouteName
	// Account is the client account that the queue is fair between; empty for callers without an account.
	Account table.AccountName
	// Priority is the operators' priority; 0 is the highest. It counts in pools that schedule by priority.
	Priority int
	// RoutePriority is the operators' priority of the route, by which requests of one priority are ordered.
	RoutePriority int
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Replayable says that the body can be sent again: there is none, or it is small enough to be buffered.
	Replayable bool
	// Deadline is the latest time at which a response is useful; 0 means none.
	Deadline Time
	// Objective is the latest time at which a response is in time; 0 means none. A later one helps the caller less.
	Objective Time
	// Fingerprint is 0 if the request takes no part in the detection of poison requests.
	Fingerprint Fingerprint
	// Head identifies the request without its body. It is set if Fingerprint is 0 because the body isn't known.
	Head Fingerprint
	// Upload marks a request whose service time depends on its body. Its service time is compared separately.
	Upload bool
	// Cost is what the cost of the request may depend on. It counts in pools that choose targets by cost.
	Cost cost.Features
	// MaxAttempts is the maximum number of attempts, within the cell's own limit; 0 means that limit.
	MaxAttempts int
}

// Outcome reports how one attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// Written says that at least one byte of the request was sent to the target. A request that was not written
	// was not run.
	Written bool
	// ServiceTime is the time from the first byte written to the first byte of the response, or to the end of
	// the attempt if there was no response.
	ServiceTime time.Duration
	// RetryAfter is the Retry-After delay of a response with status 503 or of a shed, for which the target wants no
	// requests; 0 means none.
	RetryAfter time.Duration
	// Abandoned says that the cell had abandoned the attempt; Kind is OutcomeTimeout then.
	Abandoned bool
	// Draining says that the target announced that it is leaving.
	Draining bool
	// ResponseStarted says that part of the response was already passed to the caller, so that another attempt
	// can't replace it.
	ResponseStarted bool
	// TimeAfterBody is the time from the last byte of an upload's body to the first byte of the response; 0
	// means unknown. It does not depend on the size of the body, so uploads are compared by this time only.
	TimeAfterBody time.Duration
	// NewConnection says that the attempt was the first on its connection.
	NewConnection bool
	// Resent says that the request was sent again on a new connection because the first one stayed silent. The target
	// may have received it twice.
	Resent bool
	// RateLimit is what the response says about the target's rate limit.
	RateLimit RateLimit
}

// DecisionKind says what the daemon does with a request.
type DecisionKind uint8

// Kinds of decision.
const (
	// DecisionRun sends the request to Decision.Target.
	DecisionRun DecisionKind = iota
	// DecisionRefuse tells the caller that the request was not run.
	DecisionRefuse
	// DecisionFinal passes the outcome of the last attempt to the caller; there is no retry.
	DecisionFinal
	// DecisionAbandon ends the attempt in flight, unless its response has begun. Its end is reported as usual.
	DecisionAbandon
)

// notRun reports whether the attempt certainly did not run the request.
func (o *Outcome) notRun() bool {
	return !o.Written || o.Kind == OutcomeShed || o.Kind == OutcomeMisdirected
}

// Decision is one instruction to the daemon. Every submitted request that is not canceled gets any number of
// DecisionRun, each with at most one DecisionAbandon, and then exactly one DecisionRefuse or DecisionFinal.
type Decision struct {
	Kind    DecisionKind
	Request RequestID
	Target  table.TargetID
	// Attempt counts from 1.
	Attempt int
	Reason  Reason
	// RetryAfter is the Retry-After delay for the caller of a refused request; 0 means none.
	RetryAfter time.Duration
	// FailureProbability is the probability, 0 to 1, that the target was in a failure episode when it was
	// chosen; 0 in pools that don't track failure episodes.
	FailureProbability float64
	// Trial marks an attempt that tests whether a target has recovered.
	Trial bool
	// RetriesLeft is how many more retries the budget of the cell allows. It is set for retries.
	RetriesLeft float64
	// RetryWait is the time from the decision to retry to the start of the attempt. It is set for retries.
	RetryWait time.Duration
	// ExpectedCost is the expected work of the request as a time, and TargetWork the expected time until the target has
	// done what it already had. Both are 0 in pools that don't choose targets by cost, and before anything is known.
	ExpectedCost, TargetWork time.Duration
	// Queue is the state of the queue when the request was refused. It is set for refusals.
	Queue QueueState
}

// QueueState describes the queue of a cell to a request.
type QueueState struct {
	// Length is how many requests wait for a slot.
	Length int
	// WaitEstimate is the expected time until a request of the same class that comes now gets a slot; 0 if it isn't known.
	// Where requests are served by priority, it is for one of the same level and account.
	WaitEstimate time.Duration
	// Level is the state of the request's level; nil where requests aren't served by priority.
	Level *LevelState
}

// LevelState describes the waiting requests of one level: those of one priority on routes of one priority.
type LevelState struct {
	Priority      int `json:"priority"`
	RoutePriority int `json:"routePriority"`
	// Waiting is how many requests of the level wait, and WaitingSlotTime the slot time that they are expected to take.
	Waiting         int           `json:"waiting"`
	WaitingSlotTime time.Duration `json:"waitingSlotNs"`
	// AskedSlots and GrantedSlots are the mean numbers of slots that the requests of the last seconds ask for and got.
	AskedSlots   float64 `json:"askedSlots"`
	GrantedSlots float64 `json:"grantedSlots"`
	// AccountSlotTime is the slot time that the account's own waiting requests are expected to take. It is set for refusals.
	AccountSlotTime time.Duration `json:"accountSlotNs,omitempty"`
}

// EventKind classifies the changes of a target's state.
type EventKind string

// Kinds of event.
const (
	EventAvoided     EventKind = "avoided"
	EventEjected     EventKind = "ejected"
	EventTrial       EventKind = "trial"
	EventTrialFailed EventKind = "trialFailed"
	EventReturned    EventKind = "returned"
	// EventRestored means that an avoided target is used normally again.
	EventRestored EventKind = "restored"
	// EventEjectionReverted means that an ejected target became avoided, because of the floor or because the ownership
	// of the cell is contested.
	EventEjectionReverted EventKind = "demoted"
	EventUnreachable      EventKind = "unreachable"
	EventReachable        EventKind = "reachable"
	EventLeaving          EventKind = "leaving"
	EventCrashed          EventKind = "crashed"
	EventPoison           EventKind = "poison"
	// EventCommonCause means that most targets looked unhealthy at the same time.
	EventCommonCause    EventKind = "commonCause"
	EventObserverPaused EventKind = "selfDoubt"
	// EventShed means that the target gets no requests for Threshold seconds after a refusal.
	EventShed EventKind = "shed"
	// EventRateLimited means that the target names a rate limit, or another one than before: Threshold requests per
	// second.
	EventRateLimited    EventKind = "rateLimited"
	EventRateLimitEnded EventKind = "rateLimitEnded"
	// EventBelowFloor means that many requests fail while fewer targets are in use than the floor asks for.
	// Evidence is the number of targets in use, Threshold the floor, and Samples the number of idle targets that
	// could run a request now.
	EventBelowFloor EventKind = "belowFloor"
)

// Reasons of decisions and events.
const (
	ReasonLeastInFlight Reason = "leastInFlight"
	// ReasonCompletion means that the response was expected earlier there than from any other target.
	ReasonCompletion       Reason = "expectedCompletion"
	ReasonSaturated        Reason = "avoidedTargetAtSaturation"
	ReasonTrial            Reason = "trial"
	ReasonRetry            Reason = "retry"
	ReasonAnswered         Reason = "answered"
	ReasonNotRetryable     Reason = "notRetryable"
	ReasonRetryBudgetSpent Reason = "retryBudgetSpent"
	ReasonAttemptsSpent    Reason = "attemptsSpent"
	ReasonNotOwner         Reason = "notOwner"
	ReasonQueueFull        Reason = "queueFull"
	ReasonDisplaced        Reason = "displacedByNonIdempotent"
	// ReasonDisplacedByPriority means that the queue was full and that the request made room for a more urgent one, or
	// for one of an account with less slot time.
	ReasonDisplacedByPriority Reason = "displacedByPriority"
	ReasonDeadline            Reason = "deadlineBeforeSlot"
	ReasonNoTarget            Reason = "noTarget"
	// ReasonTargetsPaused means that all targets want no requests until after the deadline.
	ReasonTargetsPaused Reason = "targetsPaused"
	// ReasonOverload means that the queue stands and the response would be late.
	ReasonOverload             Reason = "overload"
	ReasonPoison               Reason = "poison"
	ReasonDuplicate            Reason = "duplicateRequestID"
	ReasonFailures             Reason = "failures"
	ReasonSomeFailures         Reason = "someFailures"
	ReasonSlow                 Reason = "slow"
	ReasonConnections          Reason = "connections"
	ReasonHandover             Reason = "inherited"
	ReasonFloor                Reason = "floor"
	ReasonOwnership            Reason = "standing"
	ReasonDrainSignal          Reason = "drainSignal"
	ReasonTable                Reason = "table"
	ReasonTarget               Reason = "namedByTarget"
	ReasonDelayedTick          Reason = "lateTick"
	ReasonMostTargetsUnhealthy Reason = "mostTargetsBad"
	ReasonRecovered            Reason = "recovered"
	ReasonSharedReset          Reason = "sharedReset"
	ReasonCanceled             Reason = "cancelled"
	ReasonShed                 Reason = "shed"
	// ReasonHanging means that the attempt has taken so long that it probably gets no response.
	ReasonHanging Reason = "hanging"
)

// Event reports a change of a target's state, for the log and the operators' client.
type Event struct {
	At          Time
	Kind        EventKind
	Target      table.TargetID
	Fingerprint Fingerprint
	Reason      Reason
	// Evidence is the value that led to the decision, and Threshold the one that it reached. Samples is the
	// number of observations behind it.
	Evidence  float64
	Threshold float64
	Samples   int
}

// SignalKind classifies reports of a target's own endpoints. Probe and load signals are weak evidence.
type SignalKind uint8

// Kinds of signal.
const (
	SignalProbeOK SignalKind = iota
	SignalProbeFailed
	SignalDraining
	SignalLoad
)

// Signal is one report of a target's own endpoints.
type Signal struct {
	Kind SignalKind
	// Load is the reported number of requests in service, for SignalLoad.
	Load int
}
