package pool

import (
	"time"
)

// Bounds of the Retry-After delay of a shed.
const (
	defaultShedPause = 100 * time.Millisecond
	maxShedPause     = 5 * time.Second
	// misdirectedPause is how long a target whose address belongs to another one gets no requests. The tables
	// follow such a change within seconds.
	misdirectedPause = time.Second
)

// applyShed stops requests to a target for the time that it asked for. Shedding is not evidence against the
// target.
func (c *Cell) applyShed(now Time, t *target, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = defaultShedPause
	}
	retryAfter = min(retryAfter, maxShedPause)
	until := now + Time(retryAfter)
	if until <= t.shedUntil {
		return
	}
	t.shedUntil = until
	c.emit(Event{At: now, Kind: EventShed, Target: t.id, Reason: ReasonShed})
	c.refreshLimits(now)
}
