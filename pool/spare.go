package pool

// SpareSlots returns how many more requests the targets in no doubt could run now; below 0 it is how many wait for a slot.
func (c *Cell) SpareSlots(now Time) int {
	spare := -c.queue.size()
	for i := range c.targets.len() {
		t := c.targets.at(i)
		if t.state == TargetServing && now >= t.shedUntil && (!c.spells() || c.badness(now, t) < clearBelief) {
			spare += max(0, t.freeSlots())
		}
	}
	return spare
}
