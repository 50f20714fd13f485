package pool

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// TickInterval is the time between calls of Cell.Tick.
const TickInterval = 50 * time.Millisecond

// Limits for delayed ticks of this process.
const (
	// maxTickGap is the gap between ticks after which the cell no longer trusts its ownership.
	maxTickGap = 500 * time.Millisecond
	// delayedTickSuspension is how long the cell ejects nothing after a delayed tick. Peers need this time to
	// report how they see this entry.
	delayedTickSuspension = 2 * time.Second
)

// Cell decides for the targets of one cell. Its exported fields are set before the first call. It is not safe
// for concurrent use, and its methods must be called with times that do not decrease. A cell starts no attempts
// until SetOwnership makes it an owner.
type Cell struct {
	Key    fleet.CellKey
	Policy table.Policy
	// SlotsPerTarget is how many requests a target runs at a time; at least 1.
	SlotsPerTarget int
	// Floor is the minimum number of targets that are not ejected. Update replaces it.
	Floor int
	// Random breaks ties and spreads retries and trials; not nil.
	Random *rand.Rand
	// Announcements is shared with the other cells of the entry; nil means that the cell has its own.
	Announcements *Announcements

	targets    rows[table.TargetID, target]
	requests   rows[RequestID, request]
	delayed    []*request
	queue      queue
	budget     retryBudget
	poison     poisonTable
	stats      cellStats
	costs      costs
	suspension suspension
	trials     trialBudget

	// reportedOwnership is what SetOwnership was called with; ownership is the effective one.
	reportedOwnership fleet.Ownership
	ownership         fleet.Ownership
	// shared says that another entry is likely to use the same targets.
	shared bool
	// partitioned says that another entry may own the cell unheard.
	partitioned bool
	lastTick    Time
	initialized bool
	// lastCall is the time of the latest method call.
	lastCall Time
	// announcementsVersion is the version of Announcements that was last applied.
	announcementsVersion uint64

	// prior is the assumed probability that a target of this cell is in a failure episode; 0 before the first
	// tick.
	prior float64
	// resets are the most recent connections that were lost while a request ran on them.
	resets []reset
	// observedEpisodeLength is the mean length of the observed failure episodes; 0 before the first.
	observedEpisodeLength time.Duration

	// targetsInUse counts the targets at which an attempt began recently, as of the last tick and the attempts
	// since.
	targetsInUse      int
	recentFailures    failureCounter
	outcomesElsewhere Outcomes
	// belowFloorReportedAt is when EventBelowFloor was last emitted.
	belowFloorReportedAt Time

	// Counts over the targets, updated by refreshLimits, and listedTargets by countListed. servingSlots counts the
	// slots that ordinary requests may use, without those of targets that shed or are suspect and those that rate limits
	// keep idle.
	servingSlots   float64
	servingTargets int
	avoidedTargets int
	listedTargets  int
	// mostHaveFaults says that most targets had a recent fault, so that fault levels don't tell targets apart.
	mostHaveFaults bool

	decisions, spareDecisions []Decision
	events, spareEvents       []Event

	injectedFaults injectedFaults
}

// injectedFaults disables rules, so that tests can show that their checks detect it. Programs never set it.
type injectedFaults struct {
	ignoreFloor         bool
	ejectContested      bool
	fullSlotsWhenShared bool
	oneSlotTooMany      bool
	rerunNonIdempotent  bool
	forgetCancelled     bool
	workForLeaving      bool
	forgetAnnouncements bool
	trustAfterGap       bool
	neverAbandon        bool
}

// Submit queues a request. Its ID must not have been used before.
func (c *Cell) Submit(now Time, r Request) {
	c.beginCall(now)
	row, added := c.requests.add(r.ID)
	if !added {
		// The first request with this ID still gets its one final decision.
		return
	}
	row.Request = r
	row.submitted = now
	c.refillRetries(now, 1)
	c.trials.requests++
	switch {
	case c.ownership == fleet.NotOwner:
		c.refuse(row, ReasonNotOwner, 0)
		return
	case c.poison.refused(now, r.Fingerprint):
		c.refuse(row, ReasonPoison, c.poison.retryAfter(now, r.Fingerprint))
		return
	case r.Deadline > 0 && now >= r.Deadline:
		c.refuse(row, ReasonDeadline, 0)
		return
	}
	row.suspectedPoison = c.poison.suspected(now, r.Fingerprint)
	c.enqueue(now, row)
	c.dispatch(now)
}

// Cancel withdraws a request whose caller is gone or whose deadline has passed. No decision follows. If an
// attempt is in flight, its slot stays occupied until Finish.
func (c *Cell) Cancel(now Time, id RequestID) {
	c.beginCall(now)
	r := c.requests.get(id)
	if r == nil {
		return
	}
	switch r.phase {
	case phaseInFlight:
		r.canceled = !c.injectedFaults.forgetCancelled
		return
	case phaseQueued:
		c.queue.remove(r)
	case phaseDelayed:
		c.removeDelayed(r)
	}
	c.removeRequest(r)
}

// removeRequest forgets a request that needs no further decision.
func (c *Cell) removeRequest(r *request) {
	c.releaseRetry(r)
	c.requests.remove(r.ID)
}

// Tick runs the periodic work. It is to be called every TickInterval.
func (c *Cell) Tick(now Time) {
	c.beginCall(now)
	c.lastTick = now
	c.updateOwnership(now)
	c.applyAnnouncements(now)
	c.refreshLimits(now)
	c.updatePrior(now)
	c.countInUse(now)
	c.countOverdue(now)
	c.reportBelowFloor(now)
	c.updateEvidence(now)
	c.updateWork(now)
	c.evaluateTargets(now)
	c.refreshLimits(now)
	c.requeueDelayed(now)
	c.observeWaits(now)
	c.expire(now)
	c.poison.expire(now)
	c.dispatch(now)
	c.abandonHanging(now)
}

// Decisions returns the decisions since the last call. The slice is valid until the next call.
func (c *Cell) Decisions() []Decision {
	out := c.decisions
	c.decisions, c.spareDecisions = c.spareDecisions[:0], out
	return out
}

// Events returns the events since the last call. The slice is valid until the next call.
func (c *Cell) Events() []Event {
	out := c.events
	c.events, c.spareEvents = c.spareEvents[:0], out
	return out
}

// beginCall detects a delayed tick before anything is decided. A process that was suspended resumes with an
// ownership that may have passed to another entry in the meantime.
func (c *Cell) beginCall(now Time) {
	c.lastCall = now
	c.poison.requireCrash = c.tracksEpisodes()
	if !c.initialized {
		c.initialized = true
		if c.Announcements == nil {
			c.Announcements = &Announcements{}
		}
		c.stats.lastTick = now
		c.stats.configure(c.Policy.SlowFactor)
		c.lastTick = now
		c.refreshLimits(now)
		return
	}
	if now-c.lastTick <= Time(maxTickGap) {
		return
	}
	c.lastTick = now
	if c.injectedFaults.trustAfterGap {
		return
	}
	c.suspension.tickDelayed(now)
	c.forgetWaits(now)
	c.emit(Event{At: now, Kind: EventObserverPaused, Reason: ReasonDelayedTick})
	c.discardEvidence(now)
	c.updateOwnership(now)
	c.refreshLimits(now)
}

// startAttempt begins an attempt at a target with a free slot.
func (c *Cell) startAttempt(now Time, r *request, t *target, reason Reason, trial bool) {
	r.phase = phaseInFlight
	r.target = t
	r.targetStarted = t.started
	r.started, r.respondedAt = now, 0
	r.attempt++
	c.spendRetry(now, r)
	r.trial = trial
	r.abandoned = false
	r.forFloor = reason == ReasonFloor
	r.cold = t.cold
	if !t.inUse(now) {
		c.targetsInUse++
	}
	expectedCost, targetWork := c.startWork(now, t, r)
	t.lastAttemptAt = now
	t.recordAttempt(now, r)
	c.takeRate(now, t)
	t.inFlight++
	t.attempts = append(t.attempts, r)
	if r.suspectedPoison {
		t.poisonSuspectsInFlight++
	}
	if trial {
		c.beginTrial(now, t)
	}
	d := Decision{Kind: DecisionRun, Request: r.ID, Target: t.id, Attempt: r.attempt, Reason: reason, Trial: trial}
	d.ExpectedCost, d.TargetWork = expectedCost, targetWork
	if c.tracksEpisodes() {
		d.FailureProbability = c.failureProbability(now, t)
	}
	if r.attempt > 1 {
		d.RetriesLeft = c.retriesLeft(now)
		d.RetryWait = time.Duration(now - r.retryDecidedAt)
	}
	c.decisions = append(c.decisions, d)
}

// refuse ends a request that no target ran.
func (c *Cell) refuse(r *request, reason Reason, retryAfter time.Duration) {
	if reason != ReasonPoison && reason != ReasonNotOwner {
		c.countEnded(r, false)
	}
	c.decisions = append(c.decisions, Decision{
		Kind: DecisionRefuse, Request: r.ID, Attempt: r.attempt, Reason: reason, RetryAfter: retryAfter,
		Queue: c.queueState(c.lastCall, r),
	})
	c.removeRequest(r)
}

// endWithOutcome ends a request with the outcome of its last attempt.
func (c *Cell) endWithOutcome(r *request, reason Reason) {
	if reason != ReasonPoison && r.lastOutcome != OutcomeCanceled && !r.forFloor {
		c.countEnded(r, reason == ReasonAnswered)
	}
	c.decisions = append(c.decisions, Decision{
		Kind: DecisionFinal, Request: r.ID, Target: r.lastTarget, Attempt: r.attempt, Reason: reason,
	})
	c.removeRequest(r)
}

// endWaiting ends a request that waits for an attempt: with the outcome of its last attempt if one may have run
// the request, else by a refusal as not run.
func (c *Cell) endWaiting(r *request, reason Reason, retryAfter time.Duration) {
	if r.mayHaveRun {
		c.endWithOutcome(r, reason)
		return
	}
	c.refuse(r, reason, retryAfter)
}

func (c *Cell) emit(e Event) { c.events = append(c.events, e) }
