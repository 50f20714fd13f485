package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// stuckHolds is after how many mean service times an attempt without an answer counts as stuck; about one
	// answer in fifty takes longer.
	stuckHolds = 3
	// leastStuck is the least age of such an attempt. Below it, scheduling on a busy VM looks like silence.
	leastStuck = 300 * time.Millisecond
)

// Stuck returns the targets that have attempts in flight, none of which was answered in the usual time, and that have
// answered nothing since the first of these began. Either the targets hang, or the path to them is cut.
func (c *Cell) Stuck(now Time) []table.TargetID {
	limit := now - Time(max(leastStuck, stuckHolds*c.queue.hold))
	var ids []table.TargetID
	for i := range c.targets.len() {
		if t := c.targets.at(i); t.state != TargetLeaving && t.stuck(limit) {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// Listed returns how many targets the tables in force name for the cell.
func (c *Cell) Listed() int { return c.listedTargets }

// stuck says that all attempts in flight began before the limit, and that the target answered none since.
func (t *target) stuck(limit Time) bool {
	for _, r := range t.attempts {
		// The time of an upload depends on its body.
		if r.Upload || r.started > limit || r.started <= t.answeredAt {
			return false
		}
	}
	return len(t.attempts) > 0
}
