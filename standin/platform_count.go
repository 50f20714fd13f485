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

// PlatformOperations counts the calls of the service since its start. A watch counts as one, however
// long it waits.
type PlatformOperations struct {
	Index uint64 `json:"index"`
	Value uint64 `json:"value"`
	Watch uint64 `json:"watch"`
	Fleet uint64 `json:"fleet"`
	Total uint64 `json:"total"`
	// Pending is the number of calls not yet answered.
	Pending int `json:"pending"`
	// PeakPerSecond is the highest number of calls that began within one second of the clock.
	PeakPerSecond uint64 `json:"peakPerSecond"`
}

type platformCount struct {
	mu     sync.Mutex
	counts PlatformOperations
	// second is the second of the clock that inSecond counts.
	second   int64
	inSecond uint64
}

// begin counts a call and returns its number, from 1.
func (c *platformCount) begin(kind string, now time.Time) uint64 {
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
		c.second, c.inSecond = second, 0
	}
	c.inSecond++
	c.counts.PeakPerSecond = max(c.counts.PeakPerSecond, c.inSecond)
	return c.counts.Total
}

func (c *platformCount) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Pending--
}

// Operations returns the calls counted so far.
func (p *Platform) Operations() PlatformOperations {
	p.count.mu.Lock()
	defer p.count.mu.Unlock()
	return p.count.counts
}
