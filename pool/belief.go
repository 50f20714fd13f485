package pool

import (
	"math"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
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
	// tryAgainShare is the part of a spell's usual length between a failed test of a target and the next.
	tryAgainShare = 0.4
	// earlyShare is the part of the usual times after which a request that can be repeated tests a target,
	// since it loses only time, and after which others do while slots are short.
	earlyShare = 0.5
	// pressureShare is the part of its time that a request has waited when slots are short.
	pressureShare = 0.1
	// noRepeatable is how long no repeatable request must have come before others test targets.
	noRepeatable = time.Second
	// lengthSmoothing is the weight of one spell in the usual length of a pool's spells.
	lengthSmoothing = 0.1
	// mostLengthFactor bounds that length, as a multiple of the pool's setting and as a part of it.
	mostLengthFactor = 2.0
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
	// doubtful target, whatever the belief; desperateRepeatable is the same for one that can be repeated.
	// slowWaitShare is the same for a target that is only slow: capacity goes before speed.
	slowWaitShare       = 0.03
	desperateShare      = 0.6
	desperateRepeatable = 0.3
	// desperateLast is the same for a further attempt that is the last one: a request that has lost one to a doubtful
	// target waits for a better one, of which it is the first to get a slot, until its answer would hardly come in time.
	desperateLast = 0.85
)

// belief is the probability that a target is in a bad spell, in which it fails most requests. Between outcomes it
// falls towards the share of targets that are in one: spells end by themselves.
type belief struct {
	bad float64
	at  Time
	// faultAt is the time of the last outcome that spoke against the target.
	faultAt Time
	// began is the time of the first fault of the spell that the target is believed to be in.
	began Time
	// tryAt is when the target may be tested with a request that can't be repeated.
	tryAt Time
}

// spells says that the pool's targets are judged by belief.
func (c *Cell) spells() bool { return c.Policy.SpellMs > 0 }

// spell is the usual length of a bad spell in the pool.
func (c *Cell) spell() time.Duration {
	if c.spellLength == 0 {
		return c.Policy.SpellMs.Duration()
	}
	return c.spellLength
}

// observeSpell takes the length of a spell that has ended.
func (c *Cell) observeSpell(length time.Duration) {
	usual := c.Policy.SpellMs.Duration()
	next := c.spell() + time.Duration(lengthSmoothing*float64(length-c.spell()))
	c.spellLength = min(max(next, time.Duration(float64(usual)/mostLengthFactor)), time.Duration(float64(usual)*mostLengthFactor))
}

// badness returns the belief at now.
func (c *Cell) badness(now Time, t *target) float64 {
	b := &t.belief
	if b.at == 0 {
		// A target that was never used is in no doubt.
		return min(c.badShare, clearBelief/2)
	}
	kept := math.Exp(-float64(now-b.at) / float64(c.spell()))
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
	if c.sharedReset(now, t, o) {
		return
	}
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
	c.noteSpell(now, t, before)
}

// noteSpell keeps when a target's spell began and when it may be tested, and reports changes. trusted says that
// the target was in no doubt before the last outcome.
func (c *Cell) noteSpell(now Time, t *target, trusted bool) {
	b := &t.belief
	bad := c.badness(now, t)
	if bad < clearBelief {
		if !trusted {
			// The spell ended somewhere between the last fault and now.
			c.observeSpell(time.Duration((b.faultAt+now)/2 - b.began))
			c.event(Event{At: now, Kind: EventRestored, Target: t.id, Reason: ReasonRecovered, Evidence: bad, Threshold: clearBelief})
		}
		return
	}
	if trusted {
		b.began = now
		c.event(Event{At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonFailures, Evidence: bad, Threshold: clearBelief})
	}
	// Weak evidence keeps a target out for a shorter time.
	usual := Time(float64(c.spell()) * bad)
	b.tryAt = max(b.began+usual, now+Time(tryAgainShare*float64(usual)))
}

// inSpell returns the targets that are believed to be in a spell, so that the next owner starts with them.
func (c *Cell) inSpell(now Time) []table.TargetID {
	var ids []table.TargetID
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && c.badness(now, t) >= clearBelief {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// inheritDoubt takes the former owner's word that a target is in a spell, of which about half has passed.
func (c *Cell) inheritDoubt(now Time, t *target) {
	if c.badness(now, t) >= clearBelief {
		return
	}
	half := Time(c.spell() / 2)
	t.belief = belief{bad: mostBelief, at: now, faultAt: now, began: now - half, tryAt: now + half}
	c.event(Event{At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonInherited, Evidence: mostBelief, Threshold: clearBelief})
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
	weight := float64(TickInterval) / float64(shareMemory)
	c.badShare += (bad/float64(n) - c.badShare) * weight
	c.badShare = min(mostShare, max(leastShare, c.badShare))
}

// pickByBelief chooses a target with a free slot: the least loaded of those in no doubt; else one to be tried; else
// one that is only slow; else, for a request that has waited long, the least doubtful one.
func (c *Cell) pickByBelief(now Time, r *request) (*target, Reason, bool) {
	if r.replaceable() {
		c.trials.lastSafe = now
	}
	n := c.targets.len()
	if n == 0 {
		return nil, "", false
	}
	var found candidates
	position := c.Random.IntN(n)
	for range n {
		t := c.targets.at(position)
		if position++; position == n {
			position = 0
		}
		if c.usable(now, t, r) {
			c.consider(now, t, &found)
		}
	}
	switch doubtful := found.doubtful.target; {
	case found.idle.target != nil && !r.onLastAttempt() && c.belowFloor(now):
		return found.idle.target, ReasonFloor, false
	case doubtful != nil && c.mayTry(now, r, doubtful):
		return doubtful, ReasonTrial, false
	case found.clear.target != nil && r.attempt > 0:
		return found.clear.target, ReasonRetry, false
	case found.clear.target != nil:
		return found.clear.target, ReasonLeastInFlight, false
	case found.slow.target != nil && c.waited(now, r, slowWaitShare):
		return found.slow.target, ReasonSaturated, false
	case doubtful != nil && c.desperate(now, r):
		return doubtful, ReasonSaturated, false
	}
	return nil, "", false
}

// candidates are the best targets of each kind.
type candidates struct {
	clear, slow, doubtful candidate
	// idle is the least doubtful of those that got no work lately.
	idle candidate
}

// candidate is a target with its score; a lower one is better.
type candidate struct {
	target *target
	score  float64
}

func (b *candidate) offer(t *target, score float64) {
	if b.target == nil || score < b.score {
		b.target, b.score = t, score
	}
}

// consider sorts a usable target into its kind.
func (c *Cell) consider(now Time, t *target, found *candidates) {
	bad := c.badness(now, t)
	load := float64(t.inFlight) / float64(t.limit)
	if !t.inUse(now) {
		found.idle.offer(t, bad)
	}
	switch {
	case bad >= clearBelief:
		found.doubtful.offer(t, bad)
	case t.state == TargetAvoided:
		found.slow.offer(t, load+t.evidence.late)
	default:
		// Of equally loaded targets the one that answered last is in the least doubt; its connection is warm.
		found.clear.offer(t, load+c.suspicion(now, t)+bad)
	}
}

// usable says that the target may run the request as far as its state and slots are concerned.
func (c *Cell) usable(now Time, t *target, r *request) bool {
	inService := t.state == TargetServing || t.state == TargetAvoided && t.reason == ReasonSlow
	again := r.attempt > 0 && t.id == r.lastTarget
	besideSuspect := r.suspect && t.suspectsInFlight > 0
	return inService && now >= t.shedUntil && t.freeSlots() > 0 && !again && !besideSuspect
}

// mayTry says that the request may test whether a doubtful target has recovered. One test runs at a time, and a
// request that can't be repeated is risked only where none that can comes.
func (c *Cell) mayTry(now Time, r *request, t *target) bool {
	if t.inFlight > 0 || r.attempt > 0 || r.suspect {
		return false
	}
	early := t.belief.faultAt + Time(earlyShare*float64(t.belief.tryAt-t.belief.faultAt))
	switch {
	case r.replaceable():
		return now >= early && c.retriesLeft(now) >= 1
	case c.waited(now, r, pressureShare):
		// Slots are short. A target that returns carries many requests; the test costs half of one.
		return now >= early
	}
	return now >= t.belief.tryAt && now-c.trials.lastSafe >= Time(noRepeatable)
}

// desperate says that the request has waited for so long that a doubtful target is better than none.
func (c *Cell) desperate(now Time, r *request) bool {
	share := desperateShare
	switch {
	case r.onLastAttempt():
		share = desperateLast
	case r.replaceable() && c.retriesLeft(now) >= 1:
		share = desperateRepeatable
	}
	return c.waited(now, r, share)
}

// waited says that a request has waited for the given share of the time to its deadline.
func (c *Cell) waited(now Time, r *request, share float64) bool {
	if r.Deadline == 0 {
		return c.waitedLong(now, r)
	}
	return float64(now-r.submitted) >= share*float64(r.Deadline-r.submitted)
}
