package pool

import (
	"time"
)

// Limits of retries.
const (
	// maxAttempts bounds the attempts of a request that may have run.
	maxAttempts = 3
	// maxNotRunAttempts bounds the attempts of a request that certainly was not run.
	maxNotRunAttempts = 6
	// retryBurst is the budget of a pool without traffic, in retries.
	retryBurst = 5
	// retryJitter spreads retries; it is multiplied by the number of attempts made.
	retryJitter = 25 * time.Millisecond
	// creditFraction is the part of the retry percentage that each request adds to the budget. The rest leaves
	// room for the burst, so that retries stay below the percentage from the first request of a long outage.
	creditFraction = 0.95
	// defaultRetryPercent applies if the pools table gives none.
	defaultRetryPercent = 10
)

// retryBudget holds a token bucket, to which each request adds a fraction of a retry, and a window over recent
// requests and retries, which applies instead in pools that set a retry burst.
type retryBudget struct {
	tokens      float64
	initialized bool
	window      retryWindowCount
	// reserved counts the retries that were decided and have not started yet. They wait for a target for up to the
	// rest of their deadline, and count in the span in which they start.
	reserved int
	// exclusiveSince is the time since which no other entry is likely to use the budget, if the cell is not shared.
	exclusiveSince Time
}

// sharedBudgetFraction is the part of the percentage of a windowed budget that a cell uses while another entry
// may use the rest.
const sharedBudgetFraction = 0.5

// retriesLeft returns how many more retries may be decided now.
func (c *Cell) retriesLeft(now Time) float64 {
	reserved := float64(c.budget.reserved)
	if c.Policy.RetryBurst == 0 {
		return c.budget.tokens - reserved
	}
	percent := c.retryPercent()
	slack := float64(c.Policy.RetryBurst)
	if c.shared {
		// Another entry may have used up the slack of this window.
		percent *= sharedBudgetFraction
		slack = 0
	}
	// An owner that has just taken over can't know what the previous one has used.
	slack *= min(1, float64(now-c.budget.exclusiveSince)/float64(retryWindow))
	return c.budget.window.remaining(now, percent, int(slack)) - reserved
}

// reserveRetry sets a retry of the request aside until it starts or the request ends.
func (c *Cell) reserveRetry(r *request) {
	r.retryReserved = true
	c.budget.reserved++
}

func (c *Cell) releaseRetry(r *request) {
	if r.retryReserved {
		r.retryReserved = false
		c.budget.reserved--
	}
}

// spendRetry takes the retry that is reserved for the request from the budget.
func (c *Cell) spendRetry(now Time, r *request) {
	if !r.retryReserved {
		return
	}
	c.releaseRetry(r)
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

// mayRetry reports whether another attempt may follow one with this outcome, and the reason.
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
	case r.attempt >= maxNotRunAttempts, r.mayHaveRun && r.attempt >= maxAttempts:
		return false, ReasonAttemptsSpent
	case c.retriesLeft(now) < 1:
		return false, ReasonRetryBudgetSpent
	}
	return true, ReasonRetry
}

// scheduleRetry schedules the next attempt of a request. If the first attempt could not connect, the retry is
// immediate, because it adds no load.
func (c *Cell) scheduleRetry(now Time, r *request, o *Outcome) {
	c.reserveRetry(r)
	r.retryDecidedAt = now
	if o.Kind == OutcomeConnectFailed && r.attempt == 1 {
		c.push(r, true)
		return
	}
	r.phase = phaseDelayed
	r.notBefore = now + Time(c.Random.Int64N(int64(retryJitter)*int64(r.attempt)))
	c.delayed = append(c.delayed, r)
}

// requeueDelayed queues the requests whose retry time has come, ahead of those that have had no attempt yet.
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
