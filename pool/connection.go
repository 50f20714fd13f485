package pool

import (
	"slices"
	"time"
)

// Limits for connection faults.
const (
	// refusedLimit is how many connections in a row must fail to open before the target counts as
	// unreachable. One may be a lost packet.
	refusedLimit = 2
	// burstWindow joins faults of several connections into one event: a crash or a lost link ends all
	// of a target's connections together.
	burstWindow = 100 * time.Millisecond
	// lostMemory is how long after a lost connection a refused one shows that the target crashed.
	lostMemory = 3 * time.Second
	// blamelessTime is how long after a crash under suspected poison connection faults don't count.
	blamelessTime = 30 * time.Second
	// freeLost and freeSilent are the faults in a row on used connections that are no evidence. The
	// connection is suspected before the target.
	freeLost   = 1
	freeSilent = 2
)

// connectionState is what a target's connections did.
type connectionState struct {
	// refused counts connections in a row that could not be opened.
	refused int
	// streak counts fault events in a row without a working attempt between them.
	streak    int
	lastFault Time
	// lost are the attempts that ended with their connection lately.
	lost []lostAttempt
	// blamelessUntil follows a crash under suspected poison.
	blamelessUntil Time
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
		c.connectionFault(now, t, r, o.NewConnection, freeSilent)
	case OutcomeNotStarted, OutcomeCancelled, OutcomeTimeout:
	default:
		s.refused = 0
		c.reachable(now, t)
		if r.started > s.lastFault {
			s.streak = 0
			if !c.spells() {
				t.evidence.connections.add(llrFailure90.of(false, baseFailureRatio))
			}
		}
		if o.Kind == OutcomeSuccess {
			c.poison.clear(r.Fingerprint)
		}
	}
}

func (c *Cell) connectFailed(now Time, t *target) {
	s := &t.connection
	s.refused++
	c.confirmCrash(now, t)
	if s.refused < refusedLimit && t.state != TargetUnreachable {
		return
	}
	if t.state == TargetServing || t.state == TargetAvoided {
		c.setState(now, t, TargetUnreachable, ReasonConnections, EventUnreachable, 0, 0, s.refused)
		t.trial.reset(now, firstReconnect)
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
	s.lost = slices.DeleteFunc(s.lost, func(l lostAttempt) bool { return now-l.at > Time(lostMemory) })
	if o.Written {
		s.lost = append(s.lost, lostAttempt{fingerprint: r.Fingerprint, at: now})
		if c.poison.lost(now, r.Fingerprint, t.id) {
			c.poisoned(now, r.Fingerprint, t)
		}
	}
	c.connectionFault(now, t, r, o.NewConnection, freeLost)
}

// connectionFault counts a fault of a connection. Faults close together are one event, and the first
// ones in a row on used connections are no evidence against the target.
func (c *Cell) connectionFault(now Time, t *target, r *request, fresh bool, free int) {
	s := &t.connection
	if s.streak > 0 && now-s.lastFault < Time(burstWindow) && !fresh {
		return
	}
	s.streak++
	s.lastFault = now
	t.evidence.badAt = now
	if now < s.blamelessUntil || r.started < c.doubt.evidenceFrom {
		return
	}
	if c.spells() {
		return
	}
	if s.streak > free || (fresh && s.streak > 1) {
		t.evidence.connections.add(llrFailure90.of(true, baseFailureRatio))
	}
}
