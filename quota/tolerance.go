package quota

import "time"

// Time is the time since the process started, suspensions of the VM included.
type Time = time.Duration

// Limit is the quota of an account over all entries.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Tolerance bounds how many requests may run in any Window: (rate * Window + burst) * (1 + Excess) + Slack.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Bound returns how many requests may run in a window.
func (t Tolerance) Bound(l Limit) float64 {
	return (l.RatePerSecond*t.Window.Seconds()+l.Burst)*(1+t.Excess) + t.Slack
}

// CreditValidity is how long credit may be spent, from when it was asked for. Credit from just before a window counts
// against the window.
const CreditValidity = 250 * time.Millisecond

// ownerOverlap is how long two entries may both hand out credit for an account. That happens if the heartbeats of an
// owner are lost while it receives those of its peers: it learns of it from their next heartbeat.
const ownerOverlap = 500 * time.Millisecond

// How the bound of a window is divided. What entries may spend without an owner is aloneRateShare of the part that grows
// with the rate, and aloneSlack of the slack. The rest is the owner's.
const (
	aloneRateShare = 0.03
	aloneSlack     = 0.2
)

// The capacity of an owner's bucket lasts for at least minCapacityTime at the rate at which it is filled, and is at least
// minCapacity requests. Rate serves more requests in a window than capacity does, and requests can wait. The burst is
// admitted within burstTime.
const (
	minCapacityTime = 150 * time.Millisecond
	minCapacity     = 4
	burstTime       = 500 * time.Millisecond
)

// allowance describes a token bucket.
type allowance struct {
	// perSecond is the rate at which it is filled up to capacity.
	perSecond float64
	capacity  float64
}

func (a allowance) times(share float64) allowance {
	return allowance{perSecond: a.perSecond * share, capacity: a.capacity * share}
}

// ownerless is what all entries together may spend in a window without the owner.
func (t Tolerance) ownerless(l Limit) float64 {
	return aloneRateShare*l.RatePerSecond*t.Window.Seconds()*(1+t.Excess) + aloneSlack*t.Slack
}

// owner returns the bucket of an account at its owner. What is spent in a window was granted within the window or
// CreditValidity before it, by at most two owners, of which the second one started with nothing:
// capacity + perSecond * (Window + CreditValidity + ownerOverlap) + ownerless is the bound.
func (t Tolerance) owner(l Limit) allowance {
	bound := t.Bound(l) - t.ownerless(l)
	span := (t.Window + CreditValidity + ownerOverlap).Seconds()
	perSecond := min(bound/(span+minCapacityTime.Seconds()), (bound-min(minCapacity, bound))/span)
	if perSecond*burstTime.Seconds()+bound-span*perSecond < l.Burst {
		perSecond = (bound - l.Burst) / (span - burstTime.Seconds())
	}
	return allowance{perSecond: perSecond, capacity: bound - span*perSecond}
}

// alone returns the bucket of an account at each of the spenders, from which it spends without the owner. In a window
// all of them together spend at most what owner leaves of the bound.
func (t Tolerance) alone(l Limit, spenders int) allowance {
	if spenders < 1 {
		return allowance{}
	}
	each := t.ownerless(l) / float64(spenders)
	if each < 1 {
		return allowance{}
	}
	capacity := max(1, each/2)
	return allowance{perSecond: (each - capacity) / t.Window.Seconds(), capacity: capacity}
}
