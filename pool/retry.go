package pool

import (
	"time"
)

// Limits of retries.
const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxUnsentAttempts bounds the attempts of a request that no target has received.
	maxUnsentAttempts = 6
	// retryBurst is the budget of a quiet pool, in retries.
	retryBurst = 5
	// retryJitter spreads retries; it is multiplied by the number of attempts made.
	retryJitter = 25 * time.Millisecond
	// creditFraction is the part of the percentage that requests pay in; the rest leaves room for the burst, so
	// that a long outage stays below the percentage from its first request on.
	creditFraction = 0.95
	// defaultRetryPercent applies when the pools table gives none.
	defaultRetryPercent = 10
)

// retryBudget is a token bucket: each request pays in a share of one retry.
type retryBudget struct {
	tokens      float64
	initialized bool
	window      retryWindowCount
	// exclusiveSince is since when no other entry is likely to use the budget.
	exclusiveSince Time
}

// sharedBudgetFraction is the part of the percentage of a windowed budget that a cell uses while another entry may
// use the rest.
const sharedBudgetFraction = 0.5

// retriesLeft is how many retries the budget allows now.
func (c *Cell) retriesLeft(now Time) float64 {
	if c.Policy.RetryBurst == 0 {
		return c.budget.tokens
	}
	percent := c.retryPercent()
	slack := float64(c.Policy.RetryBurst)
	if c.shared {
		// Another entry may have used the slack of this window up.
		percent *= sharedBudgetFraction
		slack = 0
	}
	// An owner that has just taken over can't know what the former one has used.
	slack *= min(1, float64(now-c.budget.exclusiveSince)/float64(retryWindow))
	return c.budget.window.remaining(now, percent, int(slack))
}

// spendRetry takes one retry from the budget.
func (c *Cell) spendRetry(now Time) {
	c.budget.tokens--
	c.budget.window.addRetry(now)
}

func (c *Cell) retryPercent() float64 {
	if c.Policy.RetryPercent == nil {
		return defaultRetryPercent
	}
	return *c.Policy.RetryPercent
}

func (c *Cell) creditRetryBudget(now Time) {
	c.budget.window.addRequest(now)
	percent := c.retryPercent()
	limit := float64(retryBurst)
	if percent == 0 {
		limit = 0
	}
	if !c.budget.initialized {
		c.budget.tokens, c.budget.initialized = limit, true
	}
	c.budget.tokens = min(limit, c.budget.tokens+creditFraction*percent/100)
}

// mayRetry says whether an attempt with this outcome may be followed by another, and why not.
func (c *Cell) mayRetry(now Time, r *request, o *Outcome) (bool, Reason) {
	notExecuted := o.notRun()
	switch {
	case o.ResponseStarted:
		return false, ReasonNotRetryable
	case !notExecuted && !r.retryable() && !c.injectedFaults.rerunNonIdempotent:
		return false, ReasonNotRetryable
	case !notExecuted && !r.Replayable && !c.injectedFaults.rerunNonIdempotent:
		return false, ReasonNotRetryable
	case r.Deadline > 0 && now >= r.Deadline:
		return false, ReasonDeadline
	case r.MaxAttempts > 0 && r.attempt >= r.MaxAttempts:
		return false, ReasonAttemptsSpent
	case r.attempt >= maxUnsentAttempts, r.mayHaveRun && r.attempt >= maxAttempts:
		return false, ReasonAttemptsSpent
	case c.retriesLeft(now) < 1:
		return false, ReasonRetryBudgetSpent
	}
	return true, ReasonRetry
}

// scheduleRetry schedules the next attempt of a request. The first retry of a request that was not sent to any
// target is immediate, because it adds no load.
func (c *Cell) scheduleRetry(now Time, r *request, o *Outcome) {
	c.spendRetry(now)
	if o.Kind == OutcomeConnectFailed && r.attempt == 1 {
		c.push(r, true)
		return
	}
	r.phase = phaseDelayed
	r.notBefore = now + Time(c.Random.Int64N(int64(retryJitter)*int64(r.attempt)))
	c.delayed = append(c.delayed, r)
}

// requeueDelayed queues the requests whose retry time has come, before those that have not run yet.
func (c *Cell) requeueDelayed(now Time) {
	kept := c.delayed[:0]
	for _, r := range c.delayed {
		switch {
		case r.Deadline > 0 && now >= r.Deadline:
			c.endWaiting(r, ReasonDeadline, 0)
		case now >= r.notBefore:
			c.push(r, true)
		default:
			kept = append(kept, r)
		}
	}
	clear(c.delayed[len(kept):])
	c.delayed = kept
}

func (c *Cell) removeDelayed(r *request) {
	for i, d := range c.delayed {
		if d == r {
			c.delayed = append(c.delayed[:i], c.delayed[i+1:]...)
			return
		}
	}
}
