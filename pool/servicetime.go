package pool

import "time"

// MeanServiceTime returns the mean time that an attempt occupies its slot; 0 means not known.
func (c *Cell) MeanServiceTime() time.Duration { return c.queue.meanServiceTime }
