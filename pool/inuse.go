package pool

import (
	"math"
	"time"
)

const (
	// inUseWindow is how long a target counts as in use after its last attempt began. The use of targets is
	// assessed over 2 s; the difference is for the requests that it takes to reach all targets again.
	inUseWindow = 1600 * time.Millisecond
	// failureWindow is the time over which the fraction of failed requests is averaged. It too is assessed over
	// 2 s.
	failureWindow = time.Second
	// maxFailureFraction is the fraction of failed requests above which the floor applies to the targets in
	// use. A tenth is acceptable to callers.
	maxFailureFraction = 0.085
	// minEnded is how many requests must have ended recently for the fraction of failed ones to be significant.
	minEnded = 5.0
	// belowFloorReportInterval is the minimum time between two reports that the floor applies.
	belowFloorReportInterval = time.Second
)

// failureCounter holds decaying counts of the requests that ended and of those that failed or were refused.
// Requests that were sent to suspect targets because of the floor are left out, since their failures would keep
// the floor applied.
type failureCounter struct {
	ended, failed float64
	at            Time
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

// tooMany reports whether so many requests fail that the suspicion of targets may be wrong.
func (f *failureCounter) tooMany(now Time) bool {
	f.decay(now)
	return f.ended >= minEnded && f.failed > maxFailureFraction*f.ended
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
	return c.targetsInUse < c.inUseFloor() && !c.injectedFaults.ignoreFloor && c.recentFailures.tooMany(now)
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
