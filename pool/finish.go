package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// Finish reports the end of the attempt in flight of a request. A retry or the final decision follows.
func (c *Cell) Finish(now Time, id RequestID, o Outcome) {
	c.beginCall(now)
	r := c.requests.get(id)
	if r == nil || r.phase != phaseInFlight {
		return
	}
	t := r.target
	c.release(t, r)
	t.recordOutcome(&o)
	// The evidence of the attempt in flight is replaced by that of its outcome.
	c.updateLateEvidence(now, t)
	if o.Draining {
		c.drain(now, t)
	}
	c.collectEvidence(now, t, r, &o)
	c.evaluate(now, t)
	r.target = nil
	r.lastTarget = t.id
	r.lastOutcome = o.Kind
	r.mayHaveRun = r.mayHaveRun || !o.notRun()
	c.removeIfUnlisted(t)
	c.conclude(now, r, &o)
	c.dispatch(now)
}

// release frees the slot of an attempt.
func (c *Cell) release(t *target, r *request) {
	t.inFlight--
	t.removeAttempt(r)
	if r.suspectedPoison {
		t.poisonSuspectsInFlight--
	}
}

// conclude decides whether a request whose attempt ended is retried.
func (c *Cell) conclude(now Time, r *request, o *Outcome) {
	switch {
	case r.canceled:
		c.removeRequest(r)
		return
	case o.Kind == OutcomeSuccess, o.Kind == OutcomeCanceled:
		c.endWithOutcome(r, ReasonAnswered)
		return
	}
	retry, reason := c.mayRetry(now, r, o)
	switch {
	case c.poison.refused(now, r.Fingerprint):
		retry, reason = false, ReasonPoison
	case c.ownership == fleet.NotOwner:
		retry, reason = false, ReasonNotOwner
	}
	if retry {
		c.classify(now, r)
		c.scheduleRetry(now, r, o)
		return
	}
	delay := o.RetryAfter
	if reason == ReasonPoison {
		delay = c.poison.retryAfter(now, r.Fingerprint)
	}
	c.endWaiting(r, reason, delay)
}

// classify chooses the queue of a request by its idempotence and by whether its fingerprint is suspected.
func (c *Cell) classify(now Time, r *request) {
	r.suspectedPoison = c.poison.suspected(now, r.Fingerprint)
	switch {
	case r.suspectedPoison:
		r.class = classSuspectedPoison
	case r.Idempotent:
		r.class = classIdempotent
	default:
		r.class = classNonIdempotent
	}
}

// collectEvidence adds the evidence of an attempt that ended.
func (c *Cell) collectEvidence(now Time, t *target, r *request, o *Outcome) {
	if o.Resent {
		c.takeRate(now, t)
	}
	if o.Kind != OutcomeMisdirected {
		c.observeRateLimit(now, r.started, t, o.RateLimit)
	}
	switch o.Kind {
	case OutcomeShed:
		c.applyShed(now, t, o.RetryAfter)
	case OutcomeMisdirected:
		c.applyShed(now, t, misdirectedPause)
	}
	c.collectConnection(now, t, r, o)
	if r.started < c.suspension.evidenceFrom {
		// The process was paused during the attempt, so its service time and outcome are no evidence.
		c.endTrial(now, t, r, 0)
		return
	}
	if c.tracksEpisodes() {
		c.updateEstimate(now, t, r, o)
	}
	c.collectOutcome(now, t, r, o)
}
