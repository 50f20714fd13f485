package fleet

import (
	"slices"
	"time"
)

// Receive takes a heartbeat of a peer. The transport must have verified that the entry named in From sent it.
func (m *Membership) Receive(now time.Duration, h Heartbeat) {
	m.initialize(now)
	m.detectPause(now)
	p := m.findOrAddPeer(now, h.From)
	if p == nil || !m.acceptHeartbeat(now, p, h) {
		return
	}
	m.peersRefreshedAt = never
	p.heardAt = now
	p.sequence = h.Sequence
	p.State = h.State
	p.announcedLeave = h.State == StateLeaving
	p.AcceptedRevision, p.Digest = h.AcceptedRevision, h.Digest
	p.Epoch = h.Epoch
	p.reader = h.Reader
	p.Hub, p.Degraded, p.Lost = h.Hub, h.Degraded, h.Lost
	p.poison = h.Poison
	p.linksDigest, p.knownLinksDigest = h.LinksDigest, h.KnownLinksDigest
	p.peerInterval = time.Duration(h.NextHeartbeatMs) * time.Millisecond
	p.updateClaims(now, h)
	if h.Full {
		p.FailureDomain, p.PeerAddress, p.CallerAddress = h.FailureDomain, h.PeerAddress, h.CallerAddress
		p.Capacity = min(h.Capacity, MaxCapacityClass)
	}
	m.addKnownPeers(now, h.KnownPeers)
	m.updateLinks(now, p, h)
	for _, k := range h.Unlinked {
		if m.byName[k.name()] == nil && k.name() != m.key.name() {
			m.unknownEntries[k.name()] = now
		}
	}
	if !m.faults.ignoreReportedLeaving {
		m.applyLeaving(h.Leaving)
	}
	var relays []*peer
	if m.linkState(now, p) != LinkTwoWay {
		relays = m.relays(now)
	}
	m.refreshPeer(now, p, relays)
}

// applyLeaving applies a peer's report of leaving entries. Leaving is final for an incarnation, so the report
// can't be outdated.
func (m *Membership) applyLeaving(keys KeySet) {
	for _, k := range keys {
		if p := m.byName[k.name()]; p != nil && p.name.with(p.Incarnation) == k {
			p.State = StateLeaving
		}
	}
}

// acceptHeartbeat reports whether the heartbeat is newer than those received, and prepares the record for a
// new incarnation. A higher incarnation replaces the known one at once. A lower one replaces it only after a
// silence of the gone timeout, since it may be an old process that still runs.
func (m *Membership) acceptHeartbeat(now time.Duration, p *peer, h Heartbeat) bool {
	switch {
	case h.Incarnation == 0:
		return false
	case h.Incarnation == p.Incarnation:
		return h.Sequence > p.sequence
	case h.Incarnation < p.Incarnation && now-p.heardAt <= m.Timing.GoneTimeout:
		return false
	}
	p.startIncarnation(now, h.Incarnation)
	return true
}

// claimRetention is how long a claim is kept after it was last repeated. The peer may have released it, or its
// claims may not fit into one heartbeat: about 16 claims with a few ejected targets fit at 44 entries.
const claimRetention = 30 * time.Second

// updateClaims updates the cells that the peer serves.
func (p *peer) updateClaims(now time.Duration, h Heartbeat) {
	if len(h.Claims) == 0 && len(p.claims) == 0 {
		return
	}
	claims := make([]peerClaim, 0, len(p.claims)+len(h.Claims))
	for _, c := range h.Claims {
		claims = append(claims, peerClaim{CellClaim: c, repeatedAt: now})
	}
	for _, old := range p.claims {
		repeated := slices.ContainsFunc(h.Claims, func(c CellClaim) bool { return c.Cell == old.Cell })
		if repeated || now-old.repeatedAt > claimRetention {
			continue
		}
		old.released = old.released || !h.MoreClaims
		claims = append(claims, old)
	}
	p.claims = claims
}

// updateLinks updates which entries the peer has two-way links with. A compact heartbeat names them by the
// digest of a set that this entry reported itself or received in a full heartbeat.
func (m *Membership) updateLinks(now time.Duration, p *peer, h Heartbeat) {
	if h.Full {
		p.fullLinks = linkSet{digest: h.LinksDigest, keys: h.TwoWayLinks}
	}
	links, known := m.linksOfDigest(p, h.LinksDigest)
	if !known {
		return
	}
	if !slices.Equal(p.links, links) {
		p.links = links
	}
	p.hearsSelf = h.ReceiverIncarnation == m.Incarnation || !h.Full && links.has(m.key)
	p.linksReceivedAt = now
	// Heartbeats that were queued during a pause of this entry arrive while it counts as recently paused.
	p.everHeardSelf = p.everHeardSelf || p.hearsSelf && !m.recentlyPaused(now)
	m.markReported(now, p)
}

// linksOfDigest returns the links that a peer's heartbeat names by their digest.
func (m *Membership) linksOfDigest(p *peer, digest uint64) (KeySet, bool) {
	if p.fullLinks.digest == digest {
		return p.fullLinks.keys, true
	}
	i := slices.IndexFunc(m.linkSets, func(s linkSet) bool { return s.digest == digest })
	if i < 0 {
		return nil, false
	}
	return m.linkSets[i].keys, true
}

// markReported notes a sign of each entry that p has a two-way link with.
func (m *Membership) markReported(now time.Duration, p *peer) {
	for _, k := range p.links {
		if k.name() == m.key.name() {
			continue
		}
		if q := m.byName[k.name()]; q != nil {
			q.reportedByPeerAt = now
		} else {
			m.unknownEntries[k.name()] = now
		}
	}
}

// addKnownPeers adds the entries that a peer names, so that they get heartbeats.
func (m *Membership) addKnownPeers(now time.Duration, peers []KnownPeer) {
	for _, k := range peers {
		p := m.findOrAddPeer(now, k.ID)
		if p == nil {
			continue
		}
		if p.PeerAddress == "" {
			p.PeerAddress = k.PeerAddress
		}
		if k.Hub {
			p.reportedHubAt = now
		}
	}
}
