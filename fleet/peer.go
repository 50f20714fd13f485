package fleet

import (
	"slices"
	"time"
)

// rankAttributes returns what the peer is ranked by.
func (p *peer) rankAttributes() rankAttributes {
	return rankAttributes{hash: p.hash, degraded: p.Degraded, capacity: p.Capacity, domain: p.FailureDomain}
}

// never lies before every time that is passed in; it is small enough that differences don't overflow.
const never = -100 * 365 * 24 * time.Hour

// peer is the row of one other entry.
type peer struct {
	Member
	name nameKey
	hash hash64
	seed bool
	// listed and listedLeaving come from the latest fleet list.
	listed, listedLeaving bool
	// unlistedSince is since when no fleet list named the entry.
	unlistedSince time.Duration
	// incarnationListed says that a list named the current incarnation and not only a former one.
	incarnationListed bool
	// firstHeardAt is the time of the current incarnation's first heartbeat, or of the row's start.
	firstHeardAt time.Duration
	addedAt      time.Duration

	// heardAt is the time of the last heartbeat of the current incarnation.
	heardAt  time.Duration
	sequence uint64
	// linksReceivedAt is the time of the last heartbeat whose report on links could be decoded.
	linksReceivedAt time.Duration
	hearsSelf       bool
	// everHeardSelf says that this incarnation of the peer has reported hearing this entry at least once,
	// so it can't be sole while it does not hear this entry.
	everHeardSelf bool
	links         KeySet
	linksDigest   uint64
	// reportedByPeerAt is when a live peer last reported a two-way link with this one.
	reportedByPeerAt time.Duration

	// claims is replaced, never changed, because views share it.
	claims         []peerClaim
	poison         []uint64
	reader         bool
	announcedLeave bool
	// sentAt is when a heartbeat was last sent to the peer.
	sentAt time.Duration
	// reportedHubAt is when a peer last introduced this one as prominent.
	reportedHubAt time.Duration
	// announcedInterval is the period that this heartbeat promised.
	announcedInterval time.Duration
	// peerInterval is the longest time until the peer's next heartbeat, as it said itself.
	peerInterval time.Duration

	link           LinkState
	live           bool
	relay          EntryID
	lastServingAt  time.Duration
	lastEligibleAt time.Duration
}

// peerClaim is a claim of a peer and when it was last repeated. A released claim is kept for a
// while, because it tells the next owner what was ejected.
type peerClaim struct {
	CellClaim
	repeatedAt time.Duration
	released   bool
}

func newPeer(now time.Duration, id EntryID) *peer {
	return &peer{
		Member:           Member{ID: id},
		name:             nameKeyOf(id),
		hash:             hashOf(string(id)),
		addedAt:          now,
		unlistedSince:    now,
		firstHeardAt:     now,
		heardAt:          never,
		sentAt:           never,
		reportedHubAt:    never,
		linksReceivedAt:  never,
		reportedByPeerAt: never,
		lastServingAt:    never,
		lastEligibleAt:   never,
	}
}

// applyListedEntry takes what the fleet list says. What the entry says of itself comes first.
func (p *peer) applyListedEntry(r ListedEntry) {
	p.listed, p.listedLeaving = true, r.Leaving
	if p.heardAt == never || p.PeerAddress == "" {
		p.FailureDomain = r.FailureDomain
		p.PeerAddress = r.PeerAddress
		p.CallerAddress = r.CallerAddress
	}
}

// updateListing keeps since when the entry is missing from the list. A list that names the entry when
// it must have caught up with its start means the current incarnation; earlier it may mean a former one.
func (p *peer) updateListing(now, lag time.Duration) {
	switch {
	case p.listed:
		p.incarnationListed = p.incarnationListed || now-p.firstHeardAt >= lag
		p.unlistedSince = never
	case p.unlistedSince == never:
		p.unlistedSince = now
	}
}

// lastSeenAt is the latest time at which the entry showed that it exists.
func (p *peer) lastSeenAt() time.Duration { return max(p.heardAt, p.reportedByPeerAt, p.addedAt) }

// shiftTimers moves all timers by the time that this entry did not run.
func (p *peer) shiftTimers(gap time.Duration) {
	for _, at := range []*time.Duration{&p.heardAt, &p.linksReceivedAt, &p.reportedByPeerAt, &p.unlistedSince} {
		if *at != never {
			*at += gap
		}
	}
	p.claims = slices.Clone(p.claims)
	for i := range p.claims {
		p.claims[i].repeatedAt += gap
	}
}

// startIncarnation starts over with a new incarnation. Claims stay as released ones.
func (p *peer) startIncarnation(now time.Duration, i Incarnation) {
	p.firstHeardAt = now
	p.incarnationListed = false
	p.Incarnation = i
	p.sequence = 0
	p.hearsSelf, p.everHeardSelf, p.announcedLeave = false, false, false
	p.links, p.linksDigest = nil, 0
	p.linksReceivedAt = never
}

// maxMissedHeartbeats is how many promised heartbeats may be late or lost before a peer counts as silent.
const maxMissedHeartbeats = 2.5

// silenceTimeout is how long a peer may be silent.
func (m *Membership) silenceTimeout(p *peer) time.Duration {
	return max(m.Timing.SuspectTimeout, time.Duration(maxMissedHeartbeats*float64(p.peerInterval)))
}

// mayStillOwn says that the peer may own cells as far as its last sign tells. In a star only a peer's own heartbeats
// count: those that may own cells beat fast, and what others report may be seconds old.
func (m *Membership) mayStillOwn(now time.Duration, p *peer) bool {
	return !m.hubTopology() || now-p.heardAt <= m.Timing.SuspectTimeout
}

// linkState returns the state of the direct link.
func (m *Membership) linkState(now time.Duration, p *peer) LinkState {
	timeout := m.silenceTimeout(p)
	if now-p.heardAt > timeout {
		return LinkSilent
	}
	if !p.hearsSelf || now-p.linksReceivedAt > timeout {
		return LinkInboundOnly
	}
	return LinkTwoWay
}

// findRelay finds a peer with a two-way link to this entry that reports a two-way link with p. Of
// several the one with the highest rendezvous weight is taken, so that relaying is spread.
func (m *Membership) findRelay(now time.Duration, p *peer) (EntryID, bool) {
	var best *peer
	for _, q := range m.peers {
		if q == p || m.linkState(now, q) != LinkTwoWay || q.State == StateStarting || !q.links.hasName(p.name) {
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

// confirmedGone reports whether the entry is confirmed not to run: it said that it was leaving and fell
// silent, or neither this entry nor any live peer had a sign of it for the gone time and a fleet
// list that came afterwards does not name it. A list that does not name this entry either is older
// than this entry and confirms nothing.
func (m *Membership) confirmedGone(now time.Duration, p *peer) bool {
	if m.faults.unlistedMeansGone && m.hasList && !p.listed {
		return true
	}
	if now-p.lastSeenAt() <= m.Timing.GoneTimeout {
		return false
	}
	if p.announcedLeave {
		return true
	}
	if p.listed || !m.selfListed || m.listReceivedAt <= p.lastSeenAt() {
		return false
	}
	return p.incarnationListed || now-max(p.unlistedSince, p.lastSeenAt()) > m.Timing.MaxListLag
}
