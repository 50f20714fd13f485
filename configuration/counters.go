package configuration

import "sync/atomic"

// Counts are the numbers of calls and failures so far, by kind of call.
type Counts struct {
	Index, Value, Watch, Fleet uint64
	// Failed counts the calls of all kinds that did not return a usable response.
	Failed uint64
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() uint64 { return c.Index + c.Value + c.Watch + c.Fleet }

type counters struct {
	calls    [numOperations]atomic.Uint64
	failures atomic.Uint64
}

func (c *counters) recordCall(op Operation) { c.calls[op].Add(1) }
func (c *counters) recordFailure()          { c.failures.Add(1) }

// Counts returns the numbers of calls made so far.
func (c *Client) Counts() Counts { return c.counters.snapshot() }

func (c *counters) snapshot() Counts {
	return Counts{
		Index:  c.calls[OperationIndex].Load(),
		Value:  c.calls[OperationValue].Load(),
		Watch:  c.calls[OperationWatch].Load(),
		Fleet:  c.calls[OperationFleet].Load(),
		Failed: c.failures.Load(),
	}
}
