package standin

import (
	"sync"
	"time"
)

// Kinds of operation of the platform stand-in.
const (
	operationIndex = "index"
	operationValue = "value"
	operationWatch = "watch"
	operationFleet = "fleet"
)

// PlatformOperations holds the number of calls of the service since its start. A watch counts as
// one call, however long it waits.
type PlatformOperations struct {
	Index uint64 `json:"index"`
	Value uint64 `json:"value"`
	Watch uint64 `json:"watch"`
	Fleet uint64 `json:"fleet"`
	Total uint64 `json:"total"`
	// Pending is the number of calls without a response so far.
	Pending int `json:"pending"`
	// PeakPerSecond is the highest number of calls that started within one second of the clock.
	PeakPerSecond uint64 `json:"peakPerSecond"`
}

type operationCounter struct {
	mu     sync.Mutex
	counts PlatformOperations
	// second is the Unix time that countInSecond belongs to.
	second        int64
	countInSecond uint64
}

// begin counts a call and returns its number, starting at 1.
func (c *operationCounter) begin(kind string, now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	byKind := map[string]*uint64{
		operationIndex: &c.counts.Index, operationValue: &c.counts.Value,
		operationWatch: &c.counts.Watch, operationFleet: &c.counts.Fleet,
	}
	*byKind[kind]++
	c.counts.Total++
	c.counts.Pending++
	if second := now.Unix(); second != c.second {
		c.second, c.countInSecond = second, 0
	}
	c.countInSecond++
	c.counts.PeakPerSecond = max(c.counts.PeakPerSecond, c.countInSecond)
	return c.counts.Total
}

func (c *operationCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Pending--
}

// Operations returns the number of calls so far.
func (p *Platform) Operations() PlatformOperations {
	p.operations.mu.Lock()
	defer p.operations.mu.Unlock()
	return p.operations.counts
}
