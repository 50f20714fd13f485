package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Named types for ids and units.
type (
	// Time is time since an arbitrary start, from the monotonic clock of the process.
	Time time.Duration
	// RequestID names a request within this process; never reused.
	RequestID uint64
	// Fingerprint identifies a request's content over resends, for poison detection.
	Fingerprint uint64
	// OutcomeKind is how an attempt at a target ended.
	OutcomeKind uint8
	// Reason says why a decision was made; it goes to logs and to callers.
	Reason string
)

// Kinds of outcome of an attempt.
const (
	// OutcomeSuccess is a whole answer that does not report a failure of the target.
	OutcomeSuccess OutcomeKind = iota
	// OutcomeFailed is a whole answer with a status of 500 or above other than a shed.
	OutcomeFailed
	// OutcomeTruncated is an answer that ended before its announced end.
	OutcomeTruncated
	// OutcomeShed is a refusal by the target before it ran the request.
	OutcomeShed
	// OutcomeMisdirected is a refusal by another target that has got the address; it did not run the
	// request.
	OutcomeMisdirected
	// OutcomeConnectFailed means that no connection could be opened; nothing was sent.
	OutcomeConnectFailed
	// OutcomeConnectionLost means that the connection ended before an answer began.
	OutcomeConnectionLost
	// OutcomeConnectionSilent means that the connection went silent while a new one worked.
	OutcomeConnectionSilent
	// OutcomeTimeout means that the deadline passed without a whole answer.
	OutcomeTimeout
	// OutcomeCancelled means that the caller went away first.
	OutcomeCancelled
	// OutcomeNotStarted means that the entry gave the attempt up before the first byte.
	OutcomeNotStarted
)

// Request is what the decisions need to know of a request.
type Request struct {
	ID    RequestID
	Route table.RouteName
	// Account is the caller for fairness; empty for callers without an account.
	Account table.AccountName
	// Idempotent says that a second run does no harm.
	Idempotent bool
	// Replayable says that the body can be sent again (none, or small enough to be kept).
	Replayable bool
	// Deadline is the latest useful time of an answer.
	Deadline    Time
	Fingerprint Fingerprint
	// Upload marks a request whose service time depends on its body; it is judged apart.
	Upload bool
	// MaxAttempts is the most targets that the request may be sent to; 0 means the cell's own limit.
	MaxAttempts int
}

// Outcome is the report of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// Written says that at least one byte of the request left towards the target. A request
	// that was not written was not run.
	Written bool
	// ServiceTime is the time from the first byte written to the answer's first byte, or to the
	// end of the attempt when there was none.
	ServiceTime time.Duration
	// RetryAfter is the target's own advice with a shed; 0 means none.
	RetryAfter time.Duration
	// Draining says that the target announced that it is leaving.
	Draining bool
	// ResponseStarted says that part of the answer has already gone to the caller, so that no other
	// attempt can replace it.
	ResponseStarted bool
	// TimeAfterBody is the time from the last byte of an upload's body to the answer's first byte, which does not
	// depend on the size of the body; 0 means not known. Uploads are judged slow by it only.
	TimeAfterBody time.Duration
	// NewConnection says that the attempt was the first on its connection.
	NewConnection bool
}

// DecisionKind is what the daemon shall do with a request.
type DecisionKind uint8

// Kinds of decision.
const (
	// DecisionRun sends the request to Decision.Target.
	DecisionRun DecisionKind = iota
	// DecisionRefuse answers that the request was not run.
	DecisionRefuse
	// DecisionFinal passes the outcome of the last attempt to the caller; there is no retry.
	DecisionFinal
)

// notRun says that the attempt certainly did not run the request.
func (o *Outcome) notRun() bool {
	return !o.Written || o.Kind == OutcomeShed || o.Kind == OutcomeMisdirected
}

// Decision is one instruction to the daemon. Every submitted request that is not cancelled gets
// any number of DecisionRun and then exactly one DecisionRefuse or DecisionFinal.
type Decision struct {
	Kind    DecisionKind
	Request RequestID
	Target  table.TargetID
	// Attempt counts from 1.
	Attempt int
	Reason  Reason
	// RetryAfter is advice for the caller with a refusal; 0 means none.
	RetryAfter time.Duration
	// FailureProbability is the belief, 0 to 1, that the target was in a bad spell when it was chosen; 0 where targets are
	// not judged by spells.
	FailureProbability float64
	// Trial marks an attempt that tests whether a target has recovered.
	Trial bool
}

// EventKind is a change of a target's place in the cell.
type EventKind string

// Kinds of event.
const (
	EventAvoided     EventKind = "avoided"
	EventEjected     EventKind = "ejected"
	EventTrial       EventKind = "trial"
	EventTrialFailed EventKind = "trialFailed"
	EventReturned    EventKind = "returned"
	// EventRestored means that an avoided target is in ordinary use again.
	EventRestored EventKind = "restored"
	// EventDemoted means that an ejected target became avoided because of the floor or of a
	// contested standing.
	EventDemoted     EventKind = "demoted"
	EventUnreachable EventKind = "unreachable"
	EventReachable   EventKind = "reachable"
	EventLeaving     EventKind = "leaving"
	EventCrashed     EventKind = "crashed"
	EventPoison      EventKind = "poison"
	// EventCommonCause means that most targets looked bad at the same time.
	EventCommonCause    EventKind = "commonCause"
	EventObserverPaused EventKind = "selfDoubt"
	EventShed           EventKind = "shed"
)

// Reasons of decisions and events.
const (
	ReasonLeastInFlight    Reason = "leastInFlight"
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
	ReasonDeadline         Reason = "deadlineBeforeSlot"
	ReasonNoTarget         Reason = "noTarget"
	ReasonPoison           Reason = "poison"
	ReasonDuplicate        Reason = "duplicateRequestID"
	ReasonFailures         Reason = "failures"
	ReasonSomeFailures     Reason = "someFailures"
	ReasonSlow             Reason = "slow"
	ReasonConnections      Reason = "connections"
	ReasonInherited        Reason = "inherited"
	ReasonFloor            Reason = "floor"
	ReasonOwnership        Reason = "standing"
	ReasonDrainSignal      Reason = "drainSignal"
	ReasonTable            Reason = "table"
	ReasonLateTick         Reason = "lateTick"
	ReasonMostTargetsBad   Reason = "mostTargetsBad"
	ReasonRecovered        Reason = "recovered"
	ReasonSharedReset      Reason = "sharedReset"
	ReasonCancelled        Reason = "cancelled"
	ReasonShed             Reason = "shed"
)

// Event is a placement decision, for the log and the operators' client.
type Event struct {
	At          Time
	Kind        EventKind
	Target      table.TargetID
	Fingerprint Fingerprint
	Reason      Reason
	// Evidence is the figure that led to the decision, with its threshold.
	Evidence  float64
	Threshold float64
	Samples   int
}

// SignalKind is what a target's own endpoints say. Probe and load signals are weak evidence.
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
