package pool

import (
	"github.com/bilberrywood/bilberrywood/fleet"
)

// abandonProbability is the probability that an attempt gets no response from which another target is the better
// chance.
const abandonProbability = 0.5

// abandonHanging abandons attempts of retryable requests that probably hang, as long as a trusted target has a free
// slot and could still respond in time. If they waited for their deadline, the requests would be lost.
func (c *Cell) abandonHanging(now Time) {
	if !c.tracksEpisodes() || c.ownership == fleet.NotOwner || c.injectedFaults.neverAbandon {
		return
	}
	spareSlots, counted := 0, false
	for i := range c.requests.len() {
		r := c.requests.at(i)
		if !c.mayAbandon(now, r) {
			continue
		}
		if !counted {
			spareSlots, counted = c.SpareSlots(now), true
		}
		if spareSlots <= 0 || c.retriesLeft(now) < 1 {
			return
		}
		spareSlots--
		r.abandoned = true
		c.reserveRetry(r)
		c.decisions = append(c.decisions, Decision{
			Kind: DecisionAbandon, Request: r.ID, Target: r.target.id, Attempt: r.attempt, Reason: ReasonHanging,
		})
	}
}

// mayAbandon reports whether the request has an attempt that probably hangs, and may have another one that would
// end in time.
func (c *Cell) mayAbandon(now Time, r *request) bool {
	if r.phase != phaseInFlight || r.abandoned || r.canceled || !r.retryable() || r.Deadline == 0 {
		return false
	}
	// At a suspect target the probability is high from the start, but a young attempt says nothing yet. A request that
	// others have overtaken at its target is more likely to be a long one, which would take as long elsewhere.
	age := asDuration(now - r.started)
	if Time(r.comparableTime(age)) < c.stats.ordinary.rareAge || age < minUnresponsiveTime || r.target.newestAnswered > r.started {
		return false
	}
	return !r.attemptsSpent() && now <= c.latestStart(r, 1) && c.hangProbability(now, r, 1) >= abandonProbability
}
