package fleet

import (
	"slices"
	"time"
)

// Receive takes a heartbeat of a peer. The transport must have checked that it comes from the entry
// that it names.
func (m *Membership) Receive(now time.Duration, h Heartbeat) {
	m.start(now)
	m.noteLate(now)
	p := m.row(now, h.From)
	if p == nil || !m.admit(now, p, h) {
		return
	}
	p.heardAt = now
	p.sequence = h.Sequence
	p.State = h.State
	p.left = h.State == StateLeaving
	p.AcceptedRevision, p.Digest = h.AcceptedRevision, h.Digest
	p.Epoch = h.Epoch
	p.reader = h.Reader
	p.Hub, p.Degraded = h.Hub, h.Degraded
	p.poison = h.Poison
	p.digest = h.LinksDigest
	p.promised = time.Duration(h.NextHeartbeatMs) * time.Millisecond
	p.takeClaims(now, h)
	if h.Full {
		p.FailureDomain, p.PeerAddress, p.CallerAddress = h.FailureDomain, h.PeerAddress, h.CallerAddress
		p.Capacity = min(h.Capacity, MaxCapacityClass)
		m.introduce(now, h.KnownPeers)
	}
	m.takeLinks(now, p, h)
	for _, k := range h.Unlinked {
		if m.byName[k.name()] == nil && k.name() != m.key.name() {
			m.unknown[k.name()] = now
		}
	}
	if !m.faults.ignoreLeaving {
		m.takeLeaving(h.Leaving)
	}
	m.refreshPeer(now, p)
}

// takeLeaving notes which peers leave according to another. Leaving is final for an incarnation, so the
// report can't be outdated.
func (m *Membership) takeLeaving(keys KeySet) {
	for _, k := range keys {
		if p := m.byName[k.name()]; p != nil && p.name.with(p.Incarnation) == k {
			p.State = StateLeaving
		}
	}
}

// admit reports whether the heartbeat is news. A higher incarnation replaces the former one at once,
// a lower one only when the former is gone, since it may be an old process that still runs.
func (m *Membership) admit(now time.Duration, p *peer, h Heartbeat) bool {
	switch {
	case h.Incarnation == 0:
		return false
	case h.Incarnation == p.Incarnation:
		return h.Sequence > p.sequence
	case h.Incarnation < p.Incarnation && now-p.heardAt <= m.Timing.GoneTimeout:
		return false
	}
	p.replace(now, h.Incarnation)
	return true
}

// claimKept is how long a claim is kept that was released, or that was not repeated by a peer whose
// claims don't fit into one heartbeat. About 16 claims with a few ejected targets fit at 44 entries.
const claimKept = 30 * time.Second

// takeClaims takes the cells that the peer serves.
func (p *peer) takeClaims(now time.Duration, h Heartbeat) {
	if len(h.Claims) == 0 && len(p.claims) == 0 {
		return
	}
	claims := make([]peerClaim, 0, len(p.claims)+len(h.Claims))
	for _, c := range h.Claims {
		claims = append(claims, peerClaim{CellClaim: c, at: now})
	}
	for _, old := range p.claims {
		again := slices.ContainsFunc(h.Claims, func(c CellClaim) bool { return c.Cell == old.Cell })
		if again || now-old.at > claimKept {
			continue
		}
		old.released = old.released || !h.MoreClaims
		claims = append(claims, old)
	}
	p.claims = claims
}

// takeLinks takes which entries the peer has two-way links with. A brief heartbeat names them by the
// digest of a set that this entry itself reported before.
func (m *Membership) takeLinks(now time.Duration, p *peer, h Heartbeat) {
	if h.Full {
		p.hearsMe = h.ReceiverIncarnation == m.Incarnation
		if !slices.Equal(p.links, h.TwoWayLinks) {
			p.links = h.TwoWayLinks
		}
	} else {
		i := slices.IndexFunc(m.linkSets, func(s linkSet) bool { return s.digest == h.LinksDigest })
		if i < 0 {
			return
		}
		p.links = m.linkSets[i].keys
		p.hearsMe = p.links.has(m.key)
	}
	p.reportAt = now
	// Heartbeats that waited while this entry was paused arrive during its doubt.
	p.knewMe = p.knewMe || p.hearsMe && !m.doubting(now)
	m.noteReported(now, p)
}

// noteReported notes that the entries which p reports exist.
func (m *Membership) noteReported(now time.Duration, p *peer) {
	for _, k := range p.links {
		if k.name() == m.key.name() {
			continue
		}
		if q := m.byName[k.name()]; q != nil {
			q.reportedAt = now
		} else {
			m.unknown[k.name()] = now
		}
	}
}

// introduce adds entries that a peer tells of, so that they get heartbeats.
func (m *Membership) introduce(now time.Duration, list []KnownPeer) {
	for _, i := range list {
		p := m.row(now, i.ID)
		if p == nil {
			continue
		}
		if p.PeerAddress == "" {
			p.PeerAddress = i.PeerAddress
		}
		if i.Hub {
			p.toldProminentAt = now
		}
	}
}
