package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// maxLinkSets is how many of its own link sets an entry keeps to decode compact heartbeats.
	maxLinkSets = 8
	// maxVariableBytes is the space for the variable parts of a heartbeat. With the fixed parts they stay
	// below the 1,200 bytes that every QUIC datagram can hold.
	maxVariableBytes = 900
	// maxPoison is the maximum number of fingerprints in one heartbeat; the next ones carry the others.
	maxPoison = 16
	// maxUnlinked is the maximum number of unlinked entries that one heartbeat names.
	maxUnlinked = 24
	// Encoded sizes in bytes, rounded up.
	keyBytes, poisonBytes, claimBytes, outcomesBytes, idBytes, rateLimitBytes, announcementBytes = 8, 9, 12, 8, 3, 17, 22
)

// recordLinkSet computes, records and returns the set of this entry and its peers with two-way links; in the
// hub-and-spoke topology, only of those that are hubs.
func (m *Membership) recordLinkSet(now time.Duration) linkSet {
	keys := make(KeySet, 0, len(m.peers)+1)
	keys = append(keys, m.key)
	for _, p := range m.peers {
		if m.linkState(now, p) == LinkTwoWay && (p.Hub || !m.hubTopology()) {
			keys = append(keys, p.name.with(p.Incarnation))
		}
	}
	slices.Sort(keys)
	s := linkSet{digest: keys.digest(), keys: keys}
	i := slices.IndexFunc(m.linkSets, func(o linkSet) bool { return o.digest == s.digest })
	if i >= 0 {
		s = m.linkSets[i]
		m.linkSets = slices.Delete(m.linkSets, i, i+1)
	} else if len(m.linkSets) == maxLinkSets {
		m.linkSets = slices.Delete(m.linkSets, 0, 1)
	}
	m.linkSets = append(m.linkSets, s)
	return s
}

// heartbeats builds the heartbeats that are due, at most one for each peer.
func (m *Membership) heartbeats(now time.Duration) []OutgoingHeartbeat {
	set := m.recordLinkSet(now)
	m.sequence++
	compact := Heartbeat{
		From:             m.ID,
		Incarnation:      m.Incarnation,
		Sequence:         m.sequence,
		State:            m.state,
		LinksDigest:      set.digest,
		AcceptedRevision: m.acceptedRevision,
		Epoch:            m.epoch,
		Digest:           m.tablesDigest,
		Reader:           m.reader,
		Hub:              m.hub,
		Degraded:         m.degraded,
		Lost:             m.lost,
		TickDelayMs:      m.tickDelay.Milliseconds(),
		Poison:           m.nextPoison(),
	}
	compact.Unlinked = m.nextUnlinked(now)
	compact.Leaving = m.leavingPeers(now)
	used := keyBytes*(len(set.keys)+len(compact.Unlinked)+len(compact.Leaving)) + poisonBytes*len(compact.Poison) + m.lost.size()
	compact.Claims, compact.MoreClaims = m.nextClaims(maxVariableBytes - used)
	full := compact
	full.Full = true
	full.FailureDomain, full.PeerAddress, full.CallerAddress = m.FailureDomain, m.PeerAddress, m.CallerAddress
	full.Capacity = m.Capacity
	full.TwoWayLinks = slices.Clone(set.keys)
	anyPeers := m.nextKnownPeers(now, m.knownPeersPerHeartbeat(), nil)
	candidates := m.ownerCandidates(now)
	candidatePeers := m.nextKnownPeers(now, m.knownPeersPerHeartbeat(), candidates)
	oneCandidate := m.nextKnownPeers(now, 1, candidates)
	linkedToHub, hubDomains := m.linkedToHub(), m.domainsWithHub()
	out := make([]OutgoingHeartbeat, 0, len(m.peers))
	for _, p := range m.peers {
		if p.PeerAddress == "" || p.announcedLeave && !p.listed && now-p.heardAt > m.Timing.GoneTimeout {
			continue
		}
		interval := m.heartbeatInterval(now, p, linkedToHub, hubDomains)
		if interval == 0 {
			continue
		}
		// A longer interval applies only after a heartbeat has announced it to the peer.
		if now-p.sentAt < min(interval, max(p.announcedInterval, m.Timing.HeartbeatInterval))-m.Timing.HeartbeatInterval/2 {
			continue
		}
		p.sentAt, p.announcedInterval = now, interval
		h := full
		if p.link == LinkTwoWay && (p.linksDigest == set.digest || p.knownLinksDigest == set.digest) {
			h = compact
		}
		if p.link != LinkTwoWay || p.linksDigest != set.digest {
			h.KnownPeers = anyPeers
			if m.hubTopology() && !slices.Contains(candidates, p) {
				h.KnownPeers = candidatePeers
				if now-p.firstHeardAt >= startupPeriod {
					h.KnownPeers = oneCandidate
				}
			}
			if now-p.heardAt <= m.silenceTimeout(p) {
				h.ReceiverIncarnation = p.Incarnation
			}
		}
		if m.hubTopology() {
			h.KnownLinksDigest = p.fullLinks.digest
		}
		if interval > m.Timing.HeartbeatInterval {
			h.NextHeartbeatMs = interval.Milliseconds()
		}
		out = append(out, OutgoingHeartbeat{ID: p.ID, Address: p.PeerAddress, Heartbeat: h})
	}
	return out
}

// nextPoison returns the next page of the poison fingerprints.
func (m *Membership) nextPoison() []uint64 {
	if len(m.poison) <= maxPoison {
		return m.poison
	}
	if m.poisonOffset >= len(m.poison) {
		m.poisonOffset = 0
	}
	end := min(m.poisonOffset+maxPoison, len(m.poison))
	page := m.poison[m.poisonOffset:end]
	m.poisonOffset = end
	return page
}

// nextUnlinked returns a page of the entries that may run and have no two-way link with this one.
func (m *Membership) nextUnlinked(now time.Duration) KeySet {
	var unlinked KeySet
	for _, p := range m.peers {
		if p.link != LinkTwoWay && !p.announcedLeave && !m.confirmedGone(now, p) {
			unlinked = append(unlinked, p.name.with(p.Incarnation))
		}
	}
	if len(unlinked) > maxUnlinked {
		pages := (len(unlinked) + maxUnlinked - 1) / maxUnlinked
		start := int(m.sequence) % pages * maxUnlinked
		unlinked = unlinked[start:min(start+maxUnlinked, len(unlinked))]
	}
	slices.Sort(unlinked)
	return unlinked
}

// maxLeaving is the maximum number of leaving entries that one heartbeat names.
const maxLeaving = 16

// leavingPeers returns the leaving peers that were heard within the gone timeout.
func (m *Membership) leavingPeers(now time.Duration) KeySet {
	var keys KeySet
	for _, p := range m.peers {
		if p.State == StateLeaving && now-p.heardAt <= m.Timing.GoneTimeout && len(keys) < maxLeaving {
			keys = append(keys, p.name.with(p.Incarnation))
		}
	}
	slices.Sort(keys)
	return keys
}

// nextClaims returns as many claims as fit into size bytes, and whether there are more.
func (m *Membership) nextClaims(size int) ([]CellClaim, bool) {
	if claimsSize(m.claims) <= size {
		return m.claims, false
	}
	var page []CellClaim
	for range m.claims {
		c := m.claims[m.claimOffset%len(m.claims)]
		if size < c.size() && len(page) > 0 {
			break
		}
		for size < c.size() && len(c.Ejected) > 0 {
			c.Ejected = c.Ejected[:len(c.Ejected)-1]
		}
		for size < c.size() && len(c.RateLimits) > 0 {
			c.RateLimits = c.RateLimits[:len(c.RateLimits)-1]
		}
		for size < c.size() && len(c.Announcements) > 0 {
			c.Announcements = c.Announcements[:len(c.Announcements)-1]
		}
		size -= c.size()
		page = append(page, c)
		m.claimOffset++
	}
	return page, true
}

func claimsSize(claims []CellClaim) int {
	n := 0
	for _, c := range claims {
		n += c.size()
	}
	return n
}

func (c CellClaim) size() int {
	n := claimBytes + outcomesBytes + len(c.Cell.Pool)
	for _, id := range c.Ejected {
		n += idBytes + len(id)
	}
	for _, l := range c.RateLimits {
		n += rateLimitBytes + len(l.Target)
	}
	for _, a := range c.Announcements {
		n += announcementBytes + len(a.Target)
	}
	return n
}

// maxKnownPeers is the maximum number of peers that one heartbeat makes known in the hub-and-spoke topology.
// candidatesPerShard is how many of the highest-ranked peers of each shard are made known to entries that are
// not among them.
const (
	maxKnownPeers      = 6
	candidatesPerShard = 8
)

// knownPeersPerHeartbeat returns how many peers a heartbeat makes known. In a full mesh every peer sends
// heartbeats, which list all its links, so there is space for only one.
func (m *Membership) knownPeersPerHeartbeat() int {
	if m.hubTopology() {
		return maxKnownPeers
	}
	return 1
}

// nextKnownPeers returns the next n of the given peers in turn, or of all peers with a two-way link if peers
// is nil.
func (m *Membership) nextKnownPeers(now time.Duration, n int, peers []*peer) []KnownPeer {
	if peers == nil {
		for _, p := range m.peers {
			if m.linkState(now, p) == LinkTwoWay {
				peers = append(peers, p)
			}
		}
	}
	var out []KnownPeer
	for i := range min(n, len(peers)) {
		p := peers[(int(m.sequence)*n+i)%len(peers)]
		out = append(out, KnownPeer{ID: p.ID, PeerAddress: p.PeerAddress, Hub: p.Hub})
	}
	return out
}

// ownerCandidates returns the linked peers that rank highest for the cells of each shard. Until tables are
// active, it assumes one shard without a preferred failure domain. It returns nil, which stands for all peers,
// in a full mesh and if each cell has its own owner.
func (m *Membership) ownerCandidates(now time.Duration) []*peer {
	if !m.hubTopology() || len(m.ShardDomains) == 0 && m.acceptedRevision > 0 {
		return nil
	}
	domains := m.ShardDomains
	if len(domains) == 0 {
		domains = []table.FailureDomain{""}
	}
	var linked, candidates []*peer
	for _, p := range m.peers {
		if m.linkState(now, p) == LinkTwoWay {
			linked = append(linked, p)
		}
	}
	degraded := m.degradedDomains()
	for i, domain := range domains {
		key := shardKey(i, domain)
		slices.SortFunc(linked, func(a, b *peer) int {
			return cmp.Compare(key.rank(b.rankAttributes(degraded)), key.rank(a.rankAttributes(degraded)))
		})
		for _, p := range linked[:min(candidatesPerShard, len(linked))] {
			if !slices.Contains(candidates, p) {
				candidates = append(candidates, p)
			}
		}
	}
	return candidates
}
