package pool

import (
	"math"
	"time"
)

const (
	// inUseWindow is how long a target counts as in use after its last attempt began. The use of targets is
	// assessed over 2 s; the difference is for the requests that it takes to reach all targets again.
	inUseWindow = 1600 * time.Millisecond
	// failureWindow is the time over which the fraction of failed requests is averaged. It is shorter than the 2 s of
	// the assessment, to leave time for reaching the floor.
	failureWindow = 700 * time.Millisecond
	// maxFailureFraction is the fraction of failed requests above which the floor applies to the targets in
	// use. A tenth is acceptable to callers.
	maxFailureFraction = 0.085
	// minEnded is how many requests must have ended recently for the fraction of failed ones to be significant.
	minEnded = 5.0
	// overdueFraction is the fraction of the time to its deadline after which a request without a response counts as
	// failed. Most requests that hang would otherwise count only when the span in which they came is over.
	overdueFraction = 0.5
	// belowFloorReportInterval is the minimum time between two reports that the floor applies.
	belowFloorReportInterval = time.Second
)

// failureCounter holds decaying counts of the requests that ended and of those that failed or were refused.
// Requests that were sent to suspect targets because of the floor are left out, since their failures would keep
// the floor applied.
type failureCounter struct {
	ended, failed float64
	at            Time
	// overdue is the expected number of failures among the requests in flight that have not been counted yet.
	overdue float64
	// manyUntil is until when tooMany holds.
	manyUntil Time
}

func (f *failureCounter) decay(now Time) {
	factor := math.Exp(-float64(now-f.at) / float64(failureWindow))
	f.ended, f.failed, f.at = f.ended*factor, f.failed*factor, now
}

func (f *failureCounter) add(now Time, succeeded bool) {
	f.decay(now)
	f.ended++
	if !succeeded {
		f.failed++
	}
}

// Outcomes counts requests that ended recently, with less weight for older ones.
type Outcomes struct {
	Ended, Failed float64
}

// outcomes returns the counts as of now, with the failures that are expected among the requests in flight.
func (f *failureCounter) outcomes(now Time) Outcomes {
	f.decay(now)
	return Outcomes{Ended: f.ended + f.overdue, Failed: f.failed + f.overdue}
}

// tooMany reports whether so many requests fail here and elsewhere, more than the limit as a fraction, that the suspicion
// of targets may be wrong. It holds for inUseWindow, so that each idle target gets a request.
func (f *failureCounter) tooMany(now Time, limit float64, elsewhere Outcomes) bool {
	here := f.outcomes(now)
	ended := here.Ended + elsewhere.Ended
	if ended-f.overdue >= minEnded && here.Failed+elsewhere.Failed > limit*ended {
		f.manyUntil = now + Time(inUseWindow)
	}
	return now < f.manyUntil
}

// RecentOutcomes returns the outcomes of the cell's requests, for the other cells of the pool.
func (c *Cell) RecentOutcomes(now Time) Outcomes { return c.recentFailures.outcomes(now) }

// SetOutcomesElsewhere sets the outcomes of the requests in the other cells of the pool. Operators assess the floor of
// targets in use for the pool: the losses of one small cell alone say little.
func (c *Cell) SetOutcomesElsewhere(o Outcomes) { c.outcomesElsewhere = o }

// countEnded counts the end of a request, unless it has counted as overdue before.
func (c *Cell) countEnded(r *request, succeeded bool) {
	if !r.countedAsEnded {
		r.countedAsEnded = true
		c.recentFailures.add(c.lastCall, succeeded)
	}
}

// CountRefused counts a request of the pool that was refused before it got to the cell, for example because its account had
// used up its quota. Operators assess the floor of targets in use by all requests that aren't served.
func (c *Cell) CountRefused(now Time) {
	c.beginCall(now)
	c.recentFailures.add(now, false)
}

// countOverdue counts the requests that have become overdue as failed, and the others in flight by how likely they are to
// fail.
func (c *Cell) countOverdue(now Time) {
	c.recentFailures.overdue = 0
	for i := range c.requests.len() {
		r := c.requests.at(i)
		switch {
		case r.countedAsEnded, r.forFloor, r.canceled, r.Deadline == 0, r.phase == phaseInFlight && r.respondedAt > 0:
		case c.hasWaited(now, r, overdueFraction):
			c.countEnded(r, false)
		case r.phase == phaseInFlight:
			c.recentFailures.overdue += c.hangProbability(now, r, c.stats.hangFraction)
		}
	}
}

// hangProbability returns the probability that the attempt in flight gets no response, given how long it has lasted and
// the fraction of failures that are of that kind.
func (c *Cell) hangProbability(now Time, r *request, hangFraction float64) float64 {
	age := r.comparableTime(asDuration(now - r.started))
	if r.respondedAt > 0 || !c.tracksEpisodes() || !c.comparable(r) || Time(age) < c.stats.ordinary.minLateAge {
		return 0
	}
	p := c.failureProbability(now, r.target) * hangFraction
	odds := p / (1 - p) * math.Exp(max(0, c.stats.ordinary.late(binOf(age))))
	return odds / (1 + odds)
}

// countInUse counts the targets that are in use.
func (c *Cell) countInUse(now Time) {
	c.targetsInUse = 0
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && t.inUse(now) {
			c.targetsInUse++
		}
	}
}

// inUse reports whether an attempt at the target began recently. Requests that occupy slots for long don't
// count: such a target gets no new requests.
func (t *target) inUse(now Time) bool {
	return t.lastAttemptAt > 0 && now-t.lastAttemptAt <= Time(inUseWindow)
}

// belowFloor reports whether many requests fail while fewer targets are in use than the floor asks for. If most
// targets look unhealthy, a common cause is likelier than a fault of each, and the few trusted targets can't
// carry the whole load.
func (c *Cell) belowFloor(now Time) bool {
	floor := c.inUseFloor()
	// The farther below the floor, the longer it takes to reach it, and the fewer failures suffice.
	limit := maxFailureFraction * float64(c.targetsInUse) / float64(max(1, floor))
	return c.targetsInUse < floor && !c.injectedFaults.ignoreFloor && c.recentFailures.tooMany(now, limit, c.outcomesElsewhere)
}

// inUseFloor returns how many targets are to be in use while many requests fail.
func (c *Cell) inUseFloor() int {
	// The floor is assessed on healthy targets only, and fewer of them may be in use than of all targets.
	// Adding half of the targets above the floor compensates for that.
	return c.Floor + (c.listedTargets-c.Floor)/2
}

// reportBelowFloor emits an event while the floor applies, at most one in belowFloorReportInterval.
func (c *Cell) reportBelowFloor(now Time) {
	if !c.tracksEpisodes() || !c.belowFloor(now) || now-c.belowFloorReportedAt < Time(belowFloorReportInterval) {
		return
	}
	c.belowFloorReportedAt = now
	usable := 0
	for i := range c.targets.len() {
		if t := c.targets.at(i); !t.inUse(now) && c.eligible(now, t, &request{}) {
			usable++
		}
	}
	c.emit(Event{
		At: now, Kind: EventBelowFloor, Reason: ReasonFloor,
		Evidence: float64(c.targetsInUse), Threshold: float64(c.inUseFloor()), Samples: usable,
	})
}
