package pool

import (
	"time"
)

// Times and limits of trials.
const (
	// trialInterval is the time until the first trial of an avoided target, and between trials that succeed.
	trialInterval = 100 * time.Millisecond
	// maxAvoidedTrialInterval bounds the time between failed trials of an avoided target.
	maxAvoidedTrialInterval = 5 * time.Second
	// reconnectInterval is the time until the first attempt at an unreachable target. It doubles with each
	// failed attempt, up to maxReconnectInterval.
	reconnectInterval    = 100 * time.Millisecond
	maxReconnectInterval = 2 * time.Second
	// baseEjectionTime is the time from an ejection to the first trial. It doubles with each failed trial and
	// each recent return from ejection, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// returnEvidence is the log-likelihood ratio of healthy to unhealthy at which a target returns to service.
	// Outcomes count by the test for 20% of failures, so a target that failed returns after at least 22 successes
	// in a row.
	returnEvidence = 4.6
	// trialFailureEvidence is the log-likelihood ratio of unhealthy to healthy at which a trial has failed. A
	// single response that is a little late does not fail a trial.
	trialFailureEvidence = 2.0
	// minReturnSuccesses is the minimum number of successes in a row for a return.
	minReturnSuccesses = 2
	// restoredEvidenceFraction bounds the evidence of some failures that an avoided target keeps when it
	// returns, as a fraction of the avoid threshold.
	restoredEvidenceFraction = 0.8
	// At most one in maxRequestsPerTrial requests is used as a trial; after several successes one in
	// minRequestsPerTrial. Urgent trials and cells without serving targets are exempt.
	maxRequestsPerTrial = 20
	minRequestsPerTrial = 4
	// flapDecayTime is the time in service after which one return is no longer counted.
	flapDecayTime = 10 * time.Minute
	// maxFlaps bounds the number of returns that are counted, and how often baseEjectionTime is doubled.
	maxFlaps = 6
	// nonRetryableTrialWait is how long a cell waits for a retryable request before it uses another one as a
	// trial.
	nonRetryableTrialWait = 30 * time.Second
)

// trialBudget limits the trials of a cell.
type trialBudget struct {
	// requests counts the requests since the last trial.
	requests int
	// outOfService counts the targets that need trials.
	outOfService int
	// lastRetryable is the time of the last retryable request.
	lastRetryable Time
}

// trialState holds the progress of a target out of service towards its return.
type trialState struct {
	due      Time
	interval time.Duration
	inFlight bool
	// urgent trials don't wait for the number of requests per trial.
	urgent bool
	// healthEvidence is the evidence that the target is healthy. For an ejected target it is reset by each
	// failed trial.
	healthEvidence float64
	successes      int
	// flaps counts the recent returns from ejection.
	flaps int
	// failures counts the failed trials since the target was avoided, ejected or found unreachable.
	failures   int
	returnedAt Time
}

// reset starts the trials of a target that went out of service.
func (s *trialState) reset(now Time, firstInterval time.Duration) {
	s.due = now + Time(firstInterval)
	s.interval = firstInterval
	s.healthEvidence, s.successes, s.failures, s.urgent = 0, 0, 0, false
}

// requestsPerTrial returns the number of requests per trial. It falls with each success, since the next trial
// is then less likely to fail.
func (s *trialState) requestsPerTrial() int {
	return max(minRequestsPerTrial, maxRequestsPerTrial>>s.successes)
}

// ejectionTime returns the time from an ejection or a failed trial to the next trial.
func (s *trialState) ejectionTime() time.Duration {
	return min(maxEjectionTime, baseEjectionTime<<min(s.flaps+s.failures, maxFlaps))
}

// pickTrial returns the target whose trial is due first and that this request may be used for, or nil.
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

// trialDue reports whether the request may be used as a trial of the target now.
func (c *Cell) trialDue(now Time, t *target, r *request) bool {
	s := &t.trial
	if s.inFlight || now < s.due || now < t.shedUntil || t.freeSlots() <= 0 || !c.withinRate(now, t) {
		return false
	}
	if c.tracksEpisodes() && t.state == TargetAvoided && c.failureProbability(now, t) >= suspectProbability {
		// The target is in a failure episode as well as slow. pickByProbability tests it when the episode is
		// likely to be over.
		return false
	}
	if c.servingTargets > 0 && (c.retriesLeft(now) < 1 || (c.trials.requests < s.requestsPerTrial() && !s.urgent)) {
		return false
	}
	if r.retryable() || t.state == TargetUnreachable || t.slowButResponding() {
		// A refused connection does not run the request, and a slow target does not fail it.
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

// endTrial handles the end of an attempt, which counts for the return of a target out of service. outcomeEvidence
// is the evidence that the target is healthy; 0 means none.
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
		// Failures offset later successes. Otherwise a target that fails one request in five would sooner or
		// later pass a series of successes.
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
		// Trials go on at the same interval until the target is ejected or restored, unless its ejection is
		// blocked.
		if t.ejectionBlockedBy != "" {
			s.interval = min(2*s.interval, maxAvoidedTrialInterval)
		}
	}
	// The jitter spreads the trials of several targets.
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
		// A few successes don't clear a target that fails occasionally; its next failure counts in full.
		someFailures.sum = min(someFailures.sum, restoredEvidenceFraction*c.avoidThreshold(c.ejectThreshold(t)))
		t.evidence.someFailures = someFailures
	}
	t.trial.healthEvidence, t.trial.successes = 0, 0
	c.setState(now, t, TargetServing, ReasonRecovered, kind, 0, 0, samples)
	c.refreshLimits(now)
}

// decayFlaps reduces the count of returns of a target that has stayed in service.
func (c *Cell) decayFlaps(now Time, t *target) {
	s := &t.trial
	if s.flaps > 0 && t.state == TargetServing && now-s.returnedAt >= Time(flapDecayTime) {
		s.flaps--
		s.returnedAt = now
	}
}
