package fleet

import (
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// PathLoss names targets that an entry can't reach although a peer does.
type PathLoss struct {
	Pool    table.PoolName   `cbor:"1,keyasint" json:"pool"`
	Targets []table.TargetID `cbor:"2,keyasint,omitempty" json:"targets"`
}

// health is how likely an entry reaches its targets.
type health uint8

const (
	// healthDegraded means that the entry reports that it does not.
	healthDegraded health = iota
	// healthSuspect means that other entries of its failure domain report so.
	healthSuspect
	healthGood
)

// degradedDomains counts the degraded live entries of each failure domain.
type degradedDomains map[table.FailureDomain]int

// minDegradedEntries is how many degraded entries make their failure domain suspect. One may have a fault of its own.
const minDegradedEntries = 2

func (d *degradedDomains) add(m *Member) {
	if !m.Degraded || !m.Live {
		return
	}
	if *d == nil {
		*d = make(degradedDomains)
	}
	(*d)[m.FailureDomain]++
}

func (d degradedDomains) health(m *Member) health {
	switch {
	case m.Degraded:
		return healthDegraded
	case d[m.FailureDomain] >= minDegradedEntries:
		return healthSuspect
	}
	return healthGood
}

// degradedDomains counts the degraded entries of each failure domain, this one included.
func (m *Membership) degradedDomains() degradedDomains {
	var d degradedDomains
	for _, p := range m.peers {
		member := p.Member
		member.Live = p.live
		d.add(&member)
	}
	d.add(&Member{FailureDomain: m.FailureDomain, Degraded: m.degraded, Live: true})
	return d
}

// maxLossBytes is the maximum size of the target IDs that a degraded entry names in its heartbeats.
const maxLossBytes = 200

// SetDegraded sets whether this entry can't reach its targets, and which of them; nil means that it reaches them. A
// degraded entry hands its cells over at once. Only so many targets are announced as fit into a heartbeat.
func (m *Membership) SetDegraded(now time.Duration, lost *PathLoss) {
	m.initialize(now)
	if degraded := lost != nil; degraded != m.degraded {
		m.announceUntil = now + m.Timing.SuspectTimeout
		m.scheduleHeartbeats(now)
		m.degraded = degraded
	}
	m.lost = nil
	if lost == nil || len(lost.Targets) == 0 {
		return
	}
	m.lost = &PathLoss{Pool: lost.Pool}
	size := 0
	for _, id := range lost.Targets {
		if size += idBytes + len(id); size > maxLossBytes {
			break
		}
		m.lost.Targets = append(m.lost.Targets, id)
	}
}

// size returns the encoded size in bytes, rounded up.
func (l *PathLoss) size() int {
	if l == nil {
		return 0
	}
	n := claimBytes + len(l.Pool)
	for _, id := range l.Targets {
		n += idBytes + len(id)
	}
	return n
}
