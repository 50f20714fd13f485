package pool

import (
	"math"
	"time"
)

const (
	// inUseWindow is how long a target counts as in use after its last attempt began. Users judge the floor over 2 s;
	// the rest is for the requests that it takes to reach all targets again.
	inUseWindow = 1600 * time.Millisecond
	// failureWindow is the time over which the share of lost requests is averaged; users judge it over 2 s too.
	failureWindow = time.Second
	// maxFailureFraction is the share of lost requests above which the floor of use holds; users allow a tenth.
	maxFailureFraction = 0.085
	// minEnded is how many requests must have ended lately for their share of losses to say something.
	minEnded = 5.0
)

// failureCounter is the decaying count of requests that ended, and of those that were not answered. Requests that were sent to
// doubtful targets for the sake of the floor are left out, since their losses would keep it in force.
type failureCounter struct {
	ended, failed float64
	at            Time
}

func (l *failureCounter) decay(now Time) {
	factor := math.Exp(-float64(now-l.at) / float64(failureWindow))
	l.ended, l.failed, l.at = l.ended*factor, l.failed*factor, now
}

func (l *failureCounter) add(now Time, answered bool) {
	l.decay(now)
	l.ended++
	if !answered {
		l.failed++
	}
}

// tooMany says that so many requests are lost that the doubt about targets may be wrong.
func (l *failureCounter) tooMany(now Time) bool {
	l.decay(now)
	return l.ended >= minEnded && l.failed > maxFailureFraction*l.ended
}

// countInUse counts the targets that got work lately.
func (c *Cell) countInUse(now Time) {
	c.targetsInUse = 0
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && t.inUse(now) {
			c.targetsInUse++
		}
	}
}

// targetsInUse says that an attempt began lately. A target whose slots are held for long gets no work either.
func (t *target) inUse(now Time) bool {
	return t.lastAttemptAt > 0 && now-t.lastAttemptAt <= Time(inUseWindow)
}

// belowFloor says that many requests are lost while fewer targets get work than the floor asks for. Where most
// targets look bad, a fault that they share is likelier than faults of their own, and the few that are left can't
// bear all of the load.
func (c *Cell) belowFloor(now Time) bool {
	// Users count sound targets only, of which fewer than of all may be in use; half of the rest makes up for that.
	floor := c.Floor + (c.listedTargets-c.Floor)/2
	return c.targetsInUse < floor && !c.injectedFaults.ignoreFloor && c.recentFailures.tooMany(now)
}
