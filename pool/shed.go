package pool

import (
	"time"
)

// Times for which a target gets no requests after it shed one or refused a misdirected one.
const (
	// defaultShedPause applies if the target gives no Retry-After delay.
	defaultShedPause = 100 * time.Millisecond
	// misdirectedPause is how long a target whose address belongs to another one gets no requests. The tables
	// follow such a change within seconds.
	misdirectedPause = time.Second
)

// pauseUntil stops requests to a target until a time. Shedding is not evidence against the target.
func (c *Cell) pauseUntil(now Time, t *target, until Time) {
	if until <= t.shedUntil {
		return
	}
	t.shedUntil = until
	c.emit(Event{At: now, Kind: EventShed, Target: t.id, Reason: ReasonShed, Threshold: time.Duration(until - now).Seconds()})
	c.refreshLimits(now)
}

// nextPauseEnd returns when the first target ends its pause, or 0 if one that is not leaving has none now, or if there
// are no targets.
func (c *Cell) nextPauseEnd(now Time) Time {
	first := Time(0)
	for i := range c.targets.len() {
		t := c.targets.at(i)
		switch {
		case t.state == TargetLeaving:
		case t.pausedUntil <= now:
			return 0
		case first == 0 || t.pausedUntil < first:
			first = t.pausedUntil
		}
	}
	return first
}
