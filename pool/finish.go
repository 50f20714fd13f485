package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// Finish reports the end of the attempt in flight of a request. A retry, or the final decision, follows.
func (c *Cell) Finish(now Time, id RequestID, o Outcome) {
	c.begin(now)
	r := c.requests.get(id)
	if r == nil || r.phase != phaseInFlight {
		return
	}
	t := r.target
	c.release(t, r)
	t.noteOutcome(&o)
	// The evidence of the attempt in flight is replaced by that of its end.
	c.observeLate(now, t)
	if o.Draining {
		c.drain(now, t)
	}
	c.collect(now, t, r, &o)
	c.judgeTarget(now, t)
	r.target = nil
	r.lastTarget = t.id
	r.lastOutcome = o.Kind
	r.ran = r.ran || !o.notRun()
	c.dropIfGone(t)
	c.conclude(now, r, &o)
	c.pump(now)
}

// release frees the slot of an attempt.
func (c *Cell) release(t *target, r *request) {
	t.inFlight--
	t.removeAttempt(r)
	if r.suspect {
		t.suspectsInFlight--
	}
}

// conclude decides whether a request whose attempt ended runs again.
func (c *Cell) conclude(now Time, r *request, o *Outcome) {
	switch {
	case r.cancelled:
		c.requests.remove(r.ID)
		return
	case o.Kind == OutcomeSuccess, o.Kind == OutcomeCancelled:
		c.final(r, ReasonAnswered)
		return
	}
	again, reason := c.mayRetry(now, r, o)
	switch {
	case c.poison.refused(now, r.Fingerprint):
		again, reason = false, ReasonPoison
	case c.standing == fleet.NotOwner:
		again, reason = false, ReasonNotOwner
	}
	if again {
		c.classify(now, r)
		c.delay(now, r, o)
		return
	}
	advice := o.RetryAfter
	if reason == ReasonPoison {
		advice = c.poison.retryAfter(now, r.Fingerprint)
	}
	c.settleUnrun(r, reason, advice)
}

// classify chooses the queue of a request from its nature and from what is known of its fingerprint.
func (c *Cell) classify(now Time, r *request) {
	r.suspect = c.poison.suspected(now, r.Fingerprint)
	switch {
	case r.suspect:
		r.class = classSuspect
	case r.Idempotent:
		r.class = classIdempotent
	default:
		r.class = classNonIdempotent
	}
}

// collect takes the evidence of an attempt that ended.
func (c *Cell) collect(now Time, t *target, r *request, o *Outcome) {
	switch o.Kind {
	case OutcomeShed:
		c.shed(now, t, o.RetryAfter)
	case OutcomeMisdirected:
		c.shed(now, t, otherTargetPause)
	}
	c.collectConnection(now, t, r, o)
	if r.started < c.doubt.evidenceFrom {
		// The attempt spans a pause of this process, so its time and outcome say nothing.
		c.endTrial(now, t, r, 0)
		return
	}
	if c.spells() {
		c.learnOutcome(now, t, r, o)
	}
	c.collectOutcome(now, t, r, o)
}
