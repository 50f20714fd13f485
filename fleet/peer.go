package fleet

import (
	"slices"
	"time"
)

// rankAttributes returns the properties that the peer's rank depends on.
func (p *peer) rankAttributes(degraded degradedDomains) rankAttributes {
	return rankAttributes{
		hash: p.hash, health: degraded.health(&p.Member), capacity: p.Capacity, domain: p.FailureDomain,
	}
}

// never lies before every time that is passed in. It is small enough that differences don't overflow.
const never = -100 * 365 * 24 * time.Hour

// peer is the record of one other entry.
type peer struct {
	Member
	name nameKey
	hash hash64
	seed bool
	// listed and listedLeaving are from the latest fleet list.
	listed, listedLeaving bool
	// unlistedSince is since when no fleet list has named the entry.
	unlistedSince time.Duration
	// incarnationListed says that a list named the current incarnation, not just an earlier one.
	incarnationListed bool
	// firstHeardAt is the time of the first heartbeat of the current incarnation, or when the record was
	// added.
	firstHeardAt time.Duration
	addedAt      time.Duration

	// heardAt is the time of the last heartbeat of the current incarnation.
	heardAt  time.Duration
	sequence uint64
	// linksReceivedAt is the time of the last heartbeat whose links are known; a compact one names them by a
	// digest. hearsSelf says whether that heartbeat reported receiving those of this entry.
	linksReceivedAt time.Duration
	hearsSelf       bool
	// everHeardSelf says that this incarnation of the peer has reported receiving heartbeats of this entry
	// since the last pause of this entry. Such a peer can't be an exclusive owner while it does not
	// receive them.
	everHeardSelf bool
	links         KeySet
	linksDigest   uint64
	// fullLinks are the links of the last full heartbeat of this incarnation, and knownLinksDigest is the digest of the
	// links of this entry that the peer has.
	fullLinks        linkSet
	knownLinksDigest uint64
	// reportedByPeerAt is when another peer last reported a two-way link with this one.
	reportedByPeerAt time.Duration

	// claims is replaced and never modified, because views share it.
	claims []peerClaim
	poison []uint64
	reader bool
	// announcedLeave says that the peer's own last heartbeat had StateLeaving.
	announcedLeave bool
	// sentAt is when a heartbeat was last sent to the peer.
	sentAt time.Duration
	// reportedHubAt is when another peer last reported this one as a hub.
	reportedHubAt time.Duration
	// announcedInterval is the heartbeat interval that the last heartbeat to the peer announced.
	announcedInterval time.Duration
	// peerInterval is the longest time until the peer's next heartbeat, as its last one announced.
	peerInterval time.Duration

	link           LinkState
	live           bool
	relay          EntryID
	lastServingAt  time.Duration
	lastEligibleAt time.Duration
}

// peerClaim is a claim of a peer and when it was last repeated. A released claim is kept for claimRetention,
// because it tells the next owner which targets were ejected.
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

// applyListedEntry takes over a row of the fleet list. What the entry says of itself has priority.
func (p *peer) applyListedEntry(r ListedEntry) {
	p.listed, p.listedLeaving = true, r.Leaving
	if p.heardAt == never || p.PeerAddress == "" {
		p.FailureDomain = r.FailureDomain
		p.PeerAddress = r.PeerAddress
		p.CallerAddress = r.CallerAddress
	}
}

// updateListing updates since when the entry has been missing from the list. Once maxLag has passed after the
// first heartbeat of the current incarnation, a list that names the entry means this incarnation; before, it
// may mean an earlier one.
func (p *peer) updateListing(now, maxLag time.Duration) {
	switch {
	case p.listed:
		p.incarnationListed = p.incarnationListed || now-p.firstHeardAt >= maxLag
		p.unlistedSince = never
	case p.unlistedSince == never:
		p.unlistedSince = now
	}
}

// lastSeenAt returns the time of the latest sign that the entry exists.
func (p *peer) lastSeenAt() time.Duration { return max(p.heardAt, p.reportedByPeerAt, p.addedAt) }

// shiftTimers shifts all timers by the time that this entry did not run.
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

// startIncarnation resets the record for a new incarnation. Claims are kept; updateClaims marks those that are
// not repeated as released.
func (p *peer) startIncarnation(now time.Duration, i Incarnation) {
	p.firstHeardAt = now
	p.incarnationListed = false
	p.Incarnation = i
	p.sequence = 0
	p.hearsSelf, p.everHeardSelf, p.announcedLeave = false, false, false
	p.links, p.linksDigest = nil, 0
	p.fullLinks, p.knownLinksDigest = linkSet{}, 0
	p.linksReceivedAt = never
}

// maxMissedHeartbeats is how many announced heartbeat intervals a peer may be silent.
const maxMissedHeartbeats = 2.5

// silenceTimeout returns the silence after which the link with a peer counts as silent.
func (m *Membership) silenceTimeout(p *peer) time.Duration {
	return max(m.Timing.SuspectTimeout, time.Duration(maxMissedHeartbeats*float64(p.peerInterval)))
}

// mayStillOwn reports whether the peer was heard recently enough to own cells. In the hub-and-spoke topology the
// peer's own heartbeats count, which owners send at the short interval to each other and within their failure domain.
// A hub that announced a longer interval counts as long as one of recentHubs reports a link with it, or if there are
// none; the reports of other peers may be seconds old.
func (m *Membership) mayStillOwn(now time.Duration, p *peer, recentHubs []*peer) bool {
	if !m.hubTopology() || now-p.heardAt <= m.Timing.SuspectTimeout {
		return true
	}
	if !p.Hub || now-p.heardAt > m.silenceTimeout(p) {
		return false
	}
	return len(recentHubs) == 0 || slices.ContainsFunc(recentHubs, func(q *peer) bool { return q.links.hasName(p.name) })
}

// recentHubs returns the hubs with a two-way link that were heard within the suspect timeout. They know which other
// hubs are alive.
func (m *Membership) recentHubs(now time.Duration) []*peer {
	if !m.hubTopology() {
		return nil
	}
	var hubs []*peer
	for _, p := range m.peers {
		if p.Hub && p.link == LinkTwoWay && now-p.heardAt <= m.Timing.SuspectTimeout {
			hubs = append(hubs, p)
		}
	}
	return hubs
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

// relays returns the peers that can relay requests: those with a two-way link that have started. The slice is valid until
// the next call.
func (m *Membership) relays(now time.Duration) []*peer {
	m.relayBuffer = m.relayBuffer[:0]
	for _, q := range m.peers {
		if q.State != StateStarting && m.linkState(now, q) == LinkTwoWay {
			m.relayBuffer = append(m.relayBuffer, q)
		}
	}
	return m.relayBuffer
}

// findRelay returns the relay that has a two-way link with p, one that leaves only if no other has. Of several it picks the
// one with the highest rendezvous weight for p, which spreads the relaying.
func findRelay(relays []*peer, p *peer) (EntryID, bool) {
	var best *peer
	var bestWeight uint64
	for _, q := range relays {
		w := weight(q.hash, p.hash)
		better := best == nil || w > bestWeight
		if best != nil && best.leaves() != q.leaves() {
			better = best.leaves()
		}
		// The weight is cheaper to compute than the membership in a large set of links.
		if better && q != p && q.links.hasName(p.name) {
			best, bestWeight = q, w
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// leaves reports whether the peer or the fleet list says that the peer is about to end.
func (p *peer) leaves() bool { return p.State == StateLeaving || p.listedLeaving }

// confirmedGone reports whether the entry certainly no longer runs. There must have been no sign of it for the
// gone timeout, from itself or from peers. In addition, either the entry announced that it leaves, or all
// of these hold for the fleet list:
//
//   - The latest list arrived after the last sign and does not name the entry.
//   - It names this entry. A list that does not may be older than the start of this entry, and confirms
//     nothing.
//   - An earlier list named the entry's current incarnation, or the entry has been missing for MaxListLag.
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
