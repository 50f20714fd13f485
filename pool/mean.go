package pool

import "time"

// MeanService returns the mean time that an attempt holds its slot; 0 means not known.
func (c *Cell) MeanService() time.Duration { return c.queue.hold }
