package pool

import (
	"slices"
	"time"
)

// Limits for connection faults.
const (
	// unreachableThreshold is how many connections in a row must fail to open before the target counts as
	// unreachable. One may be a lost packet.
	unreachableThreshold = 2
	// burstWindow joins faults of several connections into one event: a crash or a lost link ends all
	// of a target's connections together.
	burstWindow = 100 * time.Millisecond
	// lostAttemptWindow is how long after a lost connection a refused one shows that the target crashed.
	lostAttemptWindow = 3 * time.Second
	// crashExemptionTime is how long after a crash under suspected poison connection faults don't count.
	crashExemptionTime = 30 * time.Second
	// toleratedLost and toleratedSilent are the faults in a row on used connections that are no evidence. The
	// connection is suspected before the target.
	toleratedLost   = 1
	toleratedSilent = 2
)

// connectionState is what a target's connections did.
type connectionState struct {
	// consecutiveRefused counts connections in a row that could not be opened.
	consecutiveRefused int
	// consecutiveFaults counts fault events in a row without a working attempt between them.
	consecutiveFaults int
	lastFaultAt       Time
	// lostAttempts are the attempts that ended with their connection lately.
	lostAttempts []lostAttempt
	// exemptUntil follows a crash under suspected poison.
	exemptUntil Time
	// restarted says that the target crashed, so that it starts cold.
	restarted bool
}

type lostAttempt struct {
	fingerprint Fingerprint
	at          Time
}

// collectConnection takes what an attempt says of connections, apart from what it says of the target.
func (c *Cell) collectConnection(now Time, t *target, r *request, o *Outcome) {
	s := &t.connection
	switch o.Kind {
	case OutcomeConnectFailed:
		c.connectFailed(now, t)
	case OutcomeConnectionLost:
		c.connectionLost(now, t, r, o)
	case OutcomeConnectionSilent:
		c.connectionFault(now, t, r, o.NewConnection, toleratedSilent)
	case OutcomeNotStarted, OutcomeCancelled, OutcomeTimeout:
	default:
		s.consecutiveRefused = 0
		c.reachable(now, t)
		if r.started > s.lastFaultAt {
			s.consecutiveFaults = 0
			if !c.tracksEpisodes() {
				t.evidence.connectionFaults.add(failureTest90.logRatio(false, minBaselineRatio))
			}
		}
		if o.Kind == OutcomeSuccess {
			c.poison.clearSuspicion(r.Fingerprint)
		}
	}
}

func (c *Cell) connectFailed(now Time, t *target) {
	s := &t.connection
	s.consecutiveRefused++
	c.confirmCrash(now, t)
	if s.consecutiveRefused < unreachableThreshold && t.state != TargetUnreachable {
		return
	}
	if t.state == TargetServing || t.state == TargetAvoided {
		c.setState(now, t, TargetUnreachable, ReasonConnections, EventUnreachable, 0, 0, s.consecutiveRefused)
		t.trial.reset(now, reconnectInterval)
	}
}

// reachable returns an unreachable target to service after a connection worked.
func (c *Cell) reachable(now Time, t *target) {
	s := &t.connection
	if t.state == TargetUnreachable {
		s.restarted = true
		t.evidence.reset()
		c.setState(now, t, TargetServing, ReasonRecovered, EventReachable, 0, 0, 0)
	}
	if s.restarted {
		s.restarted = false
		t.rampCold(now)
		c.refreshLimits(now)
	}
}

func (c *Cell) connectionLost(now Time, t *target, r *request, o *Outcome) {
	s := &t.connection
	s.lostAttempts = slices.DeleteFunc(s.lostAttempts, func(l lostAttempt) bool { return now-l.at > Time(lostAttemptWindow) })
	if o.Written {
		s.lostAttempts = append(s.lostAttempts, lostAttempt{fingerprint: r.Fingerprint, at: now})
		if c.poison.recordLoss(now, r.Fingerprint, t.id) {
			c.poisonFound(now, r.Fingerprint, t)
		}
	}
	c.connectionFault(now, t, r, o.NewConnection, toleratedLost)
}

// connectionFault counts a fault of a connection. Faults close together are one event, and the first
// ones in a row on used connections are no evidence against the target.
func (c *Cell) connectionFault(now Time, t *target, r *request, newConnection bool, tolerated int) {
	s := &t.connection
	if s.consecutiveFaults > 0 && now-s.lastFaultAt < Time(burstWindow) && !newConnection {
		return
	}
	s.consecutiveFaults++
	s.lastFaultAt = now
	t.evidence.lastBadAt = now
	if now < s.exemptUntil || r.started < c.suspension.evidenceFrom {
		return
	}
	if c.tracksEpisodes() {
		return
	}
	if s.consecutiveFaults > tolerated || (newConnection && s.consecutiveFaults > 1) {
		t.evidence.connectionFaults.add(failureTest90.logRatio(true, minBaselineRatio))
	}
}
