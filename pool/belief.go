package pool

import (
	"math"
	"time"
)

// Likelihood ratios of outcomes: how much likelier each is at a target in a bad spell than at a sound one. In a
// spell most requests fail; a sound target hardly ever loses a connection under a request, but answers about one
// request in a hundred with an error of its own.
const (
	ratioConnectionLost = 400
	ratioConnectFailed  = 20
	ratioTimeout        = 20
	ratioFailedAnswer   = 8
	ratioSuccess        = 0.2
)

const (
	// clearBelief is the belief below which a target gets ordinary work: one failed answer of a target
	// that just succeeded stays below it, a lost connection does not.
	clearBelief = 0.15
	// trialBelief is the belief below which a target is tried with a request that can be repeated.
	trialBelief = 0.6
	// riskBelief is the belief below which it is tried with one that can't, where no others come.
	riskBelief = 0.4
	// noRepeatable is how long no repeatable request must have come for riskBelief to count.
	noRepeatable = time.Second
	// leastBelief keeps a long series of successes from making the next fault unbelievable.
	leastBelief = 0.01
	// mostBelief bounds how long a target stays out after a long series of faults.
	mostBelief = 0.99
	// leastShare and mostShare bound the share of targets that are assumed to be in a spell at any time.
	leastShare = 0.02
	mostShare  = 0.35
	// shareMemory is the time over which that share is averaged.
	shareMemory = 20 * time.Second
	// desperateShare is the part of a request's time to its deadline after which it goes to the least
	// doubtful target, whatever the belief.
	desperateShare = 0.5
)

// belief is the probability that a target is in a bad spell, in which it fails most requests. Between outcomes it
// falls towards the share of targets that are in one: spells end by themselves.
type belief struct {
	bad float64
	at  Time
	// faultAt is the time of the last outcome that spoke against the target.
	faultAt Time
}

// spells says that the pool's targets are judged by belief.
func (c *Cell) spells() bool { return c.Policy.SpellMs > 0 }

// badness returns the belief at now.
func (c *Cell) badness(now Time, t *target) float64 {
	b := &t.belief
	if b.at == 0 {
		return c.badShare
	}
	kept := math.Exp(-float64(now-b.at) / float64(c.Policy.SpellMs.Duration()))
	return c.badShare + (b.bad-c.badShare)*kept
}

// learn takes an outcome with a likelihood ratio above 1 if it speaks against the target.
func (c *Cell) learn(now Time, t *target, ratio float64) {
	p := c.badness(now, t)
	odds := p / (1 - p) * ratio
	t.belief.bad = min(mostBelief, max(leastBelief, odds/(1+odds)))
	t.belief.at = now
	if ratio > 1 {
		t.belief.faultAt = now
	}
}

// learnOutcome takes the outcome of an attempt.
func (c *Cell) learnOutcome(now Time, t *target, r *request, o *Outcome) {
	before := c.badness(now, t) < clearBelief
	switch o.Kind {
	case OutcomeSuccess:
		if r.started < t.belief.faultAt {
			// A request that started before the last fault does not show that the target works again.
			return
		}
		c.learn(now, t, ratioSuccess)
	case OutcomeFailed, OutcomeTruncated:
		c.learn(now, t, ratioFailedAnswer)
	case OutcomeTimeout:
		c.learn(now, t, ratioTimeout)
	case OutcomeConnectionLost, OutcomeConnectionSilent:
		c.learn(now, t, ratioConnectionLost)
	case OutcomeConnectFailed:
		c.learn(now, t, ratioConnectFailed)
	default:
		return
	}
	bad := c.badness(now, t)
	switch after := bad < clearBelief; {
	case before && !after:
		c.event(Event{At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonFailures, Evidence: bad, Threshold: clearBelief})
	case !before && after:
		c.event(Event{At: now, Kind: EventRestored, Target: t.id, Reason: ReasonRecovered, Evidence: bad, Threshold: clearBelief})
	}
}

// refreshShare averages the share of targets that are believed to be in a spell.
func (c *Cell) refreshShare(now Time) {
	if c.badShare == 0 {
		c.badShare = leastShare
	}
	bad, n := 0.0, 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetLeaving || t.belief.at == 0 {
			continue
		}
		n++
		if t.belief.bad > 0.5 {
			bad += c.badness(now, t)
		}
	}
	if n == 0 {
		return
	}
	weight := float64(Interval) / float64(shareMemory)
	c.badShare += (bad/float64(n) - c.badShare) * weight
	c.badShare = min(mostShare, max(leastShare, c.badShare))
}

// pickByBelief chooses a serving target with a free slot: the least loaded of those in no doubt; else one to be
// tried; else, for a request that has waited long, the least doubtful one.
func (c *Cell) pickByBelief(now Time, r *request) (*target, Reason, bool) {
	if r.replaceable() {
		c.trials.lastSafe = now
	}
	var clear, doubtful *target
	clearScore, doubt := 0.0, 0.0
	n := c.targets.len()
	if n == 0 {
		return nil, "", false
	}
	position := c.Random.IntN(n)
	for range n {
		t := c.targets.at(position)
		if position++; position == n {
			position = 0
		}
		if !c.usable(now, t, r) {
			continue
		}
		b := c.badness(now, t)
		if b >= clearBelief {
			if doubtful == nil || b < doubt {
				doubtful, doubt = t, b
			}
			continue
		}
		score := float64(t.inFlight)/float64(t.limit) + c.suspicion(now, t) + b
		if clear == nil || score < clearScore {
			clear, clearScore = t, score
		}
	}
	if doubtful != nil && c.mayTry(now, r, doubtful, doubt) {
		return doubtful, ReasonTrial, false
	}
	if clear != nil {
		if r.attempt > 0 {
			return clear, ReasonRetry, false
		}
		return clear, ReasonLeastInFlight, false
	}
	if doubtful != nil && c.desperate(now, r) {
		return doubtful, ReasonSaturated, false
	}
	return nil, "", false
}

// usable says that the target may run the request as far as its state and slots are concerned.
func (c *Cell) usable(now Time, t *target, r *request) bool {
	return t.state == TargetServing && now >= t.shedUntil && t.freeSlots() > 0 &&
		!(r.suspect && t.suspectsInFlight > 0) && !(r.attempt > 0 && t.id == r.lastTarget)
}

// mayTry says that the request may test whether a doubtful target has recovered. One test runs at a time, and a
// request that can't be repeated is risked only where none that can comes.
func (c *Cell) mayTry(now Time, r *request, t *target, doubt float64) bool {
	if t.inFlight > 0 || r.attempt > 0 || r.suspect {
		return false
	}
	if r.replaceable() {
		return doubt < trialBelief && c.budget.tokens >= 1
	}
	return doubt < riskBelief && now-c.trials.lastSafe >= Time(noRepeatable)
}

// desperate says that the request has waited for so long that a doubtful target is better than none.
func (c *Cell) desperate(now Time, r *request) bool {
	if r.replaceable() && c.budget.tokens >= 1 {
		return true
	}
	if r.Deadline == 0 {
		return c.waitedLong(now, r)
	}
	return float64(now-r.submitted) >= desperateShare*float64(r.Deadline-r.submitted)
}
