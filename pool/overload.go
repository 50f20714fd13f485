package pool

import (
	"time"
)

// Overload is a standing queue: for some time every request of a class has waited for long. A queue that only absorbs a
// burst empties by itself, but a standing one makes all requests late and works on responses that help little. While it
// stands, only requests that can still get a response in time are admitted and kept; the others are refused at once.
//
// All requests of a class are admitted up to the same wait, which follows from the mean time to their objectives. With a
// limit for each request, the queue would grow to the limit of the most patient ones, and those of routes with short
// objectives would all be refused.
const (
	// shortWaitFraction is the part of the time to the objective that a request may wait without counting as delayed.
	shortWaitFraction = 1.0 / 8
	// standingFraction is how long all requests must be delayed for the queue to count as standing, as a part of the
	// time to the objective.
	standingFraction = 0.5
	// maxWaitFraction is the longest wait of an admitted request under overload, as a part of the time to the objective.
	maxWaitFraction = 1.0 / 3
	// objectiveServiceTimes is the time that a request under overload must have left when it is expected to start, in
	// mean service times. Few responses take longer.
	objectiveServiceTimes = 2
	// minWaitServiceTimes is the lower bound of the longest wait, in mean service times.
	minWaitServiceTimes = 0.25
	// objectiveSmoothing is the weight of one request in the mean time to the objective.
	objectiveSmoothing = 1.0 / 64
)

// classOverload tells whether the queue of a class stands.
type classOverload struct {
	// objective is the mean time from the arrival of a request to its objective; 0 if no request had one.
	objective time.Duration
	// lastShortWait is when the class last had no delayed requests.
	lastShortWait Time
}

// part returns a part of the mean time to the objective.
func (o *classOverload) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(o.objective))
}

// observeObjective adds the time to the objective of a new request to the mean.
func (o *classOverload) observeObjective(r *request) {
	if r.Objective <= r.submitted {
		return
	}
	objective := time.Duration(r.Objective - r.submitted)
	if o.objective == 0 {
		o.objective = objective
		return
	}
	o.objective += time.Duration(objectiveSmoothing * float64(objective-o.objective))
}

// overloaded reports whether the queue of the class stands.
func (c *Cell) overloaded(now Time, class queueClass) bool {
	return c.stands(now, &c.queue.overload[class])
}

func (c *Cell) stands(now Time, o *classOverload) bool {
	return o.objective > 0 && c.queue.meanServiceTime > 0 && now-o.lastShortWait > Time(o.part(standingFraction))
}

// observeWaits notes for each class when it last had no delayed requests. It is called every tick.
func (c *Cell) observeWaits(now Time) {
	for class := range c.queue.byClass {
		c.queue.overload[class].observeWaits(now, c.queue.byClass[class].each)
	}
	for _, l := range c.queue.levels {
		l.overload.observeWaits(now, l.each)
	}
}

func (o *classOverload) observeWaits(now Time, each func(visit func(*request))) {
	delayed := false
	each(func(r *request) {
		delayed = delayed || now-r.submitted > Time(o.part(shortWaitFraction))
	})
	if !delayed {
		o.lastShortWait = now
	}
}

// forgetWaits starts the observation of waits anew.
func (c *Cell) forgetWaits(now Time) {
	for class := range c.queue.overload {
		c.queue.overload[class].lastShortWait = now
	}
	for _, l := range c.queue.levels {
		l.overload.lastShortWait = now
	}
}

// maxWait returns how long a new request of the class may have to wait under overload.
func (c *Cell) maxWait(class queueClass) time.Duration {
	o, service := &c.queue.overload[class], c.queue.meanServiceTime
	timely := o.objective - objectiveServiceTimes*service
	return max(time.Duration(minWaitServiceTimes*float64(service)), min(timely, o.part(maxWaitFraction)))
}

// refusedByOverload reports whether a new request, which would wait for the given time, is to be refused because it
// would join a standing queue and be late.
func (c *Cell) refusedByOverload(now Time, r *request, wait time.Duration) bool {
	return r.Objective > 0 && c.overloaded(now, r.class) && wait > c.maxWait(r.class)
}

// lateUnderOverload reports whether a waiting request is to be refused because the queue stands and it can't get a
// response in time any more.
func (c *Cell) lateUnderOverload(now Time, r *request) bool {
	if r.level != nil {
		return r.Objective > 0 && !r.mayHaveRun && c.stands(now, &r.level.overload) && now+Time(c.expectedServiceTime(r)) > r.Objective
	}
	latest := max(r.Objective, r.submitted+Time(c.queue.overload[r.class].objective))
	return r.Objective > 0 && !r.mayHaveRun && c.overloaded(now, r.class) && now+Time(c.queue.meanServiceTime) > latest
}

// lateRetryAfter returns when the caller of a request that has waited in vain had better come back.
func (c *Cell) lateRetryAfter(now Time, r *request) time.Duration {
	if c.scheduled(r) {
		return c.returnTime(r, c.levelWait(now, r), 0)
	}
	return c.overloadRetryAfter(r.class)
}

// overloadRetryAfter returns when the caller of a request that is refused under overload had better come back. It is
// spread, so that they don't come back together.
func (c *Cell) overloadRetryAfter(class queueClass) time.Duration {
	wait := max(c.waitEstimate(class), c.queue.overload[class].part(shortWaitFraction))
	return wait + time.Duration(c.Random.Int64N(int64(wait)+1))
}
