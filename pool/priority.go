package pool

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// minServedFraction bounds how far a level may fall behind: it gets this part of the slot time that it would have if
	// all levels were served in proportion to what they ask for. It never serves a level better than one above it.
	minServedFraction = 0.5
	// dueFraction is the part of its patience after which a waiting request may overtake more urgent ones.
	dueFraction = 0.5
	// overtakenFraction is the part of the wait that leaves a more urgent request in time up to which it may be overtaken.
	overtakenFraction = 0.25
	// maxPatience is the part of the time that a request could wait which it is expected to wait at most.
	maxPatience = 0.8
	// lastingDemand is the part of the slots that higher levels ask for that counts as taken while a request waits. A crowd
	// lasts for seconds, and a part of it is refused.
	lastingDemand = 0.5
	// minLeastSlots is the lower bound of the slots that a level is expected to get.
	minLeastSlots = 0.1
	// unlimitedPatience is the patience of a request with neither an objective nor a deadline.
	unlimitedPatience = 5 * time.Second
)

// byPriority reports whether the cell serves waiting requests by priority.
func (c *Cell) byPriority() bool { return c.Policy.Scheduling == table.SchedulePriority }

// scheduled reports whether the request waits at a level. Suspected poison requests wait for an idle target instead.
func (c *Cell) scheduled(r *request) bool {
	return c.byPriority() && r.class != classSuspectedPoison
}

// levelOf returns the level of a request. The tables bound the number of priorities.
func (q *queue) levelOf(r *request) *level {
	rank := levelRank{r.Priority, r.RoutePriority}
	i, found := slices.BinarySearchFunc(q.levels, rank, func(l *level, other levelRank) int { return l.rank.compare(other) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{rank: rank})
	}
	return q.levels[i]
}

func (c *Cell) pushToLevel(r *request) {
	c.queue.levelOf(r).push(r, c.expectedServiceTime(r))
}

// enqueueByPriority puts a new request into its level, or refuses it as not run if it can't be in time there.
func (c *Cell) enqueueByPriority(now Time, r *request) {
	l := c.queue.levelOf(r)
	cost := c.expectedServiceTime(r)
	l.asked.add(now, cost)
	l.overload.observeObjective(r)
	wait := c.levelWait(now, r)
	latestStart := r.Deadline
	if others := c.queue.size(); others > 0 {
		latestStart = c.latestStart(r, others)
	}
	switch {
	case r.Deadline > 0 && now+Time(wait) > latestStart:
		c.refuse(r, ReasonDeadline, c.returnTime(r, wait, time.Duration(latestStart-now)))
	case r.Objective > 0 && wait > c.patience(r) && (c.stands(now, &l.overload) || c.askedAbove(now, l) > c.servingSlots):
		c.refuse(r, ReasonOverload, c.returnTime(r, wait, c.patience(r)))
	case c.queue.size() >= c.queueLimit() && !c.displaceByPriority(now, r):
		c.refuse(r, ReasonQueueFull, c.returnTime(r, wait, 0))
	default:
		c.push(r, false)
	}
}

// patience returns how long a new request may wait so that few responses miss its objective. Where routes with different
// objectives share a level, the patient ones wait no longer than the mean objective allows: the queue would else grow until
// the others are never in time.
func (c *Cell) patience(r *request) time.Duration {
	objective := time.Duration(r.latestResponse() - r.submitted)
	if mean := c.queue.levelOf(r).overload.objective; mean > 0 {
		objective = min(objective, mean)
	}
	timely := time.Duration(maxPatience * float64(objective-c.timelyServiceTime(r)))
	return max(time.Duration(minWaitServiceTimes*float64(c.expectedServiceTime(r))), timely)
}

// returnTime returns when the caller of a refused request had better come back: when those that wait now leave it as much
// time as it may wait. It is spread, so that callers don't come back together.
func (c *Cell) returnTime(r *request, wait, mayWait time.Duration) time.Duration {
	least := max(c.expectedServiceTime(r), c.queue.levelOf(r).overload.part(shortWaitFraction))
	d := max(least, wait-max(0, mayWait))
	return d + time.Duration(c.Random.Int64N(int64(d)+1))
}

// levelWait returns the expected time until a new request of the level gets a slot; 0 if it isn't known.
func (c *Cell) levelWait(now Time, r *request) time.Duration {
	l := c.queue.levelOf(r)
	return c.waitBehindWork(now, r, c.queue.meanServiceTime+l.ahead(r))
}

// waitBehindWork returns the expected time until the request gets a slot, with the given slot time ahead of it at its level. It
// gets those that higher levels leave, whose requests go on coming meanwhile, or those that its level gets at least.
func (c *Cell) waitBehindWork(now Time, r *request, ahead time.Duration) time.Duration {
	if c.servingSlots == 0 {
		return 0
	}
	l := c.queue.levelOf(r)
	left, above := c.servingSlots, time.Duration(0)
	for _, other := range c.queue.levels {
		switch {
		case other.rank.compare(l.rank) < 0 && other.size > 0 && c.pressing(r, other.head(now)) && c.staysInTime(now, r, other, above+other.work, 1):
			// The request may overtake those of this level.
		case other.rank.compare(l.rank) < 0:
			part := 1.0
			if dominant := other.dominant(r); dominant != nil {
				part = 1 - float64(dominant.work)/float64(other.work)
			}
			above += time.Duration(part * float64(other.work))
			left -= part * lastingDemand * other.asked.slots(now)
		case other.rank.compare(l.rank) > 0 && other.size > 0 && c.due(now, other.head(now)):
			left -= c.leastSlots(now, other)
		}
	}
	wait := float64(ahead) / max(minLeastSlots, c.leastSlots(now, l))
	if left > 0 {
		wait = min(wait, float64(above+ahead)/left)
	}
	return time.Duration(wait)
}

// hopeless reports whether more urgent requests, and those of other accounts, have come in such numbers that a waiting
// request won't get a slot in time any more. Keeping it would hold its caller up, and newer ones off.
func (c *Cell) hopeless(now Time, r *request) bool {
	l := r.level
	if l == nil || r.returned || c.servingSlots == 0 || r.Deadline == 0 || c.askedAbove(now, l) <= c.servingSlots || c.fallsBehind(now, l) {
		return false
	}
	return now+Time(c.waitBehindWork(now, r, l.ahead(r))) > c.latestStart(r, c.queue.size())
}

// leastSlots returns how many slots the level gets at least while it asks for them.
func (c *Cell) leastSlots(now Time, l *level) float64 {
	all := 0.0
	for _, other := range c.queue.levels {
		all += other.asked.value(now)
	}
	if all == 0 {
		return 0
	}
	return minServedFraction * c.servingSlots * l.asked.value(now) / all
}

// askedAbove returns how many slots the requests of the level and of those above it ask for.
func (c *Cell) askedAbove(now Time, l *level) float64 {
	slots := 0.0
	for _, other := range c.queue.levels {
		if other.rank.compare(l.rank) <= 0 {
			slots += other.asked.slots(now)
		}
	}
	return slots
}

// fallsBehind reports whether the level gets less slot time, of what it asks for, than minServedFraction allows.
func (c *Cell) fallsBehind(now Time, l *level) bool {
	asked, granted := 0.0, 0.0
	for _, other := range c.queue.levels {
		asked += other.asked.value(now)
		granted += other.granted.value(now)
	}
	return l.granted.value(now)*asked < minServedFraction*granted*l.asked.value(now)
}

// due reports whether the request has used up so much of its patience that it may overtake more urgent ones.
func (c *Cell) due(now Time, r *request) bool {
	service := Time(c.expectedServiceTime(r))
	latest := r.latestResponse()
	if now+service > latest && r.Deadline > 0 {
		latest = r.Deadline
	}
	patience := Time(unlimitedPatience)
	if latest < math.MaxInt64 {
		patience = max(0, latest-service-r.submitted)
	}
	return now-r.submitted >= Time(dueFraction*float64(patience))
}

// pressing reports whether the request must start before the other one to be in time.
func (c *Cell) pressing(r, other *request) bool {
	return r.latestResponse()-Time(c.expectedServiceTime(r)) < other.latestResponse()-Time(c.expectedServiceTime(other))
}

// staysInTime reports whether the waiting requests of the level are still served in time after the given slot time, with the
// given part of their patience. That doesn't count for an account that keeps itself waiting.
func (c *Cell) staysInTime(now Time, r *request, l *level, ahead time.Duration, part float64) bool {
	dominant := l.dominant(r)
	if dominant != nil {
		ahead -= dominant.work
	}
	for _, f := range l.flows {
		if f == dominant {
			continue
		}
		head := f.requests[0]
		wait := now - head.submitted + Time(float64(ahead)/max(1, c.servingSlots))
		if head.Objective == 0 || head.missesObjective(now) || wait > Time(part*float64(c.patience(head))) {
			return false
		}
	}
	return true
}

// mayOvertake reports whether all requests that wait above the level are still served in time after one of it. One that has
// waited for long may delay them less than one that must start before them.
func (c *Cell) mayOvertake(now Time, r *request) bool {
	due, ahead := c.due(now, r), r.cost
	for _, l := range c.queue.levels {
		if l == r.level {
			break
		}
		if l.size == 0 {
			continue
		}
		ahead += l.work
		switch {
		case c.pressing(r, l.head(now)) && c.staysInTime(now, r, l, ahead, 1):
		case due && c.staysInTime(now, r, l, ahead, overtakenFraction):
		default:
			return false
		}
	}
	return true
}

// firstByPriority returns the request that is served next, or nil: of the highest level, unless one of a lower level costs no
// other its objective, or belongs to a level that falls behind and has waited for long. leastShare says that the latter
// holds. It never does twice in a row, so that levels that catch up don't take all slots from those above them.
func (c *Cell) firstByPriority(now Time) (first *request, leastShare bool) {
	for _, l := range c.queue.levels {
		r := l.head(now)
		switch {
		case r == nil:
		case first == nil:
			first = r
		case c.mayOvertake(now, r):
			return r, false
		case !c.queue.leastShareLast && c.fallsBehind(now, l) && c.due(now, r):
			return r, true
		}
	}
	return first, false
}

// pickByPriority returns the request that is served next and its target. If a request that can't be retried finds none, one
// that can may still find a target that is suspect or due for a trial.
func (c *Cell) pickByPriority(now Time) (*request, *target, Reason, bool) {
	r, leastShare := c.firstByPriority(now)
	if r == nil {
		return nil, nil, "", false
	}
	t, reason, trial := c.pick(now, r)
	if t != nil || r.retryable() {
		if t != nil {
			c.queue.leastShareLast = leastShare
		}
		return r, t, reason, trial
	}
	for _, l := range c.queue.levels {
		if r = l.head(now); r != nil && r.retryable() {
			t, reason, trial = c.pick(now, r)
			return r, t, reason, trial
		}
	}
	return nil, nil, "", false
}

// dispatchByPriority starts waiting requests while there are slots for them.
func (c *Cell) dispatchByPriority(now Time) {
	for {
		r, t, reason, trial := c.pickByPriority(now)
		if t == nil {
			return
		}
		l := r.level
		if c.tooLate(now, r, c.queue.size()-1) {
			l.remove(r)
			c.endWaiting(r, ReasonDeadline, 0)
			continue
		}
		l.virtual = max(l.virtual, l.flow(r.Account).start)
		l.charge(r.Account, r.cost)
		r.charged = r.cost
		if r.attempt == 0 {
			l.granted.add(now, r.cost)
		}
		l.remove(r)
		c.startAttempt(now, r, t, reason, trial)
	}
}

// reschedule queues all requests anew after a change of the policy.
func (c *Cell) reschedule() {
	var waiting []*request
	c.queue.each(func(r *request) {
		c.queue.remove(r)
		waiting = append(waiting, r)
	})
	c.queue.levels = nil
	for _, r := range waiting {
		c.push(r, r.attempt > 0)
	}
}

// settle charges the account of an attempt that ended with the slot time that it really took. Time without a response is
// the target's fault.
func (c *Cell) settle(now Time, r *request, o *Outcome) {
	if r.charged > 0 && c.byPriority() && o.Kind == OutcomeSuccess {
		c.queue.levelOf(r).charge(r.Account, time.Duration(now-r.started)-r.charged)
	}
	r.charged = 0
}

// displaceByPriority makes room for a new request by ending the last one of the account with the most slot time at the
// lowest level, and reports whether it did. The new request must be of a higher level, or of an account with less.
func (c *Cell) displaceByPriority(now Time, r *request) bool {
	own := c.queue.levelOf(r)
	for _, l := range slices.Backward(c.queue.levels) {
		if l.rank.compare(own.rank) < 0 {
			return false
		}
		f := l.largest()
		if f == nil {
			continue
		}
		if l == own {
			work := c.expectedServiceTime(r)
			if mine := l.flow(r.Account); mine != nil {
				work += mine.work
			}
			if work >= f.work {
				return false
			}
		}
		last := f.requests[len(f.requests)-1]
		l.remove(last)
		c.endWaiting(last, ReasonDisplacedByPriority, c.returnTime(last, c.levelWait(now, last), 0))
		return true
	}
	return false
}
