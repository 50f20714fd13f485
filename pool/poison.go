package pool

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Times and limits of the detection of poison requests.
const (
	// suspicionTime is how long a request whose connection was lost stays suspected without a success.
	suspicionTime = time.Minute
	// refusalTime is how long a poison request is refused.
	refusalTime = 10 * time.Minute
	// poisonCrashThreshold is the number of crashed targets from which a request is poison.
	poisonCrashThreshold = 2
	// crashConfirmTime is how long a request that lost its connection at two targets waits for other requests
	// or probes to show whether the targets crashed.
	crashConfirmTime = time.Second
	// poisonLossThreshold is the number of targets with a lost connection from which a request is poison
	// although no crash was seen, as with targets that restart at once.
	poisonLossThreshold = 3
	// maxSuspectedHeads is the maximum number of suspected heads of a cell.
	maxSuspectedHeads = 1024
)

// poisonTable holds the fingerprints of requests whose connections were lost while they ran, and of poison
// requests that other entries found.
type poisonTable struct {
	rows rows[Fingerprint, poisonRow]
	// heads has the end of the suspicion of heads whose request lost its connection before its body was known. They
	// are never refused, since other requests have the same head.
	heads rows[Fingerprint, Time]
	// requireCrash says that lost connections without a crash don't make a request poison, because targets lose
	// many connections for other reasons.
	requireCrash bool
	// nextSweep is the time of the next removal of expired rows.
	nextSweep Time
}

type poisonRow struct {
	suspectUntil Time
	refusedUntil Time
	// heldUntil is the time before which the request does not run again, because a crash that would decide
	// whether it is poison has not been confirmed yet.
	heldUntil Time
	// imported rows came from another entry and are not passed on.
	imported bool
	losses   []table.TargetID
	crashes  []table.TargetID
}

func (p *poisonTable) refused(now Time, f Fingerprint) bool {
	row := p.rows.get(f)
	return row != nil && now < row.refusedUntil
}

func (p *poisonTable) retryAfter(now Time, f Fingerprint) time.Duration {
	row := p.rows.get(f)
	if row == nil {
		return 0
	}
	return time.Duration(max(0, row.refusedUntil-now))
}

func (p *poisonTable) suspected(now Time, f Fingerprint) bool {
	row := p.rows.get(f)
	return row != nil && now < row.suspectUntil
}

// held reports whether the request must not run yet.
func (p *poisonTable) held(now Time, f Fingerprint) bool {
	row := p.rows.get(f)
	return row != nil && now < row.heldUntil
}

// recordLoss records that the request's connection was lost, and reports whether that makes the request poison. A
// fingerprint of 0 is ignored.
func (p *poisonTable) recordLoss(now Time, f Fingerprint, id table.TargetID) bool {
	if f == 0 {
		return false
	}
	row, _ := p.rows.add(f)
	row.suspectUntil = now + Time(suspicionTime)
	if slices.Contains(row.losses, id) {
		return false
	}
	row.losses = append(row.losses, id)
	if len(row.losses) >= poisonCrashThreshold && !p.requireCrash {
		row.heldUntil = now + Time(crashConfirmTime)
	}
	return !p.requireCrash && len(row.losses) >= poisonLossThreshold && p.markPoison(now, row)
}

// recordCrash records that a target crashed while it ran the request, and reports whether that makes the
// request poison.
func (p *poisonTable) recordCrash(now Time, f Fingerprint, id table.TargetID) bool {
	row := p.rows.get(f)
	if f == 0 || row == nil || slices.Contains(row.crashes, id) {
		return false
	}
	row.crashes = append(row.crashes, id)
	return len(row.crashes) >= poisonCrashThreshold && p.markPoison(now, row)
}

// recordHeadLoss records that a request whose body isn't known lost its connection. A head of 0 is ignored.
func (p *poisonTable) recordHeadLoss(now Time, head Fingerprint) {
	if head == 0 || p.heads.get(head) == nil && p.heads.len() >= maxSuspectedHeads {
		return
	}
	until, _ := p.heads.add(head)
	*until = now + Time(suspicionTime)
}

func (p *poisonTable) markPoison(now Time, row *poisonRow) bool {
	if now < row.refusedUntil {
		return false
	}
	row.refusedUntil = now + Time(refusalTime)
	return true
}

// clearSuspicion removes a suspected request that succeeded. A poison request would crash every target that
// runs it.
func (p *poisonTable) clearSuspicion(f Fingerprint) {
	if p.rows.len() == 0 {
		return
	}
	if row := p.rows.get(f); row != nil && row.refusedUntil == 0 {
		p.rows.remove(f)
	}
}

func (p *poisonTable) expire(now Time) {
	if p.rows.len()+p.heads.len() == 0 || now < p.nextSweep {
		return
	}
	p.nextSweep = now + Time(time.Second)
	for i := p.heads.len() - 1; i >= 0; i-- {
		if r := p.heads.list[i]; now >= r.value {
			p.heads.remove(r.key)
		}
	}
	for i := p.rows.len() - 1; i >= 0; i-- {
		r := p.rows.list[i]
		if now >= r.value.suspectUntil && now >= r.value.refusedUntil {
			p.rows.remove(r.key)
		}
	}
}

// SuspectsHead reports whether a request with the head recently lost its connection while its body wasn't known. The
// next ones are to be submitted with a fingerprint of their body, so that they take part in the detection.
func (c *Cell) SuspectsHead(now Time, head Fingerprint) bool {
	until := c.poison.heads.get(head)
	return until != nil && now < *until
}

// PoisonFingerprints returns the fingerprints that this cell refuses by its own evidence, for other entries.
func (c *Cell) PoisonFingerprints() []Fingerprint {
	var fingerprints []Fingerprint
	for i := range c.poison.rows.len() {
		r := c.poison.rows.list[i]
		if !r.value.imported && c.lastTick < r.value.refusedUntil {
			fingerprints = append(fingerprints, r.key)
		}
	}
	return fingerprints
}

// ImportPoison refuses fingerprints that another entry found to be poison. Repeated reports don't extend the
// time, so that entries can't keep a fingerprint alive by reporting it to each other.
func (c *Cell) ImportPoison(now Time, fingerprints []Fingerprint) {
	c.beginCall(now)
	for _, f := range fingerprints {
		if f == 0 {
			continue
		}
		row, _ := c.poison.rows.add(f)
		if row.refusedUntil > 0 {
			continue
		}
		row.imported = true
		row.refusedUntil = now + Time(refusalTime)
		c.refusePoison(now, f)
	}
}

// confirmCrash is called when a target that lost connections accepts no new ones. If the crash may be due to
// requests that ran on the target, its connection faults are not held against it.
func (c *Cell) confirmCrash(now Time, t *target) {
	s := &t.connection
	suspects := 0
	for _, l := range s.lostAttempts {
		if l.fingerprint == 0 || now-l.at > Time(lostAttemptWindow) {
			continue
		}
		suspects++
		if c.poison.recordCrash(now, l.fingerprint, t.id) {
			c.poisonFound(now, l.fingerprint, t)
		}
	}
	if len(s.lostAttempts) == 0 {
		return
	}
	s.lostAttempts = s.lostAttempts[:0]
	s.restarted = true
	c.emit(Event{At: now, Kind: EventCrashed, Target: t.id, Reason: ReasonConnections, Samples: suspects})
	if suspects > 0 {
		s.exemptUntil = now + Time(crashExemptionTime)
		t.evidence.connectionFaults.reset()
	}
}

func (c *Cell) poisonFound(now Time, f Fingerprint, t *target) {
	c.emit(Event{At: now, Kind: EventPoison, Target: t.id, Fingerprint: f, Reason: ReasonConnections})
	c.refusePoison(now, f)
}

// refusePoison refuses the waiting requests with the fingerprint.
func (c *Cell) refusePoison(now Time, f Fingerprint) {
	delay := c.poison.retryAfter(now, f)
	c.queue.each(func(r *request) {
		if r.Fingerprint == f {
			c.queue.remove(r)
			c.endWaiting(r, ReasonPoison, delay)
		}
	})
	kept := c.delayed[:0]
	for _, r := range c.delayed {
		if r.Fingerprint == f {
			c.endWaiting(r, ReasonPoison, delay)
			continue
		}
		kept = append(kept, r)
	}
	c.delayed = kept
}
