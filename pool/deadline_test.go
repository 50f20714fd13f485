package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusing requests with short deadlines while requests with longer ones wait for slots that
// would suffice for all. In a backlog of 1.2 s of requests with 2.5 s each, a few with 0.9 s can be served
// without a loss to the others. Seen in a run: 0 of 32 requests with short deadlines, on added routes, were
// served in the seconds in which 1,464 of 1,660 others were.
func TestShortDeadlinesAreServed(t *testing.T) {
	is := is.New(t)
	const (
		service = 200 * time.Millisecond
		rate    = 100 // per second: the capacity of five targets with four slots
	)
	c, now := newEpisodeCell(5, 6000)
	c.queue.meanServiceTime = service
	c.Policy.QueueLimit = 1000
	type run struct {
		id RequestID
		at Time
	}
	var running []run
	deadlines := make(map[RequestID]Time)
	short := make(map[RequestID]bool)
	served, shortServed, shortSent := 0, 0, 0
	var nextID RequestID
	submit := func(limit time.Duration) {
		nextID++
		short[nextID] = limit < time.Second
		deadlines[nextID] = now + Time(limit)
		c.Submit(now, Request{ID: nextID, Idempotent: true, Replayable: true, Deadline: now + Time(limit)})
	}
	for range 6 * rate / 5 {
		submit(2500 * time.Millisecond)
	}
	for tick := range 500 {
		now += Time(10 * time.Millisecond)
		for len(running) > 0 && running[0].at <= now {
			if now <= deadlines[running[0].id] {
				served++
				if short[running[0].id] {
					shortServed++
				}
			}
			c.Finish(now, running[0].id, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: service})
			running = running[1:]
		}
		c.Tick(now)
		if tick%20 == 10 {
			shortSent++
			submit(900 * time.Millisecond)
		} else {
			submit(2500 * time.Millisecond)
		}
		for _, d := range c.Decisions() {
			if d.Kind == DecisionRun {
				running = append(running, run{d.Request, now + Time(service)})
			}
		}
	}
	t.Logf("served %d of %d, short %d of %d", served, nextID, shortServed, shortSent)
	is.True(served >= 480)
	is.True(shortServed*4 >= shortSent*3)
}
