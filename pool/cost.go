package pool

import (
	"math"
	"time"

	"github.com/bilberrywood/bilberrywood/cost"
)

// balanceWeight is the weight of an even load against the completion of the request. It keeps room at targets that
// don't slow down under load.
const balanceWeight = 0.25

// maxOrdinarySlowness is by how much the speeds of sound targets are taken to differ.
const maxOrdinarySlowness = 2.0

// costs is what the cell has learned of the work of requests and the speed of targets. It outlives changes of the tables,
// and starts empty at a new owner.
type costs struct {
	estimator cost.Estimator
	speeds    cost.Speeds
}

// requestWork is the expected work of a request, in seconds at a target of median speed.
type requestWork struct {
	estimate cost.Estimate
	// estimated says that estimate is set; it is made once, when a target is first chosen.
	estimated bool
	// expected is the whole work, and remaining what was left at the last tick; 0 if nothing is known.
	expected, remaining float64
	// crowded is targetWork.crowded when the attempt began.
	crowded float64
	// timeScale makes the time that the attempt takes comparable with those of other requests; 0 means 1.
	timeScale float64
}

// targetWork is what the cell has learned of how fast a target works.
type targetWork struct {
	speed cost.Speed
	// crowded is the integral of the crowding over time, in seconds, until crowdedAt.
	crowded   float64
	crowdedAt Time
}

// crowding is how nearly full a target is: 0 up to half of its slots, and 1 if it is full.
func crowding(occupancy float64) float64 { return min(1, max(0, 2*occupancy-1)) }

// advance adds up the crowding. It is called before the attempts in flight change.
func (w *targetWork) advance(now Time, t *target) {
	w.crowded += crowding(float64(t.inFlight)/float64(max(1, t.limit))) * asDuration(now-w.crowdedAt).Seconds()
	w.crowdedAt = now
}

// minTellingWork is the work, as a fraction of the mean service time, from which service times say something about the
// speed of a target, or count in proportion to the work. Shorter ones say more about the network.
const minTellingWork = 0.25

// ordinaryReason is the reason of attempts at the best of the trusted targets.
func (c *Cell) ordinaryReason() Reason {
	if c.Policy.CostAware && c.costs.estimator.Known() {
		return ReasonCompletion
	}
	return ReasonLeastInFlight
}

// load returns how unfavorable a target is for a request because of what it has to do and of its speed, where 0 is an
// idle and 1 a full target of median speed. It is the fraction of its slots in use until something is known of costs.
//
// Then it is the logarithm of the time that the request would add, its own and that of the requests that it slows down,
// by its work, and a share for an even load. Requests at the target count by the fraction of the work of this one for
// which they are expected to stay.
func (c *Cell) load(t *target, r *request) float64 {
	limit := float64(t.limit)
	if !c.Policy.CostAware {
		return float64(t.inFlight) / limit
	}
	c.estimateWork(r)
	expected := r.work.expected
	if expected == 0 {
		return float64(t.inFlight) / limit
	}
	overlap := 0.0
	for _, a := range t.attempts {
		if a.work.expected == 0 || a.work.remaining >= expected {
			overlap++
			continue
		}
		overlap += a.work.remaining / expected
	}
	slowness := t.work.speed.LogSlowness()
	if !t.inUse(c.lastCall) && t.work.speed.Slowness() <= maxOrdinarySlowness {
		// Otherwise the slower ones of sound targets would get nothing under a low load, and what is known of them would
		// grow old.
		slowness = c.costs.speeds.LeastLogSlowness()
	}
	load := slowness + balanceWeight*overlap/limit
	if with := crowding((overlap + 1) / limit); with > 0 {
		load += math.Log(1 + t.work.speed.Slope()*(with+overlap*(with-crowding(overlap/limit))))
	}
	return load / (c.costs.speeds.MeanSlope() + balanceWeight)
}

func (c *Cell) estimateWork(r *request) {
	if r.work.estimated {
		return
	}
	r.work.estimate = c.costs.estimator.Estimate(r.Cost)
	r.work.estimated = true
	r.work.expected = r.work.estimate.Seconds()
}

// startWork notes the work of an attempt that begins. It returns the expected work and the expected time until the target
// has done what it already has.
func (c *Cell) startWork(now Time, t *target, r *request) (expected, ahead time.Duration) {
	if !c.Policy.CostAware {
		return 0, 0
	}
	c.estimateWork(r)
	t.work.advance(now, t)
	r.work.remaining = r.work.expected
	r.work.crowded = t.work.crowded
	r.work.timeScale = c.timeScale(t, r)
	return seconds(r.work.expected), t.outstanding()
}

// timeScale returns by what a service time is multiplied before it is compared with those of other targets. It is then
// as if the request were an ordinary one. Targets differ in speed and still serve well, so a known slowness is left out
// too: it counts in the choice of targets. The farther it is beyond maxOrdinarySlowness, the less is left out, and none
// from its square on: such a target has a fault.
func (c *Cell) timeScale(t *target, r *request) float64 {
	slowness := max(1/maxOrdinarySlowness, t.work.speed.Slowness())
	if slowness > maxOrdinarySlowness {
		slowness = max(1, maxOrdinarySlowness*maxOrdinarySlowness/slowness)
	}
	scale := 1 / slowness
	if mean := c.queue.meanServiceTime.Seconds(); r.work.expected > 0 && r.work.expected >= minTellingWork*mean {
		scale *= mean / r.work.expected
	}
	return scale
}

// comparableTime returns the time that an attempt has taken as it is compared with those of other requests.
func (r *request) comparableTime(d time.Duration) time.Duration {
	if r.work.timeScale == 0 {
		return d
	}
	return time.Duration(float64(d) * r.work.timeScale)
}

// overtaken reports whether requests that started later at the target were answered earlier. The request is then more
// likely to be costly than its target to be slow, where costs are known to differ.
func (c *Cell) overtaken(t *target, r *request) bool {
	return c.Policy.CostAware && t.newestAnswered > r.started
}

// outstanding returns the expected time until the target has done its work, if all of its slots shared it evenly.
func (t *target) outstanding() time.Duration {
	work := 0.0
	for _, a := range t.attempts {
		work += a.work.remaining
	}
	return seconds(work * t.work.speed.Slowness() / float64(max(1, t.limit)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateWork recomputes the work that is left of the attempts in flight, and compares the speeds of the targets.
func (c *Cell) updateWork(now Time) {
	if !c.Policy.CostAware {
		return
	}
	c.costs.speeds.Settle(func(yield func(*cost.Speed) bool) {
		for i := range c.targets.len() {
			if t := c.targets.at(i); t.state != TargetLeaving && !yield(&t.work.speed) {
				return
			}
		}
	})
	for i := range c.targets.len() {
		t := c.targets.at(i)
		slowness := t.work.speed.Slowness()
		for _, a := range t.attempts {
			a.work.remaining = a.work.estimate.Remaining(asDuration(now-a.started).Seconds() / slowness)
		}
	}
}

// collectWork learns from a response. A target with cold caches is as slow as it is only for now, and the service time of
// an upload depends on its sender: neither says anything about speeds.
func (c *Cell) collectWork(t *target, r *request, o *Outcome) {
	if !c.Policy.CostAware || o.Kind != OutcomeSuccess || o.ServiceTime <= 0 || r.cold {
		return
	}
	e := c.costs.estimator.Estimate(r.Cost)
	tells := e.Known() && !r.Upload && e.Duration() >= time.Duration(minTellingWork*float64(c.queue.meanServiceTime))
	if tells && t.work.crowdedAt > r.started {
		crowded := max(0, t.work.crowded-r.work.crowded) / asDuration(t.work.crowdedAt-r.started).Seconds()
		deviation := math.Log(o.ServiceTime.Seconds()) - e.LogMedian()
		c.costs.speeds.Observe(&t.work.speed, deviation, crowded)
	}
	service := time.Duration(float64(o.ServiceTime) / t.work.speed.Slowness())
	c.costs.estimator.Observe(r.Cost, service, t.work.speed.Confidence())
}

// ExpectedServiceTime returns how long the request is expected to occupy a slot at a target of median speed; 0 if nothing
// is known.
func (c *Cell) ExpectedServiceTime(r *Request) time.Duration {
	return c.costs.estimator.Expected(r.Cost)
}
