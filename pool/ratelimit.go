package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// rateBurst is the time whose share of a rate limit may be used at once. One request always may.
	rateBurst = time.Second
	// maxRequestInterval is the longest time between two requests that a rate limit may ask for, because only a
	// response shows that the limit has ended.
	maxRequestInterval = 5 * time.Second
	// sharedRateFraction is the part of a rate limit that a cell uses while another entry may use the rest.
	sharedRateFraction = 0.5
)

// RateLimit is what a response says about the rate at which its target accepts requests.
type RateLimit struct {
	// Known says that there was a response and that the limit in it, if any, could be read.
	Known bool
	// Limited says that the response names a limit: PerSecond requests per second from all entries together, for as
	// long as the target's responses name it.
	Limited   bool
	PerSecond float64
}

// rateLimiter is the token bucket of a target that names a rate limit. Each request that the target receives takes a
// token, also a probe. The bucket is empty when the limit begins or is taken over from another entry, which may have
// used up what came before.
type rateLimiter struct {
	limited bool
	// perSecond is the limit as the target names it.
	perSecond float64
	// tokens is negative after a request that could not wait for a token.
	tokens     float64
	refilledAt Time
	// namedAt is when the latest response that names the limit ended.
	namedAt Time
}

// requestRate returns how many requests per second this entry may send to a rate-limited target.
func (c *Cell) requestRate(t *target) float64 {
	rate := t.rate.perSecond
	if c.shared || c.partitioned {
		rate *= sharedRateFraction
	}
	return max(rate, 1/maxRequestInterval.Seconds())
}

// refillRate adds the tokens of the time since the last call.
func (c *Cell) refillRate(now Time, t *target) {
	b := &t.rate
	rate := c.requestRate(t)
	capacity := max(1, rate*rateBurst.Seconds())
	b.tokens = min(capacity, b.tokens+rate*time.Duration(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// withinRate reports whether the rate limit of the target allows another request now.
func (c *Cell) withinRate(now Time, t *target) bool {
	if !t.rate.limited {
		return true
	}
	c.refillRate(now, t)
	return t.rate.tokens >= 1
}

// takeRate counts a request that the target receives.
func (c *Cell) takeRate(now Time, t *target) {
	if t.rate.limited {
		c.refillRate(now, t)
		t.rate.tokens--
	}
}

// slotsWithinRate returns how many of the target's slots its rate limit can keep busy.
func (c *Cell) slotsWithinRate(t *target) float64 {
	if !t.rate.limited {
		return float64(t.limit)
	}
	return min(float64(t.limit), c.requestRate(t)*c.queue.meanServiceTime.Seconds())
}

// observeRateLimit applies what the response to a request that was sent at startedAt says about the rate limit. Responses
// overtake each other, so only a request that was sent after the latest response with a limit shows that it has ended.
func (c *Cell) observeRateLimit(now, startedAt Time, t *target, l RateLimit) {
	switch {
	case !l.Known:
	case l.Limited:
		t.rate.namedAt = now
		c.setRateLimit(now, t, l.PerSecond, ReasonTarget)
	case t.rate.limited && startedAt >= t.rate.namedAt:
		t.rate = rateLimiter{}
		t.rampWarm(now)
		c.emit(Event{At: now, Kind: EventRateLimitEnded, Target: t.id, Reason: ReasonTarget})
		c.refreshLimits(now)
	}
}

func (c *Cell) setRateLimit(now Time, t *target, perSecond float64, reason Reason) {
	b := &t.rate
	if b.limited && b.perSecond == perSecond {
		return
	}
	if b.limited {
		c.refillRate(now, t)
	}
	b.limited, b.perSecond, b.refilledAt = true, perSecond, now
	c.emit(Event{At: now, Kind: EventRateLimited, Target: t.id, Reason: reason, Threshold: perSecond})
	c.refreshLimits(now)
}

// RateLimits returns the rate limits of the targets, for the next owner of the cell.
func (c *Cell) RateLimits() []fleet.TargetRateLimit {
	var limits []fleet.TargetRateLimit
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.rate.limited {
			limits = append(limits, fleet.TargetRateLimit{Target: t.id, PerSecond: t.rate.perSecond})
		}
	}
	return limits
}

// ImportRateLimits takes over the rate limits that the previous owner of the cell knew. Limits that the targets named to
// this entry stay.
func (c *Cell) ImportRateLimits(now Time, limits []fleet.TargetRateLimit) {
	c.beginCall(now)
	for _, l := range limits {
		if t := c.targets.get(l.Target); t != nil && !t.rate.limited {
			c.setRateLimit(now, t, l.PerSecond, ReasonHandover)
		}
	}
}

// AllowProbe reports whether the target may be probed now. A probe counts as a request if the target names a rate limit,
// and if it wants no requests until later.
func (c *Cell) AllowProbe(now Time, id table.TargetID) bool {
	c.beginCall(now)
	t := c.targets.get(id)
	if t == nil {
		return true
	}
	if now < t.pausedUntil || !c.withinRate(now, t) {
		return false
	}
	c.takeRate(now, t)
	return true
}
