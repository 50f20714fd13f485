package pool

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// queueClass is the priority of a request under overload.
type queueClass uint8

const (
	classNonIdempotent queueClass = iota
	classIdempotent
	// classSuspectedPoison holds suspected poison requests, which wait for a target that runs no other one.
	classSuspectedPoison
	numClasses
)

// idempotentInterval is the number of picks from the queue of which one is for an idempotent request while
// non-idempotent ones wait. It keeps a backlog of non-idempotent requests from starving the others.
const idempotentInterval = 8

// queueLimitFactor is the default queue limit as a multiple of the cell's slots.
const queueLimitFactor = 4

// serviceTimeSmoothing is the weight of one response in the mean service time.
const serviceTimeSmoothing = 1.0 / 64

// queue holds the requests that wait for a slot.
type queue struct {
	byClass    [numClasses]fairQueue[table.AccountName, *request]
	dispatched int
	overload   [numClasses]classOverload
	// levels hold the requests of cells that serve by priority, instead of byClass, in the order of their priorities.
	levels []*level
	// leastShareLast says that the latest of them to be served belonged to a level that falls behind.
	leastShareLast bool
	// routeTimes are kept where requests are served by priority.
	routeTimes routeTimes
	// meanServiceTime is the mean time that an attempt occupies its slot; 0 means not known yet.
	meanServiceTime time.Duration
}

func (q *queue) size() int {
	n := 0
	for i := range q.byClass {
		n += q.byClass[i].size
	}
	for _, l := range q.levels {
		n += l.size
	}
	return n
}

// each calls visit for every queued request; visit may remove the request that it is called with.
func (q *queue) each(visit func(*request)) {
	for i := range q.byClass {
		q.byClass[i].each(visit)
	}
	for _, l := range q.levels {
		l.each(visit)
	}
}

// remove removes a queued request.
func (q *queue) remove(r *request) {
	if r.level != nil {
		r.level.remove(r)
		return
	}
	q.byClass[r.class].remove(&r.node)
}

// next returns the class that is served next, or numClasses if no requests but suspected poison ones wait.
func (q *queue) next() queueClass {
	nonIdempotent := q.byClass[classNonIdempotent].size > 0
	idempotent := q.byClass[classIdempotent].size > 0
	switch {
	case nonIdempotent && idempotent && q.dispatched%idempotentInterval == idempotentInterval-1:
		return classIdempotent
	case nonIdempotent:
		return classNonIdempotent
	case idempotent:
		return classIdempotent
	}
	return numClasses
}

func (q *queue) observeServiceTime(service time.Duration) {
	if q.meanServiceTime == 0 {
		q.meanServiceTime = service
		return
	}
	q.meanServiceTime += time.Duration(float64(service-q.meanServiceTime) * serviceTimeSmoothing)
}

func (c *Cell) queueLimit() int {
	if c.Policy.QueueLimit > 0 {
		return c.Policy.QueueLimit
	}
	return queueLimitFactor * c.SlotsPerTarget * max(1, c.listedTargets)
}

// waitOf returns the expected time until a request like this one, which is not queued, gets a slot.
func (c *Cell) waitOf(now Time, r *request) time.Duration {
	if c.scheduled(r) {
		return c.levelWait(now, r)
	}
	return c.waitEstimate(r.class)
}

// queueState describes the queue to a request that is refused.
func (c *Cell) queueState(now Time, r *request) QueueState {
	s := QueueState{Length: c.queue.size(), WaitEstimate: c.waitOf(now, r)}
	if c.scheduled(r) {
		l := c.queue.levelOf(r)
		level := l.state(now)
		if f := l.flow(r.Account); f != nil {
			level.AccountSlotTime = f.work
		}
		s.Level = &level
	}
	return s
}

// waitEstimate returns the expected time until a request that joins the end of the queue gets a slot. A
// non-idempotent request waits for those of its class only. An idempotent one waits for the others too, but not for
// more than their share of the slots.
func (c *Cell) waitEstimate(class queueClass) time.Duration {
	ahead := c.queue.size()
	switch class {
	case classNonIdempotent:
		ahead = c.queue.byClass[classNonIdempotent].size
	case classIdempotent:
		ahead = min(ahead, (c.queue.byClass[classIdempotent].size+1)*idempotentInterval-1)
	}
	return c.waitBehind(ahead)
}

// waitBehind returns the expected time until a request with the given number of others ahead of it gets a slot; 0
// if it isn't known.
func (c *Cell) waitBehind(ahead int) time.Duration {
	if c.servingSlots == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) * float64(c.queue.meanServiceTime) / c.servingSlots)
}

// enqueue puts a new request into its queue, or refuses it as not run.
func (c *Cell) enqueue(now Time, r *request) {
	r.class = classIdempotent
	if !r.Idempotent {
		r.class = classNonIdempotent
	}
	if r.suspectedPoison {
		r.class = classSuspectedPoison
	}
	if end := c.nextPauseEnd(now); end > 0 && r.Deadline > 0 && end > c.latestStart(r, 0) {
		c.refuse(r, ReasonTargetsPaused, time.Duration(end-now))
		return
	}
	if c.scheduled(r) {
		c.enqueueByPriority(now, r)
		return
	}
	wait := c.waitEstimate(r.class)
	c.queue.overload[r.class].observeObjective(r)
	if c.refusedByOverload(now, r, wait) {
		c.refuse(r, ReasonOverload, c.overloadRetryAfter(r.class))
		return
	}
	latestStart := r.Deadline
	if others := c.queue.size(); others > 0 {
		latestStart = c.latestStart(r, others)
	}
	if r.Deadline > 0 && now+Time(wait) > latestStart && now+Time(c.waitByDeadline(r)) > latestStart {
		c.refuse(r, ReasonDeadline, wait)
		return
	}
	if c.queue.size() >= c.queueLimit() && !c.displace(r, wait) {
		c.refuse(r, ReasonQueueFull, wait)
		return
	}
	c.push(r, false)
}

func (c *Cell) push(r *request, front bool) {
	r.phase = phaseQueued
	if c.scheduled(r) {
		r.returned = front
		c.pushToLevel(r)
		return
	}
	r.node.value = r
	if front {
		c.queue.byClass[r.class].pushFront(r.Account, &r.node)
		return
	}
	c.queue.byClass[r.class].push(r.Account, &r.node, earlierDeadline)
}

// earlierDeadline orders the requests of a class and account by deadline, so that one with little time left is
// not refused while others can wait. Requests with equal deadlines stay in the order of their arrival.
func earlierDeadline(a, b *request) bool {
	return a.Deadline > 0 && (b.Deadline == 0 || a.Deadline < b.Deadline)
}

// waitByDeadline returns the expected time until a new request gets a slot, given the requests with later
// deadlines that it overtakes.
func (c *Cell) waitByDeadline(r *request) time.Duration {
	ahead := 0
	for class := range c.queue.byClass {
		if r.class == classNonIdempotent && queueClass(class) != classNonIdempotent {
			continue
		}
		c.queue.byClass[class].each(func(other *request) {
			if other.class != r.class || !earlierDeadline(r, other) {
				ahead++
			}
		})
	}
	return c.waitBehind(ahead)
}

// displace makes room for a non-idempotent request by ending the newest idempotent one, and reports whether it
// did.
func (c *Cell) displace(r *request, wait time.Duration) bool {
	if r.Idempotent {
		return false
	}
	n := c.queue.byClass[classIdempotent].newest()
	if n == nil {
		return false
	}
	c.queue.byClass[classIdempotent].remove(n)
	c.endWaiting(n.value, ReasonDisplaced, wait)
	return true
}

// expire ends the queued requests that can no longer get a response before their deadline.
func (c *Cell) expire(now Time) {
	pauseEnd := c.nextPauseEnd(now)
	c.queue.each(func(r *request) {
		switch {
		case pauseEnd > 0 && r.Deadline > 0 && pauseEnd > c.latestStart(r, 0):
			c.queue.remove(r)
			c.endWaiting(r, ReasonTargetsPaused, time.Duration(pauseEnd-now))
		case c.lateUnderOverload(now, r):
			c.queue.remove(r)
			c.endWaiting(r, ReasonOverload, c.lateRetryAfter(now, r))
		case c.hopeless(now, r):
			c.queue.remove(r)
			c.endWaiting(r, ReasonDeadline, c.lateRetryAfter(now, r))
		case c.tooLate(now, r, c.queue.size()-1):
			c.queue.remove(r)
			c.endWaiting(r, ReasonDeadline, 0)
		}
	})
}

// dispatch starts queued requests while there are slots for them.
func (c *Cell) dispatch(now Time) {
	// Suspected poison requests are few, and at most one runs per target, so they don't crowd out the others.
	c.dispatchSuspects(now)
	if c.byPriority() {
		c.dispatchByPriority(now)
		return
	}
	for {
		class := c.queue.next()
		if class == numClasses {
			break
		}
		r := c.queue.byClass[class].first().value
		t, reason, trial := c.pick(now, r)
		if t == nil {
			break
		}
		c.queue.dispatched++
		c.queue.byClass[class].pop()
		if c.tooLate(now, r, c.queue.size()) {
			c.endWaiting(r, ReasonDeadline, 0)
			continue
		}
		c.startAttempt(now, r, t, reason, trial)
	}
}

// dispatchSuspects starts suspected poison requests at targets that run no other one. Each request is tried
// once; those that can't run yet don't block the others.
func (c *Cell) dispatchSuspects(now Time) {
	q := &c.queue.byClass[classSuspectedPoison]
	for range q.size {
		r := q.pop().value
		if !c.poison.held(now, r.Fingerprint) {
			if t, reason, trial := c.pick(now, r); t != nil {
				c.startAttempt(now, r, t, reason, trial)
				continue
			}
		}
		c.push(r, false)
	}
}

// tooLate reports whether a request has waited so long that its response is likely to come after its deadline. others is
// how many further requests wait.
func (c *Cell) tooLate(now Time, r *request, others int) bool {
	return r.Deadline > 0 && now > r.submitted && now > c.latestStart(r, others)
}

// latestStart returns the latest time at which a request is started after a wait. If others wait too, it must leave the
// mean service time until the deadline, and a part of the deviation from it where that is known: a request that expires at a target takes the place of one that would not, and
// is taken for a fault of the target. Otherwise half of it will do, because many responses take less.
func (c *Cell) latestStart(r *request, others int) Time {
	if others > 0 {
		t := c.routeTime(r)
		return r.Deadline - Time(t.mean) - Time(startDeviations*float64(t.deviation))
	}
	return r.Deadline - Time(c.expectedServiceTime(r)/2)
}
