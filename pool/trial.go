package pool

import (
	"time"
)

// Times and limits of trials.
const (
	// trialInterval is the time until an avoided target is tried, and between trials that succeed.
	trialInterval = 100 * time.Millisecond
	// maxAvoidedTrialInterval bounds the time between trials of an avoided target that fail.
	maxAvoidedTrialInterval = 5 * time.Second
	// reconnectInterval and maxReconnectInterval bound the time between attempts at an unreachable target.
	reconnectInterval    = 100 * time.Millisecond
	maxReconnectInterval = 2 * time.Second
	// baseEjectionTime is the time from an ejection to the first trial; it doubles with each failed trial
	// and each return that did not last.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// returnEvidence is how much likelier the target must be healthy than bad, as a log, to return.
	// Failures count by the test for 20%, so that a return takes 21 successes in a row.
	returnEvidence = 4.6
	// trialFailureEvidence is how much likelier the target must be bad for a trial to have failed. A single
	// answer that is a little late does not fail one.
	trialFailureEvidence = 2.0
	// minReturnSuccesses is the least number of successes in a row for a return.
	minReturnSuccesses = 2
	// restoredEvidenceFraction bounds the evidence of some failures that an avoided target keeps when it returns, as a
	// share of what makes it avoided.
	restoredEvidenceFraction = 0.8
	// maxRequestsPerTrial bounds the share of requests that are used as trials; minRequestsPerTrial applies
	// after several successes.
	maxRequestsPerTrial = 20
	minRequestsPerTrial = 4
	// flapDecayTime is the time in service after which one return is forgotten.
	flapDecayTime = 10 * time.Minute
	// maxFlaps bounds the returns that are remembered.
	maxFlaps = 6
	// nonRetryableTrialWait is how long a cell waits for a request that can be repeated before it tries a target
	// with one that can't.
	nonRetryableTrialWait = 30 * time.Second
)

// trialBudget bounds the trials of a cell.
type trialBudget struct {
	// requests counts the requests since the last trial.
	requests int
	// outOfService counts the targets that are to be tried.
	outOfService int
	// lastRetryable is the time of the last request that could be repeated.
	lastRetryable Time
}

// trialState is a target's way back into service.
type trialState struct {
	due      Time
	interval time.Duration
	inFlight bool
	// urgent trials don't wait for the share of requests.
	urgent bool
	// healthEvidence is the evidence of health; an ejected target's starts anew after each failed trial.
	healthEvidence float64
	successes      int
	// flaps counts returns that did not last.
	flaps int
	// failures counts failed trials since the ejection.
	failures   int
	returnedAt Time
}

// reset starts the trials of a target that went out of service.
func (s *trialState) reset(now Time, firstInterval time.Duration) {
	s.due = now + Time(firstInterval)
	s.interval = firstInterval
	s.healthEvidence, s.successes, s.failures, s.urgent = 0, 0, 0, false
}

// requestsPerTrial is the number of requests per trial. It falls with each success, because the risk to the next
// request falls too.
func (s *trialState) requestsPerTrial() int {
	return max(minRequestsPerTrial, maxRequestsPerTrial>>s.successes)
}

// ejectionTime is the time from an ejection or a failed trial to the next trial.
func (s *trialState) ejectionTime() time.Duration {
	return min(maxEjectionTime, baseEjectionTime<<min(s.flaps+s.failures, maxFlaps))
}

// pickTrial returns a target that is due for a trial and may be tried with this request.
func (c *Cell) pickTrial(now Time, r *request) *target {
	if r.retryable() {
		c.trials.lastRetryable = now
	}
	if c.trials.outOfService == 0 || r.attempt > 0 || r.suspectedPoison {
		return nil
	}
	var best *target
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetServing || t.state == TargetLeaving || !c.trialDue(now, t, r) {
			continue
		}
		if best == nil || t.trial.due < best.trial.due {
			best = t
		}
	}
	return best
}

// trialDue says that the target may be tried now with the request.
func (c *Cell) trialDue(now Time, t *target, r *request) bool {
	s := &t.trial
	if s.inFlight || now < s.due || now < t.shedUntil || t.freeSlots() <= 0 {
		return false
	}
	if c.tracksEpisodes() && t.state == TargetAvoided && c.failureProbability(now, t) >= suspectProbability {
		// The target is in a spell besides being slow; pickByProbability tests it when the spell should be over.
		return false
	}
	if c.servingTargets > 0 && (c.retriesLeft(now) < 1 || (c.trials.requests < s.requestsPerTrial() && !s.urgent)) {
		return false
	}
	if r.retryable() || t.state == TargetUnreachable || t.slowButResponding() {
		// A refused connection does not run the request, and a slow target does not lose it.
		return true
	}
	return now-c.trials.lastRetryable >= Time(nonRetryableTrialWait) && now-t.since >= Time(nonRetryableTrialWait)
}

func (c *Cell) beginTrial(now Time, t *target) {
	t.trial.inFlight = true
	t.trial.urgent = false
	c.trials.requests = 0
	c.emit(Event{At: now, Kind: EventTrial, Target: t.id, Reason: t.reason})
}

// endTrial takes the result of an attempt at a target out of service. Progress is the evidence that the
// target is healthy; 0 means none.
func (c *Cell) endTrial(now Time, t *target, r *request, outcomeEvidence float64) {
	s := &t.trial
	if r.trial {
		s.inFlight = false
	}
	if t.state == TargetServing || t.state == TargetLeaving {
		return
	}
	s.healthEvidence += outcomeEvidence
	switch {
	case outcomeEvidence <= -trialFailureEvidence || (outcomeEvidence < 0 && s.healthEvidence <= -trialFailureEvidence):
		c.trialFailed(now, t, r)
	case outcomeEvidence != 0:
		s.successes++
		s.due = now + Time(trialInterval)
		s.interval = trialInterval
	}
	if s.healthEvidence < returnEvidence || s.successes < minReturnSuccesses {
		return
	}
	switch t.state {
	case TargetEjected:
		c.restore(now, t, EventReturned)
	case TargetAvoided:
		c.restore(now, t, EventRestored)
	}
}

func (c *Cell) trialFailed(now Time, t *target, r *request) {
	s := &t.trial
	s.successes = 0
	if t.state == TargetAvoided {
		// Failures count against later successes: a target that fails one request in five would pass a
		// series of successes sooner or later.
		s.healthEvidence = max(s.healthEvidence, -returnEvidence)
	} else {
		s.healthEvidence = 0
	}
	if !r.trial {
		return
	}
	s.failures++
	switch t.state {
	case TargetEjected:
		s.interval = s.ejectionTime()
	case TargetUnreachable:
		s.interval = min(2*s.interval, maxReconnectInterval)
	default:
		// Trials go on at the same rate until there is a verdict, unless ejection is not possible.
		if t.ejectionBlockedBy != "" {
			s.interval = min(2*s.interval, maxAvoidedTrialInterval)
		}
	}
	// The jitter keeps trials of several targets apart.
	s.due = now + Time(s.interval) + Time(c.Random.Int64N(int64(s.interval)/4+1))
	c.emit(Event{At: now, Kind: EventTrialFailed, Target: t.id, Reason: t.reason, Samples: s.failures})
}

// restore returns a target to service.
func (c *Cell) restore(now Time, t *target, kind EventKind) {
	samples := t.trial.successes
	if kind == EventReturned {
		t.trial.flaps = min(maxFlaps, t.trial.flaps+1)
		t.trial.returnedAt = now
		t.rampWarm(now)
	}
	someFailures := t.evidence.someFailures
	t.evidence.reset()
	if kind == EventRestored {
		// Few successes don't clear a target that fails now and then; its next failure counts fully.
		someFailures.sum = min(someFailures.sum, restoredEvidenceFraction*c.avoidThreshold(c.ejectThreshold(t)))
		t.evidence.someFailures = someFailures
	}
	t.trial.healthEvidence, t.trial.successes = 0, 0
	c.setState(now, t, TargetServing, ReasonRecovered, kind, 0, 0, samples)
	c.refreshLimits(now)
}

// decayFlaps reduces the memory of returns of targets that have stayed in service.
func (c *Cell) decayFlaps(now Time, t *target) {
	s := &t.trial
	if s.flaps > 0 && t.state == TargetServing && now-s.returnedAt >= Time(flapDecayTime) {
		s.flaps--
		s.returnedAt = now
	}
}
