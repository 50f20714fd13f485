package measure

import (
	"time"

	"github.com/bilberrywood/bilberrywood/pool"
)

// Clock is a virtual clock. It runs scheduled functions in order of time, and those with equal times
// in the order in which they were scheduled.
type Clock struct {
	now      pool.Time
	sequence uint64
	events   []event
	// inOrder holds events whose times never decrease, such as deadlines at a constant distance. It keeps
	// them out of the heap, so that the heap stays small.
	inOrder queue
}

// queue is a first-in, first-out queue of events.
type queue struct {
	events []event
	head   int
}

func (q *queue) empty() bool { return q.head == len(q.events) }

func (q *queue) push(e event) { q.events = append(q.events, e) }

func (q *queue) pop() event {
	e := q.events[q.head]
	q.events[q.head] = event{}
	q.head++
	if q.head > len(q.events)/2 {
		n := copy(q.events, q.events[q.head:])
		clear(q.events[n:])
		q.events, q.head = q.events[:n], 0
	}
	return e
}

type event struct {
	at       pool.Time
	sequence uint64
	fn       func()
}

func (e event) before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.sequence < o.sequence
}

// Now returns the virtual time.
func (c *Clock) Now() pool.Time { return c.now }

// After schedules fn to run d from now; a negative d counts as 0.
func (c *Clock) After(d time.Duration, fn func()) {
	c.sequence++
	c.push(event{at: c.now + pool.Time(max(d, 0)), sequence: c.sequence, fn: fn})
}

// AfterInOrder is like After, for events whose times never decrease from call to call.
func (c *Clock) AfterInOrder(d time.Duration, fn func()) {
	c.sequence++
	c.inOrder.push(event{at: c.now + pool.Time(d), sequence: c.sequence, fn: fn})
}

// RunUntil runs all events up to and including end, or until stop returns true. A nil stop never
// stops.
func (c *Clock) RunUntil(end pool.Time, stop func() bool) {
	for {
		if stop != nil && stop() {
			return
		}
		e, ok := c.next(end)
		if !ok {
			c.now = end
			return
		}
		c.now = e.at
		e.fn()
	}
}

// next removes and returns the earliest event up to and including end.
func (c *Clock) next(end pool.Time) (event, bool) {
	fromQueue := !c.inOrder.empty() &&
		(len(c.events) == 0 || c.inOrder.events[c.inOrder.head].before(c.events[0]))
	switch {
	case fromQueue && c.inOrder.events[c.inOrder.head].at <= end:
		return c.inOrder.pop(), true
	case !fromQueue && len(c.events) > 0 && c.events[0].at <= end:
		return c.pop(), true
	default:
		return event{}, false
	}
}

func (c *Clock) push(e event) {
	c.events = append(c.events, e)
	i := len(c.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.events[i].before(c.events[parent]) {
			break
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

func (c *Clock) pop() event {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.siftDown(0)
	return top
}

func (c *Clock) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.events); child++ {
			if c.events[child].before(c.events[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		c.events[i], c.events[smallest] = c.events[smallest], c.events[i]
		i = smallest
	}
}
