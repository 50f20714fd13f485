package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// coldRamps is how long, in ramp times, a target that started is not compared with its peers. Caches take
// longer to fill than the target needs to bear its share of requests.
const coldRamps = 3

// defaultRamp applies when the pools table gives no ramp time.
const defaultRamp table.Millis = 5000

// rampCold gives a target its slots gradually because it starts with cold caches. Its service times say
// nothing for coldRamps ramp times.
func (t *target) rampCold(now Time) {
	t.ramping, t.cold, t.rampStart = true, true, now
}

// rampWarm gives a returned target its slots gradually, in case it fails again under load.
func (t *target) rampWarm(now Time) {
	t.ramping, t.cold, t.rampStart = true, false, now
}

// rampedSlots is how many of the given slots the target may use now; at least 1.
func (c *Cell) rampedSlots(now Time, t *target, slots int) int {
	if !t.ramping && !t.cold {
		return slots
	}
	ramp := c.Policy.RampMs
	if ramp == 0 {
		ramp = defaultRamp
	}
	share := float64(time.Duration(now-t.rampStart)) / float64(ramp.Duration())
	t.ramping = share < 1
	t.cold = t.cold && share < coldRamps
	if !t.ramping {
		return slots
	}
	return max(1, int(share*float64(slots)))
}
