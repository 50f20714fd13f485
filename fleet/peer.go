package fleet

import (
	"slices"
	"time"
)

// rankable returns what the peer is ranked by.
func (p *peer) rankable() rankable {
	return rankable{hash: p.hash, unfit: p.Degraded, capacity: p.Capacity, domain: p.FailureDomain}
}

// never lies before every time that is passed in; it is small enough that differences don't overflow.
const never = -100 * 365 * 24 * time.Hour

// peer is the row of one other entry.
type peer struct {
	Member
	name nameKey
	hash hash64
	seed bool
	// listed and listLeave come from the latest fleet list.
	listed, listLeave bool
	// unlistedAt is since when no fleet list named the entry.
	unlistedAt time.Duration
	// listSure says that a list named the current incarnation and not only a former one.
	listSure bool
	// firstHeard is the time of the current incarnation's first heartbeat, or of the row's start.
	firstHeard time.Duration
	addedAt    time.Duration

	// heardAt is the time of the last heartbeat of the current incarnation.
	heardAt  time.Duration
	sequence uint64
	// reportAt is the time of the last heartbeat whose report on links could be decoded.
	reportAt time.Duration
	hearsMe  bool
	// knewMe says that this incarnation of the peer has reported hearing this entry at least once,
	// so it can't be sole while it does not hear this entry.
	knewMe bool
	links  KeySet
	digest uint64
	// reportedAt is when a live peer last reported a two-way link with this one.
	reportedAt time.Duration

	// claims is replaced, never changed, because views share it.
	claims []peerClaim
	poison []uint64
	reader bool
	left   bool
	// sentAt is when a heartbeat was last sent to the peer.
	sentAt time.Duration
	// toldProminentAt is when a peer last introduced this one as prominent.
	toldProminentAt time.Duration
	// told is the period that this heartbeat promised.
	told time.Duration
	// promised is the longest time until the peer's next heartbeat, as it said itself.
	promised time.Duration

	link          LinkState
	live          bool
	via           EntryID
	servingUntil  time.Duration
	eligibleUntil time.Duration
}

// peerClaim is a claim of a peer and when it was last repeated. A released claim is kept for a
// while, because it tells the next owner what was ejected.
type peerClaim struct {
	CellClaim
	at       time.Duration
	released bool
}

func newPeer(now time.Duration, id EntryID) *peer {
	return &peer{
		Member:          Member{ID: id},
		name:            nameKeyOf(id),
		hash:            hashOf(string(id)),
		addedAt:         now,
		unlistedAt:      now,
		firstHeard:      now,
		heardAt:         never,
		sentAt:          never,
		toldProminentAt: never,
		reportAt:        never,
		reportedAt:      never,
		servingUntil:    never,
		eligibleUntil:   never,
	}
}

// fromList takes what the fleet list says. What the entry says of itself comes first.
func (p *peer) fromList(r ListedEntry) {
	p.listed, p.listLeave = true, r.Leaving
	if p.heardAt == never || p.PeerAddress == "" {
		p.FailureDomain = r.FailureDomain
		p.PeerAddress = r.PeerAddress
		p.CallerAddress = r.CallerAddress
	}
}

// noteListing keeps since when the entry is missing from the list. A list that names the entry when
// it must have caught up with its start means the current incarnation; earlier it may mean a former one.
func (p *peer) noteListing(now, lag time.Duration) {
	switch {
	case p.listed:
		p.listSure = p.listSure || now-p.firstHeard >= lag
		p.unlistedAt = never
	case p.unlistedAt == never:
		p.unlistedAt = now
	}
}

// lastSign is the latest time at which the entry showed that it exists.
func (p *peer) lastSign() time.Duration { return max(p.heardAt, p.reportedAt, p.addedAt) }

// moveTimers moves all timers by the time that this entry did not run.
func (p *peer) moveTimers(gap time.Duration) {
	for _, at := range []*time.Duration{&p.heardAt, &p.reportAt, &p.reportedAt, &p.unlistedAt} {
		if *at != never {
			*at += gap
		}
	}
	p.claims = slices.Clone(p.claims)
	for i := range p.claims {
		p.claims[i].at += gap
	}
}

// replace starts over with a new incarnation. Claims stay as released ones.
func (p *peer) replace(now time.Duration, i Incarnation) {
	p.firstHeard = now
	p.listSure = false
	p.Incarnation = i
	p.sequence = 0
	p.hearsMe, p.knewMe, p.left = false, false, false
	p.links, p.digest = nil, 0
	p.reportAt = never
}

// patienceBeats is how many promised heartbeats may be late or lost before a peer counts as silent.
const patienceBeats = 2.5

// patience is how long a peer may be silent.
func (m *Membership) patience(p *peer) time.Duration {
	return max(m.Timing.SuspectTimeout, time.Duration(patienceBeats*float64(p.promised)))
}

// fresh says that the peer may own cells as far as its last sign tells. In a star only a peer's own heartbeats
// count: those that may own cells beat fast, and what others report may be seconds old.
func (m *Membership) fresh(now time.Duration, p *peer) bool {
	return !m.star() || now-p.heardAt <= m.Timing.SuspectTimeout
}

// linkOf returns the state of the direct link.
func (m *Membership) linkOf(now time.Duration, p *peer) LinkState {
	patience := m.patience(p)
	if now-p.heardAt > patience {
		return LinkSilent
	}
	if !p.hearsMe || now-p.reportAt > patience {
		return LinkInboundOnly
	}
	return LinkTwoWay
}

// relayTo finds a peer with a two-way link to this entry that reports a two-way link with p. Of
// several the one with the highest rendezvous weight is taken, so that relaying is spread.
func (m *Membership) relayTo(now time.Duration, p *peer) (EntryID, bool) {
	var best *peer
	for _, q := range m.peers {
		if q == p || m.linkOf(now, q) != LinkTwoWay || q.State == StateStarting || !q.links.hasName(p.name) {
			continue
		}
		if best == nil || weight(q.hash, p.hash) > weight(best.hash, p.hash) {
			best = q
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// absent reports whether the entry is confirmed not to run: it said that it was leaving and fell
// silent, or neither this entry nor any live peer had a sign of it for the gone time and a fleet
// list that came afterwards does not name it. A list that does not name this entry either is older
// than this entry and confirms nothing.
func (m *Membership) absent(now time.Duration, p *peer) bool {
	if m.faults.listAbsenceOnly && m.hasList && !p.listed {
		return true
	}
	if now-p.lastSign() <= m.Timing.GoneTimeout {
		return false
	}
	if p.left {
		return true
	}
	if p.listed || !m.listed || m.listAt <= p.lastSign() {
		return false
	}
	return p.listSure || now-max(p.unlistedAt, p.lastSign()) > m.Timing.MaxListLag
}
