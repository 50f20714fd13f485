package pool

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// TickInterval is the time between ticks.
const TickInterval = 50 * time.Millisecond

// Limits of the observer's own lateness.
const (
	// maxTickGap is the gap between ticks after which the cell no longer trusts its standing.
	maxTickGap = 500 * time.Millisecond
	// doubtTime is how long the cell ejects nothing after a late tick; peers need this time to report
	// how they see this entry.
	doubtTime = 2 * time.Second
)

// Cell decides for the targets of one cell. Its exported fields are set before the first call; it is
// not safe for concurrent use, and its methods must be called with times that do not decrease. A cell
// places no work until SetOwnership makes it an owner.
type Cell struct {
	Key    fleet.CellKey
	Policy table.Policy
	// SlotsPerTarget is how many requests a target runs at a time; at least 1.
	SlotsPerTarget int
	// Floor is the least number of targets that are not ejected; Update replaces it.
	Floor int
	// Random breaks ties and spreads retries and trials; not nil.
	Random *rand.Rand

	targets  rows[table.TargetID, target]
	requests rows[RequestID, request]
	delayed  []*request
	queue    queue
	budget   retryBudget
	poison   poisonTable
	history  history
	doubt    doubt
	trials   trialBudget

	// given is the standing that SetOwnership reported; standing is the one in use.
	given    fleet.Ownership
	standing fleet.Ownership
	// shared says that another entry is likely to use the same targets.
	shared   bool
	lastTick Time
	ticked   bool
	// lastCall is the time that the last call of a method gave.
	lastCall Time

	// badShare is the share of targets assumed to be in a bad spell at any time.
	badShare float64
	// resets are the latest connections lost under running requests.
	resets []reset
	// spellLength is the usual length of spells as observed; 0 before the first.
	spellLength time.Duration

	// inUse counts the targets that got work lately, as of the last tick and the attempts since.
	inUse  int
	losses losses

	// Counts over targets, kept by refreshLimits.
	servingSlots   int
	servingTargets int
	avoidedTargets int
	listedTargets  int
	// mostSuspected says that most targets had a fault lately, so that suspicion does not tell them apart.
	mostSuspected bool

	decisions, decisionsSpare []Decision
	events, eventsSpare       []Event

	faults faults
}

// faults are rules that tests switch off to show that their checks notice. Never set in programs.
type faults struct {
	ignoreFloor         bool
	ejectContested      bool
	fullSlotsWhenShared bool
	oneSlotTooMany      bool
	rerunNonIdempotent  bool
	forgetCancelled     bool
	workForLeaving      bool
	trustAfterGap       bool
}

// Submit queues a request. Its ID must not have been used before.
func (c *Cell) Submit(now Time, r Request) {
	c.begin(now)
	row, fresh := c.requests.add(r.ID)
	if !fresh {
		// The first request of this id keeps its one final decision.
		return
	}
	row.Request = r
	row.submitted = now
	c.payIn(now)
	c.trials.requests++
	switch {
	case c.standing == fleet.NotOwner:
		c.refuse(row, ReasonNotOwner, 0)
		return
	case c.poison.refused(now, r.Fingerprint):
		c.refuse(row, ReasonPoison, c.poison.retryAfter(now, r.Fingerprint))
		return
	case r.Deadline > 0 && now >= r.Deadline:
		c.refuse(row, ReasonDeadline, 0)
		return
	}
	row.suspect = c.poison.suspected(now, r.Fingerprint)
	c.enqueue(now, row)
	c.pump(now)
}

// Cancel withdraws a request: its caller is gone or its deadline has passed. No decision follows. If an
// attempt is in flight, its slot stays taken until Finish.
func (c *Cell) Cancel(now Time, id RequestID) {
	c.begin(now)
	r := c.requests.get(id)
	if r == nil {
		return
	}
	switch r.phase {
	case phaseInFlight:
		r.cancelled = !c.faults.forgetCancelled
		return
	case phaseQueued:
		c.queue.lanes[r.class].remove(&r.node)
	case phaseDelayed:
		c.dropDelayed(r)
	}
	c.requests.remove(id)
}

// Tick advances the systems; it is to be called every Interval.
func (c *Cell) Tick(now Time) {
	c.begin(now)
	c.lastTick = now
	c.settleStanding(now)
	c.refreshLimits(now)
	c.refreshShare(now)
	c.countUse(now)
	c.observe(now)
	c.judge(now)
	c.refreshLimits(now)
	c.resubmitDelayed(now)
	c.expire(now)
	c.poison.expire(now)
	c.pump(now)
}

// Decisions returns the decisions since the last call. The slice is valid until the next call.
func (c *Cell) Decisions() []Decision {
	out := c.decisions
	c.decisions, c.decisionsSpare = c.decisionsSpare[:0], out
	return out
}

// Events returns the placement events since the last call. The slice is valid until the next call.
func (c *Cell) Events() []Event {
	out := c.events
	c.events, c.eventsSpare = c.eventsSpare[:0], out
	return out
}

// begin notices a late tick before anything is decided: a process that was paused resumes with a
// standing that may have passed to another entry in the meantime.
func (c *Cell) begin(now Time) {
	c.lastCall = now
	c.poison.crashOnly = c.spells()
	if !c.ticked {
		c.ticked = true
		c.budget.ownFrom = now
		c.history.lastTick = now
		c.history.configure(c.Policy.SlowFactor)
		c.lastTick = now
		c.refreshLimits(now)
		return
	}
	if now-c.lastTick <= Time(maxTickGap) {
		return
	}
	c.lastTick = now
	if c.faults.trustAfterGap {
		return
	}
	c.doubt.late(now)
	c.event(Event{At: now, Kind: EventObserverPaused, Reason: ReasonLateTick})
	c.discardEvidence(now)
	c.settleStanding(now)
	c.refreshLimits(now)
}

// start begins an attempt at a target with a free slot.
func (c *Cell) start(now Time, r *request, t *target, reason Reason, trial bool) {
	r.phase = phaseInFlight
	r.target = t
	r.started = now
	r.attempt++
	r.trial = trial
	r.forFloor = reason == ReasonFloor
	r.cold = t.cold
	if !t.inUse(now) {
		c.inUse++
	}
	t.usedAt = now
	t.noteAsked(now, r)
	t.inFlight++
	t.attempts = append(t.attempts, r)
	if r.suspect {
		t.suspectsInFlight++
	}
	if trial {
		c.beginTrial(now, t)
	}
	d := Decision{Kind: DecisionRun, Request: r.ID, Target: t.id, Attempt: r.attempt, Reason: reason, Trial: trial}
	if c.spells() {
		d.FailureProbability = c.badness(now, t)
	}
	c.decisions = append(c.decisions, d)
}

// refuse ends a request that no target received.
func (c *Cell) refuse(r *request, reason Reason, retryAfter time.Duration) {
	if reason != ReasonPoison && reason != ReasonNotOwner {
		c.losses.add(c.lastCall, false)
	}
	c.decisions = append(c.decisions, Decision{
		Kind: DecisionRefuse, Request: r.ID, Attempt: r.attempt, Reason: reason, RetryAfter: retryAfter,
	})
	c.requests.remove(r.ID)
}

// final ends a request with the outcome of its last attempt.
func (c *Cell) final(r *request, reason Reason) {
	if reason != ReasonPoison && r.lastOutcome != OutcomeCancelled && !r.forFloor {
		c.losses.add(c.lastCall, reason == ReasonAnswered)
	}
	c.decisions = append(c.decisions, Decision{
		Kind: DecisionFinal, Request: r.ID, Target: r.lastTarget, Attempt: r.attempt, Reason: reason,
	})
	c.requests.remove(r.ID)
}

// settleUnrun ends a request that waits: as not run if no attempt may have run, else with the outcome
// of the last attempt.
func (c *Cell) settleUnrun(r *request, reason Reason, retryAfter time.Duration) {
	if r.ran {
		c.final(r, reason)
		return
	}
	c.refuse(r, reason, retryAfter)
}

func (c *Cell) event(e Event) { c.events = append(c.events, e) }
