package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// Responded reports that the response to the attempt in flight of a request has begun. Its age is no evidence against the
// target from then on: how long a body takes depends on its caller and the links as well.
func (c *Cell) Responded(now Time, id RequestID) {
	if r := c.requests.get(id); r != nil && r.phase == phaseInFlight {
		r.respondedAt = now
		r.target.unansweredSince = 0
	}
}

// silentFor returns how long the attempt in flight has been without a response, up to the beginning of its response.
func (r *request) silentFor(now Time) Time {
	if r.respondedAt > 0 {
		now = r.respondedAt
	}
	return now - r.started
}

// Finish reports the end of the attempt in flight of a request. A retry or the final decision follows.
func (c *Cell) Finish(now Time, id RequestID, o Outcome) {
	c.beginCall(now)
	r := c.requests.get(id)
	if r == nil || r.phase != phaseInFlight {
		return
	}
	t := r.target
	c.release(t, r)
	c.settle(now, r, &o)
	c.releaseRetry(r)
	t.recordOutcome(r, &o)
	// The evidence of the attempt in flight is replaced by that of its outcome.
	c.updateLateEvidence(now, t)
	c.collectAnnouncements(now, t, r, &o)
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
	t.work.advance(c.lastCall, t)
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
	if c.revoked(now, r, o) {
		c.restart(now, r)
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
	delay := c.retryAfter(now, r)
	if reason == ReasonPoison {
		delay = c.poison.retryAfter(now, r.Fingerprint)
	}
	c.endWaiting(r, reason, delay)
}

// revoked reports whether the attempt sent nothing because its target has announced meanwhile that it wants no requests.
func (c *Cell) revoked(now Time, r *request, o *Outcome) bool {
	return o.Kind == OutcomeNotStarted && c.ownership != fleet.NotOwner && !c.AcceptsRequests(now, r.lastTarget)
}

// restart queues a request whose attempt sent nothing as if that attempt had not begun.
func (c *Cell) restart(now Time, r *request) {
	r.attempt--
	if r.attempt > 0 {
		c.refillRetries(now, 0)
		c.budget.tokens++
		c.reserveRetry(r)
	}
	c.classify(now, r)
	c.push(r, true)
}

// retryAfter returns when a caller whose request is refused had better come back.
func (c *Cell) retryAfter(now Time, r *request) time.Duration {
	if end := c.nextPauseEnd(now); end > 0 {
		return time.Duration(end - now)
	}
	return c.waitOf(now, r)
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
		if o.RetryAfter == 0 {
			c.pauseUntil(now, t, now+Time(defaultShedPause))
		}
	case OutcomeMisdirected:
		c.pauseUntil(now, t, now+Time(misdirectedPause))
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
	c.collectWork(t, r, o)
	c.collectOutcome(now, t, r, o)
}
