package pool

import (
	"time"
)

// Bounds of the advice with a shed.
const (
	defaultShedPause = 100 * time.Millisecond
	maxShedPause     = 5 * time.Second
	// misdirectedPause is how long a target whose address answers for another one gets no work; the tables
	// follow such a change within seconds.
	misdirectedPause = time.Second
)

// applyShed stops ordinary work for a target for the time that it asked for. It is no sign of ill health.
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
