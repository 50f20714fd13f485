package pool

import (
	"time"
)

// Times for which a target gets no requests after it shed one or refused a misdirected one.
const (
	// defaultShedPause applies if the target gives no Retry-After delay, and maxShedPause bounds its delay.
	defaultShedPause = 100 * time.Millisecond
	maxShedPause     = 5 * time.Second
	// misdirectedPause is how long a target whose address belongs to another one gets no requests. The tables
	// follow such a change within seconds.
	misdirectedPause = time.Second
)

// applyShed stops requests to a target for the time that it asked for; 0 means the default. Shedding is not
// evidence against the target.
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
