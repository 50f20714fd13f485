package pool

import (
	"time"
)

// Bounds of the advice with a shed.
const (
	defaultShedPause = 100 * time.Millisecond
	maxShedPause     = 5 * time.Second
	// otherTargetPause is how long a target whose address answers for another one gets no work; the tables
	// follow such a change within seconds.
	otherTargetPause = time.Second
)

// shed stops ordinary work for a target for the time that it asked for. It is no sign of ill health.
func (c *Cell) shed(now Time, t *target, advice time.Duration) {
	if advice <= 0 {
		advice = defaultShedPause
	}
	advice = min(advice, maxShedPause)
	until := now + Time(advice)
	if until <= t.shedUntil {
		return
	}
	t.shedUntil = until
	c.event(Event{At: now, Kind: EventShed, Target: t.id, Reason: ReasonShed})
	c.refreshLimits(now)
}
