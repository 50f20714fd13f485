package pool

import "time"

// spillWaitFraction is the part of the time to a request's objective that it may wait for a slot before it is worth
// sending to another failure domain, whose targets cost two more hops and the response's bytes on two more links.
const spillWaitFraction = 1.0 / 8

// ServesSoon reports whether a request that comes now gets a slot within a small part of the time to its objective. It is
// false in pools that aren't cost-aware, and while the wait can't be told.
func (c *Cell) ServesSoon(now Time, r *Request) bool {
	if !c.Policy.CostAware || r.Objective <= now || c.servingSlots < 1 || c.queue.meanServiceTime == 0 {
		return false
	}
	class := classIdempotent
	if !r.Idempotent {
		class = classNonIdempotent
	}
	return float64(c.waitEstimate(class)) <= spillWaitFraction*float64(time.Duration(r.Objective-now))
}

// SpareSlots returns how many requests the trusted targets could run now besides those that are queued. A negative
// number is how many more requests are queued than there are free slots.
func (c *Cell) SpareSlots(now Time) int {
	slots := -c.queue.size()
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetServing && now >= t.shedUntil &&
			(!c.tracksEpisodes() || c.failureProbability(now, t) < suspectProbability) {
			free := max(0, t.freeSlots())
			if !c.withinRate(now, t) {
				free = 0
			}
			slots += free
		}
	}
	return slots
}
