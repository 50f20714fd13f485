package entry

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference between the clocks that counts as a suspension. Reading them one after
// the other gives smaller ones.
const minSuspension = 100 * time.Millisecond

// suspensionClock measures for how long the VM has been suspended since start. The monotonic clock stands still
// meanwhile: without the difference, a process that resumes would take its view of the fleet for current and the
// deadlines of its requests for as far away as before.
type suspensionClock struct {
	// sinceBoot returns the time since the VM started, suspensions included; nil means the kernel's clock.
	sinceBoot func() (time.Duration, error)

	startedAt   time.Time
	bootAtStart time.Duration
	// unavailable says that there is no such clock; suspensions then go unnoticed.
	unavailable bool
	total       atomic.Int64
}

// start begins to measure. An error means that the clock is unavailable.
func (c *suspensionClock) start() error {
	if c.sinceBoot == nil {
		c.sinceBoot = kernelSinceBoot
	}
	c.startedAt = time.Now()
	var err error
	c.bootAtStart, err = c.sinceBoot()
	c.unavailable = err != nil
	return err
}

// elapsed returns the duration of all suspensions that update has found.
func (c *suspensionClock) elapsed() time.Duration { return time.Duration(c.total.Load()) }

// update reads the clocks and returns the duration of all suspensions, and by how much it has grown.
func (c *suspensionClock) update() (total, grown time.Duration) {
	before := c.total.Load()
	total = time.Duration(before)
	if c.unavailable {
		return total, 0
	}
	boot, err := c.sinceBoot()
	if err != nil {
		// The clock worked at the start, and nothing takes it away from a process that runs.
		return total, 0
	}
	measured := boot - c.bootAtStart - time.Since(c.startedAt)
	if measured-total < minSuspension || !c.total.CompareAndSwap(before, int64(measured)) {
		return c.elapsed(), 0
	}
	return measured, measured - total
}

func kernelSinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, Error.Wrap(err)
	}
	return time.Duration(t.Nano()), nil
}

// updateSuspension counts a suspension of the VM from which this process has just resumed.
func (e *Entry) updateSuspension() {
	total, grown := e.suspension.update()
	if grown > 0 {
		e.Log.Warn().Str("event", "resumed").Int64("suspendedMs", grown.Milliseconds()).Int64("totalMs", total.Milliseconds()).
			Msg("the VM was suspended; this process confirms its view of the fleet before it relies on it")
	}
}
