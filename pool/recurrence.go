package pool

import (
	"math"
	"time"
)

// Failure episodes recur: a target that had some is likelier to have another than one that never had any, and the first request
// of each is lost. While slots are free, requests therefore go to targets without recent episodes.
const (
	// recurrenceMemory is the time after which a past episode counts less by the factor e.
	recurrenceMemory = 5 * time.Minute
	// maxRecurrencePenalty is the load penalty of a target that had an episode, as a fraction of a full target's load.
	maxRecurrencePenalty = 0.7
	// freeSlotsFraction is the fraction of the trusted targets' slots that are free when slots are plentiful.
	freeSlotsFraction = 0.3
)

// recurrence is a decaying count of the failure episodes of a target.
type recurrence struct {
	episodes float64
	at       Time
}

func (r *recurrence) count(now Time) float64 {
	return r.episodes * math.Exp(-float64(now-r.at)/float64(recurrenceMemory))
}

func (r *recurrence) add(now Time) {
	r.episodes, r.at = r.count(now)+1, now
}

// recurrencePenalty returns the load penalty of a target because of past episodes. It applies while the floor of the pool is in
// use, so that it leaves out no more targets than may be ejected.
func (c *Cell) recurrencePenalty(now Time, t *target) float64 {
	if t.recurrence.episodes == 0 || c.targetsInUse < c.Floor {
		return 0
	}
	return maxRecurrencePenalty * min(1, t.recurrence.count(now))
}

// slotsPlentiful reports whether many slots of trusted targets are free, so that no suspect target is needed soon.
func (c *Cell) slotsPlentiful(now Time) bool {
	return float64(c.SpareSlots(now)) > freeSlotsFraction*c.servingSlots
}
