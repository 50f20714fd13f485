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
const CreditValidity = 300 * time.Millisecond

// ownerOverlap is how long two entries may both hand out credit for an account. That happens if the heartbeats of an
// owner are lost while it receives those of its peers: it learns of it from their next heartbeat.
const ownerOverlap = 500 * time.Millisecond

// How the bound of a window is divided. The owner's credit gets ownerRateShare of the part that grows with the rate, and the
// whole part of the burst. Of the slack, capacitySlack adds to the owner's burst and rateSlack to what it hands out in a
// window. The rest is what entries without an owner may spend. More rate serves accounts with a low quota better than
// more burst: their requests come in irregular intervals.
const (
	ownerRateShare = 0.97
	capacitySlack  = 0.30
	rateSlack      = 0.35
	aloneRateShare = 1 - ownerRateShare
	aloneSlack     = 1 - capacitySlack - rateSlack
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

// rateBound is the part of the bound of a window that grows with the rate.
func (t Tolerance) rateBound(l Limit) float64 {
	return l.RatePerSecond * t.Window.Seconds() * (1 + t.Excess)
}

// owner returns the bucket of an account at its owner. What is spent in a window was granted within the window or
// CreditValidity before it, by at most two owners, of which the second one started with nothing:
// capacity + perSecond * (Window + CreditValidity + ownerOverlap) plus what alone allows is at most the bound.
func (t Tolerance) owner(l Limit) allowance {
	span := (t.Window + CreditValidity + ownerOverlap).Seconds()
	return allowance{
		perSecond: (ownerRateShare*t.rateBound(l) + rateSlack*t.Slack) / span,
		capacity:  l.Burst*(1+t.Excess) + capacitySlack*t.Slack,
	}
}

// alone returns the bucket of an account at each of the spenders, from which it spends without the owner. In a window
// all of them together spend at most what owner leaves of the bound.
func (t Tolerance) alone(l Limit, spenders int) allowance {
	if spenders < 1 {
		return allowance{}
	}
	each := (aloneRateShare*t.rateBound(l) + aloneSlack*t.Slack) / float64(spenders)
	if each < 1 {
		return allowance{}
	}
	capacity := max(1, each/2)
	return allowance{perSecond: (each - capacity) / t.Window.Seconds(), capacity: capacity}
}
