package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// coldRamps is the number of ramp times for which a target that started is not compared with its peers. Its
// caches take longer to fill than it needs until it can carry its share of requests.
const coldRamps = 3

// defaultRamp applies if the pools table gives no ramp time.
const defaultRamp table.Millis = 5000

// rampCold starts the ramp of a target with cold caches. Its service times are not compared for coldRamps ramp
// times.
func (t *target) rampCold(now Time) {
	t.ramping, t.cold, t.rampStart = true, true, now
}

// rampWarm starts the ramp of a target that returned to service, in case it fails again under load.
func (t *target) rampWarm(now Time) {
	t.ramping, t.cold, t.rampStart = true, false, now
}

// rampedSlots returns how many of the given slots the target may use now; at least 1.
func (c *Cell) rampedSlots(now Time, t *target, slots int) int {
	if !t.ramping && !t.cold {
		return slots
	}
	ramp := c.Policy.RampMs
	if ramp == 0 {
		ramp = defaultRamp
	}
	fraction := float64(time.Duration(now-t.rampStart)) / float64(ramp.Duration())
	t.ramping = fraction < 1
	t.cold = t.cold && fraction < coldRamps
	if !t.ramping {
		return slots
	}
	return max(1, int(fraction*float64(slots)))
}
