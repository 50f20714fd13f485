package pool

import (
	"math"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Likelihood ratios of outcomes: how much likelier an outcome is at a target in a failure episode than at a
// healthy one. In an episode most requests fail. A healthy target hardly ever loses a connection while a
// request runs, but responds to about one request in a hundred with an error of its own.
const (
	likelihoodRatioConnectionLost = 400
	likelihoodRatioConnectFailed  = 20
	likelihoodRatioTimeout        = 20
	likelihoodRatioFailedResponse = 8
	likelihoodRatioSuccess        = 0.2
)

const (
	// suspectProbability is the failure probability from which a target is suspect. Below it the target is
	// trusted and gets requests normally. One failed response of a target that just succeeded stays below it, a
	// lost connection does not.
	suspectProbability = 0.15
	// nextTrialFraction is the minimum of the usual wait between a failed trial and the next one, as a fraction of
	// the expected length of the episode.
	nextTrialFraction = 0.4
	// earlyTrialFraction is the fraction of the usual wait after which a retryable request may serve as a
	// trial, since its failure costs only time. Other requests may do so at that time while slots are short.
	earlyTrialFraction = 0.5
	// slotShortageFraction is the fraction of the time to its deadline that a request has waited when slots are
	// short.
	slotShortageFraction = 0.1
	// retryableWait is how long no retryable request must have arrived before other requests serve as trials.
	retryableWait = time.Second
	// episodeSmoothing is the weight of one episode in the mean length of a pool's episodes.
	episodeSmoothing = 0.1
	// maxEpisodeFactor bounds the mean length to between the pool's setting divided and multiplied by it.
	maxEpisodeFactor = 2.0
	// minProbability is the lower bound, so that after a long series of successes the next fault still counts.
	minProbability = 0.01
	// maxProbability is the upper bound. It limits how long a target stays suspect after a long series of
	// faults.
	maxProbability = 0.99
	// minPrior and maxPrior bound the assumed fraction of targets that are in an episode at any time.
	minPrior = 0.02
	maxPrior = 0.35
	// priorWindow is the time over which that fraction is averaged.
	priorWindow = 20 * time.Second
	// A request goes to a slow target, or to the least suspect one, after it has waited for these fractions of
	// the time to its deadline. Slow targets are used early because capacity matters more than speed; a
	// retryable request goes to a suspect target sooner than others.
	slowTargetWaitFraction = 0.03
	suspectWaitFraction    = 0.6
	suspectWaitRetryable   = 0.3
	// suspectWaitLastAttempt applies to the last attempt of a request. A request that has lost an attempt to a
	// suspect target waits for a trusted one, and is the first to get a slot there, until a response would
	// hardly come in time.
	suspectWaitLastAttempt = 0.85
)

// failureEstimate is the posterior probability that a target is in a failure episode, in which it fails most
// requests. Between outcomes the probability decays towards the prior, because episodes end by themselves.
type failureEstimate struct {
	probability float64
	updatedAt   Time
	// lastFaultAt is the time of the last outcome that was evidence against the target.
	lastFaultAt Time
	// episodeStart is the time of the first fault of the current episode.
	episodeStart Time
	// trialAt is when a request that is not retryable may serve as a trial of the target.
	trialAt Time
}

// tracksEpisodes reports whether failure episodes of the pool's targets are tracked, so that targets are suspected
// by their failure probability.
func (c *Cell) tracksEpisodes() bool { return c.Policy.SpellMs > 0 }

// episodeLength returns the mean length of a failure episode in the pool.
func (c *Cell) episodeLength() time.Duration {
	if c.observedEpisodeLength == 0 {
		return c.Policy.SpellMs.Duration()
	}
	return c.observedEpisodeLength
}

// observeEpisode adds the length of an episode that has ended to the mean.
func (c *Cell) observeEpisode(length time.Duration) {
	configured := c.Policy.SpellMs.Duration()
	mean := c.episodeLength() + time.Duration(episodeSmoothing*float64(length-c.episodeLength()))
	c.observedEpisodeLength = min(max(mean, time.Duration(float64(configured)/maxEpisodeFactor)),
		time.Duration(float64(configured)*maxEpisodeFactor))
}

// failureProbability returns the probability at now that the target is in a failure episode.
func (c *Cell) failureProbability(now Time, t *target) float64 {
	e := &t.estimate
	if e.updatedAt == 0 {
		// A target that was never used is trusted.
		return min(c.prior, suspectProbability/2)
	}
	decay := math.Exp(-float64(now-e.updatedAt) / float64(c.episodeLength()))
	return c.prior + (e.probability-c.prior)*decay
}

// applyLikelihoodRatio updates the failure probability by an outcome. A likelihood ratio above 1 is evidence
// against the target.
func (c *Cell) applyLikelihoodRatio(now Time, t *target, likelihoodRatio float64) {
	p := c.failureProbability(now, t)
	odds := p / (1 - p) * likelihoodRatio
	t.estimate.probability = min(maxProbability, max(minProbability, odds/(1+odds)))
	t.estimate.updatedAt = now
	if likelihoodRatio > 1 {
		t.estimate.lastFaultAt = now
	}
}

// updateEstimate updates the failure probability by the outcome of an attempt.
func (c *Cell) updateEstimate(now Time, t *target, r *request, o *Outcome) {
	if c.sharedReset(now, t, o) {
		return
	}
	wasTrusted := c.failureProbability(now, t) < suspectProbability
	switch o.Kind {
	case OutcomeSuccess:
		if r.started < t.estimate.lastFaultAt {
			// The request started before the last fault, so it does not show that the target has recovered.
			return
		}
		c.applyLikelihoodRatio(now, t, likelihoodRatioSuccess)
	case OutcomeFailed, OutcomeTruncated:
		c.applyLikelihoodRatio(now, t, likelihoodRatioFailedResponse)
	case OutcomeTimeout, OutcomeCanceled:
		ratio := c.noResponseRatio(r, o)
		if ratio <= 1 {
			return
		}
		c.stats.observeLoss(true)
		c.applyLikelihoodRatio(now, t, ratio)
	case OutcomeConnectionLost, OutcomeConnectionSilent:
		c.stats.observeLoss(false)
		c.applyLikelihoodRatio(now, t, likelihoodRatioConnectionLost)
	case OutcomeConnectFailed:
		c.applyLikelihoodRatio(now, t, likelihoodRatioConnectFailed)
	default:
		return
	}
	c.trackEpisode(now, t, wasTrusted)
}

// noResponseRatio returns the likelihood ratio of a request that ended without a response after o.ServiceTime. It is 1 at
// most if responses of healthy targets often take longer: a request that started shortly before its deadline, or
// whose caller left early, says nothing about its target.
func (c *Cell) noResponseRatio(r *request, o *Outcome) float64 {
	switch {
	case o.Kind == OutcomeCanceled && o.ResponseStarted:
		return 1
	case c.comparable(r):
		return min(likelihoodRatioTimeout, math.Exp(c.stats.ordinary.late(binOf(r.comparableTime(o.ServiceTime)))))
	case o.Kind == OutcomeTimeout:
		return likelihoodRatioTimeout
	}
	return 1
}

// trackEpisode records when an episode of the target begins and when the next trial is due, and emits events.
// wasTrusted says that the target was trusted before the last outcome.
func (c *Cell) trackEpisode(now Time, t *target, wasTrusted bool) {
	e := &t.estimate
	probability := c.failureProbability(now, t)
	if probability < suspectProbability {
		if !wasTrusted {
			// The episode ended at an unknown time between the last fault and now; the middle is assumed.
			c.observeEpisode(time.Duration((e.lastFaultAt+now)/2 - e.episodeStart))
			c.emit(Event{
				At: now, Kind: EventRestored, Target: t.id, Reason: ReasonRecovered,
				Evidence: probability, Threshold: suspectProbability,
			})
		}
		return
	}
	if wasTrusted {
		e.episodeStart = now
		t.recurrence.add(now)
		c.emit(Event{
			At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonFailures,
			Evidence: probability, Threshold: suspectProbability,
		})
	}
	// Weak evidence makes a target suspect for a shorter time.
	expected := Time(float64(c.episodeLength()) * probability)
	e.trialAt = max(e.episodeStart+expected, now+Time(nextTrialFraction*float64(expected)))
}

// suspectTargets returns the targets that are probably in a failure episode, for the next owner of the cell.
func (c *Cell) suspectTargets(now Time) []table.TargetID {
	var ids []table.TargetID
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && c.failureProbability(now, t) >= suspectProbability {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// importSuspect makes a target suspect because the previous owner handed it over as such. About half of its
// episode is assumed to have passed.
func (c *Cell) importSuspect(now Time, t *target) {
	if c.failureProbability(now, t) >= suspectProbability {
		return
	}
	halfEpisode := Time(c.episodeLength() / 2)
	t.estimate = failureEstimate{
		probability: maxProbability, updatedAt: now, lastFaultAt: now,
		episodeStart: now - halfEpisode, trialAt: now + halfEpisode,
	}
	c.emit(Event{
		At: now, Kind: EventAvoided, Target: t.id, Reason: ReasonHandover,
		Evidence: maxProbability, Threshold: suspectProbability,
	})
}

// updatePrior averages the fraction of targets that are in a failure episode. Targets whose failure probability
// was 0.5 or less after their last outcome count as healthy; unused targets are left out.
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

// pickByProbability chooses a target with a free slot, in this order: the least suspect of the idle targets if
// too few are in use, a suspect target that is due for a trial, the least loaded trusted target, and for a
// request that has waited for some time a slow target or the least suspect one.
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
			c.addCandidate(now, t, r, &found)
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
		return found.trusted.target, c.ordinaryReason(), false
	case found.slow.target != nil && c.hasWaited(now, r, slowTargetWaitFraction):
		return found.slow.target, ReasonSaturated, false
	case suspect != nil && c.mayUseSuspect(now, r):
		return suspect, ReasonSaturated, false
	}
	return nil, "", false
}

// candidates holds the best target of each kind.
type candidates struct {
	trusted, slow, suspect candidate
	// idle is the target with the lowest failure probability among those that are not in use.
	idle candidate
}

// candidate is a target with its score; a lower score is better.
type candidate struct {
	target *target
	score  float64
}

func (c *candidate) offer(t *target, score float64) {
	if c.target == nil || score < c.score {
		c.target, c.score = t, score
	}
}

// addCandidate offers an eligible target as the candidate of its kind.
func (c *Cell) addCandidate(now Time, t *target, r *request, found *candidates) {
	probability := c.failureProbability(now, t)
	load := c.load(t, r)
	if !t.inUse(now) {
		found.idle.offer(t, probability)
	}
	switch {
	case probability >= suspectProbability:
		found.suspect.offer(t, probability)
	case t.state == TargetAvoided:
		found.slow.offer(t, load+t.evidence.late)
	default:
		// Among equally loaded targets the one that responded last has the lowest failure probability, and its
		// connection is warm.
		found.trusted.offer(t, load+c.loadPenalty(now, t)+probability+c.recurrencePenalty(now, t))
	}
}

// eligible reports whether the state and the slots of the target allow it to run the request.
func (c *Cell) eligible(now Time, t *target, r *request) bool {
	inService := t.state == TargetServing || t.state == TargetAvoided && t.reason == ReasonSlow
	sameTarget := r.attempt > 0 && t.id == r.lastTarget
	poisonConflict := r.suspectedPoison && t.poisonSuspectsInFlight > 0
	return inService && now >= t.shedUntil && t.freeSlots() > 0 && !sameTarget && !poisonConflict && c.withinRate(now, t)
}

// mayStartTrial reports whether the request may serve as a trial of a suspect target. One trial runs at a time at
// a target, and only while it is idle. A request that is not retryable is used only where no retryable ones
// arrive and slots are not plentiful, or while they are short.
func (c *Cell) mayStartTrial(now Time, r *request, t *target) bool {
	if t.inFlight > 0 || r.attempt > 0 || r.suspectedPoison {
		return false
	}
	earliest := t.estimate.lastFaultAt + Time(earlyTrialFraction*float64(t.estimate.trialAt-t.estimate.lastFaultAt))
	switch {
	case r.retryable():
		return now >= earliest && c.retriesLeft(now) >= 1
	case c.hasWaited(now, r, slotShortageFraction):
		// Slots are short. A target that recovers serves many requests; the trial costs half a request on
		// average.
		return now >= earliest
	}
	return now >= t.estimate.trialAt && now-c.trials.lastRetryable >= Time(retryableWait) && !c.slotsPlentiful(now)
}

// mayUseSuspect reports whether the request has waited so long that a suspect target is better than none.
func (c *Cell) mayUseSuspect(now Time, r *request) bool {
	fraction := suspectWaitFraction
	switch {
	case r.onLastAttempt():
		fraction = suspectWaitLastAttempt
	case r.retryable() && c.retriesLeft(now) >= 1:
		fraction = suspectWaitRetryable
	}
	return c.hasWaited(now, r, fraction)
}

// hasWaited reports whether the request has waited for the given fraction of the time to its deadline.
func (c *Cell) hasWaited(now Time, r *request, fraction float64) bool {
	if r.Deadline == 0 {
		return c.waitedLong(now, r)
	}
	return float64(now-r.submitted) >= fraction*float64(r.Deadline-r.submitted)
}
