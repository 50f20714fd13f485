package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// recentLinkSets is how many own link sets are kept to decode brief heartbeats.
	recentLinkSets = 8
	// variableBytes is the space for the parts of a heartbeat that grow; with the fixed parts it
	// stays below the 1,200 bytes that every QUIC datagram may have.
	variableBytes = 900
	// maxPoison is the most fingerprints in one heartbeat; others follow in the next ones.
	maxPoison = 16
	// maxMissing is the most missing entries that one heartbeat names.
	maxMissing = 24
	// Encoded sizes in bytes, rounded up.
	keyBytes, poisonBytes, claimBytes, idBytes = 8, 9, 12, 3
)

// rememberLinks computes the set of two-way links, this entry included, and returns it.
func (m *Membership) rememberLinks(now time.Duration) linkSet {
	keys := make(KeySet, 0, len(m.peers)+1)
	keys = append(keys, m.key)
	for _, p := range m.peers {
		if m.linkOf(now, p) == LinkTwoWay && (p.Hub || !m.star()) {
			keys = append(keys, p.name.with(p.Incarnation))
		}
	}
	slices.Sort(keys)
	s := linkSet{digest: keys.digest(), keys: keys}
	i := slices.IndexFunc(m.linkSets, func(o linkSet) bool { return o.digest == s.digest })
	if i >= 0 {
		s = m.linkSets[i]
		m.linkSets = slices.Delete(m.linkSets, i, i+1)
	} else if len(m.linkSets) == recentLinkSets {
		m.linkSets = slices.Delete(m.linkSets, 0, 1)
	}
	m.linkSets = append(m.linkSets, s)
	return s
}

// heartbeats builds one heartbeat for each peer.
func (m *Membership) heartbeats(now time.Duration) []OutgoingHeartbeat {
	set := m.rememberLinks(now)
	m.sequence++
	brief := Heartbeat{
		From:             m.ID,
		Incarnation:      m.Incarnation,
		Sequence:         m.sequence,
		State:            m.state,
		LinksDigest:      set.digest,
		AcceptedRevision: m.accepted,
		Epoch:            m.epoch,
		Digest:           m.digest,
		Reader:           m.reader,
		Hub:              m.prominent,
		Degraded:         m.unfit,
		TickDelayMs:      m.tickLate.Milliseconds(),
		Poison:           m.nextPoison(),
	}
	brief.Unlinked = m.nextMissing(now)
	brief.Leaving = m.leaving(now)
	used := keyBytes*(len(set.keys)+len(brief.Unlinked)+len(brief.Leaving)) + poisonBytes*len(brief.Poison)
	brief.Claims, brief.MoreClaims = m.nextClaims(variableBytes - used)
	full := brief
	full.Full = true
	full.FailureDomain, full.PeerAddress, full.CallerAddress = m.FailureDomain, m.PeerAddress, m.CallerAddress
	full.Capacity = m.Capacity
	full.TwoWayLinks = slices.Clone(set.keys)
	many := m.nextIntroductions(now, m.introductions(), nil)
	candidates := m.candidates(now)
	few := m.nextIntroductions(now, m.introductions(), candidates)
	one := m.nextIntroductions(now, 1, candidates)
	anchored := m.anchored()
	out := make([]OutgoingHeartbeat, 0, len(m.peers))
	for _, p := range m.peers {
		if p.PeerAddress == "" || p.left && !p.listed && now-p.heardAt > m.Timing.GoneTimeout {
			continue
		}
		period := m.period(now, p, anchored)
		if period == 0 {
			continue
		}
		// A longer period holds only once the peer was told of it.
		if now-p.sentAt < min(period, max(p.told, m.Timing.HeartbeatInterval))-m.Timing.HeartbeatInterval/2 {
			continue
		}
		p.sentAt, p.told = now, period
		h := full
		h.KnownPeers = many
		if m.star() && !slices.Contains(candidates, p) {
			h.KnownPeers = few
			if now-p.firstHeard >= settleTime {
				h.KnownPeers = one
			}
		}
		if p.link == LinkTwoWay && p.digest == set.digest {
			h = brief
		} else if now-p.heardAt <= m.patience(p) {
			h.ReceiverIncarnation = p.Incarnation
		}
		if period > m.Timing.HeartbeatInterval {
			h.NextHeartbeatMs = period.Milliseconds()
		}
		out = append(out, OutgoingHeartbeat{ID: p.ID, Address: p.PeerAddress, Heartbeat: h})
	}
	return out
}

// nextPoison returns a page of the poison fingerprints.
func (m *Membership) nextPoison() []uint64 {
	if len(m.poison) <= maxPoison {
		return m.poison
	}
	if m.poisonPage >= len(m.poison) {
		m.poisonPage = 0
	}
	end := min(m.poisonPage+maxPoison, len(m.poison))
	page := m.poison[m.poisonPage:end]
	m.poisonPage = end
	return page
}

// nextMissing returns a page of the entries that may run and have no two-way link to this one.
func (m *Membership) nextMissing(now time.Duration) KeySet {
	var missing KeySet
	for _, p := range m.peers {
		if p.link != LinkTwoWay && !p.left && !m.absent(now, p) {
			missing = append(missing, p.name.with(p.Incarnation))
		}
	}
	if len(missing) > maxMissing {
		pages := (len(missing) + maxMissing - 1) / maxMissing
		at := int(m.sequence) % pages * maxMissing
		missing = missing[at:min(at+maxMissing, len(missing))]
	}
	slices.Sort(missing)
	return missing
}

// maxLeaving is the most leaving entries that one heartbeat names.
const maxLeaving = 16

// leaving returns the peers that said lately that they leave.
func (m *Membership) leaving(now time.Duration) KeySet {
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
		c := m.claims[m.claimPage%len(m.claims)]
		if size < c.size() && len(page) > 0 {
			break
		}
		for size < c.size() && len(c.Ejected) > 0 {
			c.Ejected = c.Ejected[:len(c.Ejected)-1]
		}
		size -= c.size()
		page = append(page, c)
		m.claimPage++
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
	n := claimBytes + len(c.Cell.Pool)
	for _, id := range c.Ejected {
		n += idBytes + len(id)
	}
	return n
}

// maxIntroductions is the most peers that one heartbeat introduces, and introducedCandidates how many of those that
// may own the cells of a shard next are introduced to entries that don't beat to all others.
const (
	maxIntroductions     = 6
	introducedCandidates = 8
)

// introductions is how many peers a heartbeat introduces. In a mesh heartbeats come from everybody, and list all
// links, so that there is room for one only.
func (m *Membership) introductions() int {
	if m.star() {
		return maxIntroductions
	}
	return 1
}

// nextIntroductions names up to n peers in turn, of those given or of all that are heard.
func (m *Membership) nextIntroductions(now time.Duration, n int, peers []*peer) []KnownPeer {
	if peers == nil {
		for _, p := range m.peers {
			if m.linkOf(now, p) == LinkTwoWay {
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

// candidates are the peers of a star that rank highest for the cells. Until tables are in force, those of a single shard
// stand for them. It is nil, which stands for all peers, in a mesh and where cells have owners of their own.
func (m *Membership) candidates(now time.Duration) []*peer {
	if !m.star() || len(m.ShardDomains) == 0 && m.accepted > 0 {
		return nil
	}
	shards := m.ShardDomains
	if len(shards) == 0 {
		shards = []table.FailureDomain{""}
	}
	var heard, candidates []*peer
	for _, p := range m.peers {
		if m.linkOf(now, p) == LinkTwoWay {
			heard = append(heard, p)
		}
	}
	for i, domain := range shards {
		key := shardKey(i, domain)
		slices.SortFunc(heard, func(a, b *peer) int { return cmp.Compare(key.rank(b.rankable()), key.rank(a.rankable())) })
		for _, p := range heard[:min(introducedCandidates, len(heard))] {
			if !slices.Contains(candidates, p) {
				candidates = append(candidates, p)
			}
		}
	}
	return candidates
}
