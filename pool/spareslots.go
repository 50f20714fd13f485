package pool

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
