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
	// retryWindow is the span of time for which the retry burst of a policy is stated.
	retryWindow = 10 * time.Second
	// capacityFraction is the part of the retry burst that can be spent at once.
	capacityFraction = 0.4
	// sharedBudgetFraction is the part of the percentage that a cell uses while another entry may use the rest.
	sharedBudgetFraction = 0.5
)

// retryBudget is a token bucket; a retry takes one token when it starts. In any span of time, the retries are at most
// the capacity plus what flows in during the span. This also holds over a change of the owner, although the new one
// does not know what the previous one has spent, because a bucket with a limit for the whole fleet starts empty.
type retryBudget struct {
	// tokens includes those that are reserved.
	tokens float64
	// reserved counts the retries that were decided and have not started yet. They wait for a target for up to the
	// rest of their deadline, and count in the span in which they start.
	reserved    int
	refilledAt  Time
	initialized bool
}

// retryRates are the parameters of a retry budget.
type retryRates struct {
	// capacity is the maximum number of tokens.
	capacity float64
	// perRequest and perSecond are the tokens that each request and each second add.
	perRequest, perSecond float64
}

// retryRates returns the rates that apply now. A retry burst of the policy is a limit for the whole fleet in any
// retryWindow: a part of it is the capacity, and the rest flows in evenly.
func (c *Cell) retryRates() retryRates {
	percent := c.retryPercent()
	burst := c.Policy.RetryBurst
	switch {
	case burst == 0 && percent == 0:
		return retryRates{}
	case burst == 0:
		return retryRates{capacity: retryBurst, perRequest: creditFraction * percent / 100}
	case c.shared, c.partitioned:
		// The burst belongs to one entry at a time.
		return retryRates{capacity: burstCapacity(burst), perRequest: sharedBudgetFraction * percent / 100}
	}
	return retryRates{
		capacity:   burstCapacity(burst),
		perRequest: percent / 100,
		perSecond:  burst * (1 - capacityFraction) / retryWindow.Seconds(),
	}
}

// burstCapacity returns the capacity of a bucket for a retry burst. A cell's part of a small burst must still allow one
// retry.
func burstCapacity(burst float64) float64 { return max(1, burst*capacityFraction) }

// refillRetries adds the tokens of the time since the last call and of the given number of requests.
func (c *Cell) refillRetries(now Time, requests int) {
	rates := c.retryRates()
	b := &c.budget
	if !b.initialized {
		b.initialized, b.refilledAt = true, now
		if c.Policy.RetryBurst == 0 {
			b.tokens = rates.capacity
		}
	}
	added := rates.perSecond*time.Duration(now-b.refilledAt).Seconds() + rates.perRequest*float64(requests)
	b.tokens = min(rates.capacity, b.tokens+added)
	b.refilledAt = now
}

// dropRetryBurst empties the bucket before the retry burst passes from one entry to another. The next owner of the burst
// starts with an empty bucket too.
func (c *Cell) dropRetryBurst(now Time) {
	c.refillRetries(now, 0)
	if c.Policy.RetryBurst > 0 {
		c.budget.tokens = 0
	}
}

// retriesLeft returns how many more retries may be decided now.
func (c *Cell) retriesLeft(now Time) float64 {
	c.refillRetries(now, 0)
	return c.budget.tokens - float64(c.budget.reserved)
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
	c.refillRetries(now, 0)
	c.budget.tokens--
}

func (c *Cell) retryPercent() float64 {
	if c.Policy.RetryPercent == nil {
		return defaultRetryPercent
	}
	return *c.Policy.RetryPercent
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
// immediate, because it adds no load. The same goes for an abandoned attempt, which has taken long enough.
func (c *Cell) scheduleRetry(now Time, r *request, o *Outcome) {
	c.reserveRetry(r)
	r.retryDecidedAt = now
	if o.Kind == OutcomeConnectFailed && r.attempt == 1 || o.Abandoned {
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
