package pool

import (
	"slices"
	"time"
)

// Limits for connection faults.
const (
	// unreachableThreshold is how many connections in a row must fail to open before the target counts as
	// unreachable. One failure may be due to a lost packet.
	unreachableThreshold = 2
	// burstWindow groups the faults of several connections into one event, since a crash or a lost link ends
	// all connections of a target together.
	burstWindow = 100 * time.Millisecond
	// lostAttemptWindow is how long after a lost connection a refused one shows that the target crashed.
	lostAttemptWindow = 3 * time.Second
	// crashExemptionTime is how long connection faults don't count after a crash that may be due to a poison
	// request.
	crashExemptionTime = 30 * time.Second
	// toleratedLost and toleratedSilent are the numbers of consecutive faults on reused connections that are no
	// evidence against the target, since the connection itself is the likelier cause.
	toleratedLost   = 1
	toleratedSilent = 2
)

// connectionState holds what was observed of a target's connections.
type connectionState struct {
	// consecutiveRefused counts connections in a row that could not be opened.
	consecutiveRefused int
	lastRefusedAt      Time
	// consecutiveFaults counts fault events in a row without a successful attempt between them.
	consecutiveFaults int
	lastFaultAt       Time
	// lostAttempts are the attempts that recently ended because their connection was lost.
	lostAttempts []lostAttempt
	// exemptUntil is the end of the exemption after a crash that may be due to a poison request.
	exemptUntil Time
	// restarted says that the target crashed or was unreachable, so that it ramps up cold.
	restarted bool
}

type lostAttempt struct {
	fingerprint Fingerprint
	at          Time
}

// collectConnection adds what an attempt shows about the target's connections, whatever its response says.
func (c *Cell) collectConnection(now Time, t *target, r *request, o *Outcome) {
	s := &t.connection
	switch o.Kind {
	case OutcomeConnectFailed:
		c.connectFailed(now, t, r)
	case OutcomeConnectionLost:
		c.connectionLost(now, t, r, o)
	case OutcomeConnectionSilent:
		c.connectionFault(now, t, r, o.NewConnection, toleratedSilent)
	case OutcomeNotStarted, OutcomeCanceled, OutcomeTimeout:
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

func (c *Cell) connectFailed(now Time, t *target, r *request) {
	if r.started < c.suspension.evidenceFrom {
		return
	}
	s := &t.connection
	s.consecutiveRefused++
	s.lastRefusedAt = now
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
	s.lostAttempts = slices.DeleteFunc(s.lostAttempts, func(l lostAttempt) bool {
		return now-l.at > Time(lostAttemptWindow)
	})
	if o.Written {
		s.lostAttempts = append(s.lostAttempts, lostAttempt{fingerprint: r.Fingerprint, at: now})
		c.poison.recordHeadLoss(now, r.Head)
		if c.poison.recordLoss(now, r.Fingerprint, t.id) {
			c.poisonFound(now, r.Fingerprint, t)
		}
	}
	c.connectionFault(now, t, r, o.NewConnection, toleratedLost)
}

// connectionFault counts a fault of a connection. Faults close together are one event, and the first ones in a
// row on reused connections are no evidence against the target.
func (c *Cell) connectionFault(now Time, t *target, r *request, newConnection bool, tolerated int) {
	s := &t.connection
	if s.consecutiveFaults > 0 && now-s.lastFaultAt < Time(burstWindow) && !newConnection {
		return
	}
	s.consecutiveFaults++
	s.lastFaultAt = now
	t.evidence.lastUnhealthyAt = now
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
