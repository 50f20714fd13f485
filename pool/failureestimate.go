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
	likelihoodRatioConnectionLost = 400
	likelihoodRatioConnectFailed  = 20
	likelihoodRatioTimeout        = 20
	likelihoodRatioFailedResponse = 8
	likelihoodRatioSuccess        = 0.2
)

const (
	// suspectProbability is the belief below which a target gets ordinary work: one failed answer of a target
	// that just succeeded stays below it, a lost connection does not.
	suspectProbability = 0.15
	// nextTrialFraction is the part of a spell's usual length between a failed test of a target and the next.
	nextTrialFraction = 0.4
	// earlyTrialFraction is the part of the usual times after which a request that can be repeated tests a target,
	// since it loses only time, and after which others do while slots are short.
	earlyTrialFraction = 0.5
	// slotShortageFraction is the part of its time that a request has waited when slots are short.
	slotShortageFraction = 0.1
	// retryableWait is how long no repeatable request must have come before others test targets.
	retryableWait = time.Second
	// episodeSmoothing is the weight of one spell in the usual length of a pool's spells.
	episodeSmoothing = 0.1
	// maxEpisodeFactor bounds that length, as a multiple of the pool's setting and as a part of it.
	maxEpisodeFactor = 2.0
	// minProbability keeps a long series of successes from making the next fault unbelievable.
	minProbability = 0.01
	// maxProbability bounds how long a target stays out after a long series of faults.
	maxProbability = 0.99
	// minPrior and maxPrior bound the share of targets that are assumed to be in a spell at any time.
	minPrior = 0.02
	maxPrior = 0.35
	// priorWindow is the time over which that share is averaged.
	priorWindow = 20 * time.Second
	// suspectWaitFraction is the part of a request's time to its deadline after which it goes to the least
	// doubtful target, whatever the belief; suspectWaitRetryable is the same for one that can be repeated.
	// slowTargetWaitFraction is the same for a target that is only slow: capacity goes before speed.
	slowTargetWaitFraction = 0.03
	suspectWaitFraction    = 0.6
	suspectWaitRetryable   = 0.3
	// suspectWaitLastAttempt is the same for a further attempt that is the last one: a request that has lost one to a doubtful
	// target waits for a better one, of which it is the first to get a slot, until its answer would hardly come in time.
	suspectWaitLastAttempt = 0.85
)

// failureEstimate is the probability that a target is in a bad spell, in which it fails most requests. Between outcomes it
// falls towards the share of targets that are in one: spells end by themselves.
type failureEstimate struct {
	probability float64
	updatedAt   Time
	// lastFaultAt is the time of the last outcome that spoke against the target.
	lastFaultAt Time
	// episodeStart is the time of the first fault of the spell that the target is believed to be in.
	episodeStart Time
	// trialAt is when the target may be tested with a request that can't be repeated.
	trialAt Time
}

// tracksEpisodes says that the pool's targets are judged by belief.
func (c *Cell) tracksEpisodes() bool { return c.Policy.SpellMs > 0 }

// episodeLength is the usual length of a bad spell in the pool.
func (c *Cell) episodeLength() time.Duration {
	if c.observedEpisodeLength == 0 {
		return c.Policy.SpellMs.Duration()
	}
	return c.observedEpisodeLength
}

// observeEpisode takes the length of a spell that has ended.
func (c *Cell) observeEpisode(length time.Duration) {
	configured := c.Policy.SpellMs.Duration()
	mean := c.episodeLength() + time.Duration(episodeSmoothing*float64(length-c.episodeLength()))
	c.observedEpisodeLength = min(max(mean, time.Duration(float64(configured)/maxEpisodeFactor)), time.Duration(float64(configured)*maxEpisodeFactor))
}

// failureProbability returns the belief at now.
func (c *Cell) failureProbability(now Time, t *target) float64 {
	b := &t.estimate
	if b.updatedAt == 0 {
		// A target that was never used is in no doubt.
		return min(c.prior, suspectProbability/2)
	}
	decay := math.Exp(-float64(now-b.updatedAt) / float64(c.episodeLength()))
	return c.prior + (b.probability-c.prior)*decay
}

// applyLikelihoodRatio takes an outcome with a likelihood ratio above 1 if it speaks against the target.
func (c *Cell) applyLikelihoodRatio(now Time, t *target, likelihoodRatio float64) {
	p := c.failureProbability(now, t)
	odds := p / (1 - p) * likelihoodRatio
	t.estimate.probability = min(maxProbability, max(minProbability, odds/(1+odds)))
	t.estimate.updatedAt = now
	if likelihoodRatio > 1 {
		t.estimate.lastFaultAt = now
	}
}

// updateEstimate takes the outcome of an attempt.
func (c *Cell) updateEstimate(now Time, t *target, r *request, o *Outcome) {
	if c.sharedReset(now, t, o) {
		return
	}
	wasTrusted := c.failureProbability(now, t) < suspectProbability
	switch o.Kind {
	case OutcomeSuccess:
		if r.started < t.estimate.lastFaultAt {
			// A request that started before the last fault does not show that the target works again.
			return
		}
		c.applyLikelihoodRatio(now, t, likelihoodRatioSuccess)
	case OutcomeFailed, OutcomeTruncated:
		c.applyLikelihoodRatio(now, t, likelihoodRatioFailedResponse)
	case OutcomeTimeout:
		c.applyLikelihoodRatio(now, t, likelihoodRatioTimeout)
	case OutcomeConnectionLost, OutcomeConnectionSilent:
		c.applyLikelihoodRatio(now, t, likelihoodRatioConnectionLost)
	case OutcomeConnectFailed:
		c.applyLikelihoodRatio(now, t, likelihoodRatioConnectFailed)
	default:
		return
	}
	c.trackEpisode(now, t, wasTrusted)
}

// trackEpisode keeps when a target's spell began and when it may be tested, and reports changes. trusted says that
// the target was in no doubt before the last outcome.
func (c *Cell) trackEpisode(now Time, t *target, wasTrusted bool) {
	b := &t.estimate
	probability := c.failureProbability(now, t)
	if probability < suspectProbability {
		if !wasTrusted {
			// The spell ended somewhere between the last fault and now.
			c.observeEpisode(time.Duration((b.lastFaultAt+now)/2 - b.episodeStart))
			c.emit(Event{At: now, Kind: EventRestored, Target: t.id, Reason: ReasonRecovered, Evidence: probability, Threshold: suspectProbability})
		}
		return
	}
	if wasTrusted {
		b.episodeStart = now
		c.emit(Event{At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonFailures, Evidence: probability, Threshold: suspectProbability})
	}
	// Weak evidence keeps a target out for a shorter time.
	expected := Time(float64(c.episodeLength()) * probability)
	b.trialAt = max(b.episodeStart+expected, now+Time(nextTrialFraction*float64(expected)))
}

// suspectTargets returns the targets that are believed to be in a spell, so that the next owner starts with them.
func (c *Cell) suspectTargets(now Time) []table.TargetID {
	var ids []table.TargetID
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && c.failureProbability(now, t) >= suspectProbability {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// importSuspect takes the former owner's word that a target is in a spell, of which about half has passed.
func (c *Cell) importSuspect(now Time, t *target) {
	if c.failureProbability(now, t) >= suspectProbability {
		return
	}
	halfEpisode := Time(c.episodeLength() / 2)
	t.estimate = failureEstimate{probability: maxProbability, updatedAt: now, lastFaultAt: now, episodeStart: now - halfEpisode, trialAt: now + halfEpisode}
	c.emit(Event{At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonInherited, Evidence: maxProbability, Threshold: suspectProbability})
}

// updatePrior averages the share of targets that are believed to be in a spell.
func (c *Cell) updatePrior(now Time) {
	if c.prior == 0 {
		c.prior = minPrior
	}
	unhealthy, n := 0.0, 0
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetLeaving || t.estimate.updatedAt == 0 {
			continue
		}
		n++
		if t.estimate.probability > 0.5 {
			unhealthy += c.failureProbability(now, t)
		}
	}
	if n == 0 {
		return
	}
	weight := float64(TickInterval) / float64(priorWindow)
	c.prior += (unhealthy/float64(n) - c.prior) * weight
	c.prior = min(maxPrior, max(minPrior, c.prior))
}

// pickByProbability chooses a target with a free slot: the least loaded of those in no doubt; else one to be tried; else
// one that is only slow; else, for a request that has waited long, the least doubtful one.
func (c *Cell) pickByProbability(now Time, r *request) (*target, Reason, bool) {
	if r.retryable() {
		c.trials.lastRetryable = now
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
		if c.eligible(now, t, r) {
			c.addCandidate(now, t, &found)
		}
	}
	switch suspect := found.suspect.target; {
	case found.idle.target != nil && !r.onLastAttempt() && c.belowFloor(now):
		return found.idle.target, ReasonFloor, false
	case suspect != nil && c.mayStartTrial(now, r, suspect):
		return suspect, ReasonTrial, false
	case found.trusted.target != nil && r.attempt > 0:
		return found.trusted.target, ReasonRetry, false
	case found.trusted.target != nil:
		return found.trusted.target, ReasonLeastInFlight, false
	case found.slow.target != nil && c.waitedFraction(now, r, slowTargetWaitFraction):
		return found.slow.target, ReasonSaturated, false
	case suspect != nil && c.mayUseSuspect(now, r):
		return suspect, ReasonSaturated, false
	}
	return nil, "", false
}

// candidates are the best targets of each kind.
type candidates struct {
	trusted, slow, suspect candidate
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

// addCandidate sorts a usable target into its kind.
func (c *Cell) addCandidate(now Time, t *target, found *candidates) {
	probability := c.failureProbability(now, t)
	load := float64(t.inFlight) / float64(t.limit)
	if !t.inUse(now) {
		found.idle.offer(t, probability)
	}
	switch {
	case probability >= suspectProbability:
		found.suspect.offer(t, probability)
	case t.state == TargetAvoided:
		found.slow.offer(t, load+t.evidence.late)
	default:
		// Of equally loaded targets the one that answered last is in the least doubt; its connection is warm.
		found.trusted.offer(t, load+c.loadPenalty(now, t)+probability)
	}
}

// eligible says that the target may run the request as far as its state and slots are concerned.
func (c *Cell) eligible(now Time, t *target, r *request) bool {
	inService := t.state == TargetServing || t.state == TargetAvoided && t.reason == ReasonSlow
	sameTarget := r.attempt > 0 && t.id == r.lastTarget
	poisonConflict := r.suspectedPoison && t.poisonSuspectsInFlight > 0
	return inService && now >= t.shedUntil && t.freeSlots() > 0 && !sameTarget && !poisonConflict
}

// mayStartTrial says that the request may test whether a doubtful target has recovered. One test runs at a time, and a
// request that can't be repeated is risked only where none that can comes.
func (c *Cell) mayStartTrial(now Time, r *request, t *target) bool {
	if t.inFlight > 0 || r.attempt > 0 || r.suspectedPoison {
		return false
	}
	earliest := t.estimate.lastFaultAt + Time(earlyTrialFraction*float64(t.estimate.trialAt-t.estimate.lastFaultAt))
	switch {
	case r.retryable():
		return now >= earliest && c.retriesLeft(now) >= 1
	case c.waitedFraction(now, r, slotShortageFraction):
		// Slots are short. A target that returns carries many requests; the test costs half of one.
		return now >= earliest
	}
	return now >= t.estimate.trialAt && now-c.trials.lastRetryable >= Time(retryableWait)
}

// mayUseSuspect says that the request has waited for so long that a doubtful target is better than none.
func (c *Cell) mayUseSuspect(now Time, r *request) bool {
	fraction := suspectWaitFraction
	switch {
	case r.onLastAttempt():
		fraction = suspectWaitLastAttempt
	case r.retryable() && c.retriesLeft(now) >= 1:
		fraction = suspectWaitRetryable
	}
	return c.waitedFraction(now, r, fraction)
}

// waitedFraction says that a request has waited for the given share of the time to its deadline.
func (c *Cell) waitedFraction(now Time, r *request, fraction float64) bool {
	if r.Deadline == 0 {
		return c.waitedLong(now, r)
	}
	return float64(now-r.submitted) >= fraction*float64(r.Deadline-r.submitted)
}
