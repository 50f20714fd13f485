package fleet

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// View is an immutable snapshot of a Membership. It is safe for concurrent use.
type View struct {
	// At is the time of the snapshot.
	At   time.Duration
	Self EntryID
	// Members is sorted by ID and includes this entry. Entries that are gone stay in it for a while, with Live
	// false.
	Members []Member
	// RecentlyPaused says that the process of this entry was suspended or ticked late a short time ago, so
	// that its evidence must not be used.
	RecentlyPaused bool
	// HighestRevision is the highest accepted revision of this entry and of the live peers that were heard
	// recently, and HighestDigest the digest of its tables. Holders are those peers that have it; empty if this
	// entry has it too.
	HighestRevision table.Revision
	HighestDigest   uint64
	Holders         []EntryID
	// HasOtherReader says that a peer read the platform recently.
	HasOtherReader bool
	// Poison is the sorted union of the fingerprints that peers reported recently.
	Poison []uint64

	shardDomains []table.FailureDomain
	// degradedDomains includes this entry.
	degradedDomains degradedDomains
	hubTopology     bool
	timing          Timing
	states          []memberState // parallel to Members
	selfIndex       int
	selfEligible    bool // this entry can own cells
	listed          bool // this entry has had a fleet list that names it
	canBeExclusive  bool // the conditions of exclusive ownership that don't depend on the cell are met
	canEject        bool
	faults          faults
}

// memberState holds the unexported state of a member.
type memberState struct {
	hash           hash64
	eligible       bool
	lastServingAt  time.Duration
	lastEligibleAt time.Duration
	heardAt        time.Duration
	claims         []peerClaim
	reader         bool
	seed           bool
}

// View returns a snapshot at now.
func (m *Membership) View(now time.Duration) *View {
	m.initialize(now)
	v := &View{
		At:              now,
		Self:            m.ID,
		RecentlyPaused:  m.recentlyPaused(now),
		HighestRevision: m.acceptedRevision,
		HighestDigest:   m.tablesDigest,
		Members:         make([]Member, 0, len(m.peers)+1),
		states:          make([]memberState, 0, len(m.peers)+1),
		timing:          m.Timing,
		shardDomains:    m.ShardDomains,
		hubTopology:     m.hubTopology(),
		faults:          m.faults,
		listed:          m.hasList && m.selfEverListed,
		selfEligible:    m.state == StateServing && !m.selfListedLeaving,
	}
	v.canBeExclusive = m.canBeExclusive(now) && !v.RecentlyPaused
	v.canEject = m.canEject(now) && !v.RecentlyPaused
	if m.peersRefreshedAt != now {
		relays := m.relays(now)
		for _, p := range m.peers {
			m.refreshPeer(now, p, relays)
		}
	}
	recentHubs := m.recentHubs(now)
	selfAdded := false
	for _, p := range m.peers {
		if !selfAdded && p.ID > m.ID {
			v.addSelf(m)
			selfAdded = true
		}
		v.addPeer(m, now, p, recentHubs)
	}
	if !selfAdded {
		v.addSelf(m)
	}
	for i := range v.Members {
		v.degradedDomains.add(&v.Members[i])
	}
	slices.Sort(v.Poison)
	v.Poison = slices.Compact(v.Poison)
	return v
}

// recentlyPaused reports whether this entry was paused a short time ago. The time since the last tick counts
// too, because a resumed process may act before its next tick.
func (m *Membership) recentlyPaused(now time.Duration) bool {
	return now < m.pauseRecoveryUntil || now-m.lastTick > m.Timing.TickInterval+m.Timing.MaxTickDelay
}

func (v *View) addSelf(m *Membership) {
	v.selfIndex = len(v.Members)
	v.Members = append(v.Members, Member{
		ID:               m.ID,
		Incarnation:      m.Incarnation,
		FailureDomain:    m.FailureDomain,
		PeerAddress:      m.PeerAddress,
		CallerAddress:    m.CallerAddress,
		State:            m.state,
		Link:             LinkTwoWay,
		Live:             true,
		Capacity:         m.Capacity,
		Hub:              m.hub,
		Degraded:         m.degraded,
		Lost:             m.lost,
		AcceptedRevision: m.acceptedRevision,
		Epoch:            m.epoch,
		Digest:           m.tablesDigest,
	})
	v.states = append(v.states, memberState{hash: m.hash, eligible: v.selfEligible, reader: m.reader, seed: m.isSeed(m.ID)})
}

func (v *View) addPeer(m *Membership, now time.Duration, p *peer, recentHubs []*peer) {
	member := p.Member
	member.Link, member.Live, member.Relay = p.link, p.live, p.relay
	v.Members = append(v.Members, member)
	recentlyHeard := now-p.heardAt <= m.silenceTimeout(p)
	v.states = append(v.states, memberState{
		hash:           p.hash,
		eligible:       p.live && p.State == StateServing && !p.listedLeaving && m.mayStillOwn(now, p, recentHubs),
		lastServingAt:  p.lastServingAt,
		lastEligibleAt: p.lastEligibleAt,
		heardAt:        p.heardAt,
		claims:         p.claims,
		reader:         p.reader && recentlyHeard,
		seed:           p.seed,
	})
	if !recentlyHeard {
		return
	}
	v.Poison = append(v.Poison, p.poison...)
	v.HasOtherReader = v.HasOtherReader || p.reader
	if !p.live || p.AcceptedRevision < v.HighestRevision || p.AcceptedRevision <= m.acceptedRevision {
		return
	}
	if p.AcceptedRevision > v.HighestRevision {
		v.HighestRevision, v.HighestDigest = p.AcceptedRevision, p.Digest
		v.Holders = nil
	}
	v.Holders = append(v.Holders, p.ID)
}

// Member returns the member with the given ID.
func (v *View) Member(id EntryID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id EntryID) int {
		if m.ID < id {
			return -1
		}
		if m.ID > id {
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// IsHub reports whether this entry announces itself as a hub.
func (v *View) IsHub() bool { return v.Members[v.selfIndex].Hub }

// IsDegraded reports whether this entry reports that it can't reach its targets.
func (v *View) IsDegraded() bool { return v.Members[v.selfIndex].Degraded }

// rankKeyOf returns the key that the candidates for a cell are ranked by.
func (v *View) rankKeyOf(c CellKey) rankKey {
	switch {
	case len(v.shardDomains) == 0:
		return rankKey{hash: c.hash()}
	case c.Index < len(v.shardDomains):
		return shardKey(c.Index, v.shardDomains[c.Index])
	}
	// The cell is from tables that this entry does not have yet.
	return shardKey(c.Index, "")
}

// rank returns the rank of the member at index i for a cell.
func (v *View) rank(i int, cell rankKey) uint64 {
	m := &v.Members[i]
	return cell.rank(rankAttributes{
		hash: v.states[i].hash, health: v.degradedDomains.health(m), capacity: m.Capacity, domain: m.FailureDomain,
	})
}

// Owner returns the owner of a cell, and false if no entry can own it.
func (v *View) Owner(c CellKey) (Member, bool) {
	i := v.ownerIndex(v.rankKeyOf(c))
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owns reports whether this entry owns the cell.
func (v *View) Owns(c CellKey) bool { return v.ownerIndex(v.rankKeyOf(c)) == v.selfIndex }

// ownerIndex returns the index of the owner in Members, or -1.
func (v *View) ownerIndex(cell rankKey) int {
	best, bestRank := -1, uint64(0)
	for i := range v.states {
		if !v.states[i].eligible {
			continue
		}
		if r := v.rank(i, cell); best < 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// hubsPerCell is how many of the highest-ranked entries of a cell are hubs: the owner and the two next in
// line.
const hubsPerCell = 3

// RanksAsHub reports whether this entry owns one of the cells or is one of the next in line for one. With shards,
// the cells of all shards count, whatever cells holds.
func (v *View) RanksAsHub(cells []CellKey) bool {
	if len(v.shardDomains) == 0 {
		return slices.ContainsFunc(cells, func(c CellKey) bool { return v.ranksAmongHubs(v.rankKeyOf(c)) })
	}
	for i, domain := range v.shardDomains {
		if v.ranksAmongHubs(shardKey(i, domain)) {
			return true
		}
	}
	return false
}

// ranksAmongHubs reports whether fewer than hubsPerCell other members that can own the cell rank above this
// entry.
func (v *View) ranksAmongHubs(cell rankKey) bool {
	own := v.rank(v.selfIndex, cell)
	above := 0
	for i := range v.states {
		if i != v.selfIndex && v.states[i].eligible && v.rank(i, cell) > own {
			above++
		}
	}
	return above < hubsPerCell
}

// Candidates returns all members that can own the cell, the owner first.
func (v *View) Candidates(c CellKey) []Member {
	cell := v.rankKeyOf(c)
	return v.rankedMembers(cell, func(i int) bool { return v.states[i].eligible })
}

// rankedMembers returns the members that include selects, the highest rank first.
func (v *View) rankedMembers(key rankKey, include func(i int) bool) []Member {
	type indexedRank struct {
		index int
		rank  uint64
	}
	order := make([]indexedRank, 0, len(v.states))
	for i := range v.states {
		if include(i) {
			order = append(order, indexedRank{i, v.rank(i, key)})
		}
	}
	slices.SortFunc(order, func(a, b indexedRank) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return a.index - b.index
	})
	members := make([]Member, len(order))
	for i, o := range order {
		members[i] = v.Members[o.index]
	}
	return members
}

// Backups returns the n members that rank next after the owner; fewer if there are fewer.
func (v *View) Backups(c CellKey, n int) []Member {
	r := v.Candidates(c)
	if len(r) < 2 {
		return nil
	}
	return r[1:min(n+1, len(r))]
}

// Witnesses of a failure domain and altogether, and how long ago they must have been heard; see PathWitnesses.
const (
	witnessesPerDomain = 2
	maxWitnesses       = 6
	maxWitnessSilence  = 10 * time.Second
)

// PathWitnesses returns peers that can tell whether targets of the cell or the paths from this entry to them are at
// fault: the highest-ranked ones of each failure domain that are not degraded, those of other failure domains first;
// with few failure domains, more of each. In the hub-and-spoke topology most of them are no hubs, so that they were heard
// some seconds ago.
func (v *View) PathWitnesses(c CellKey) []Member {
	self := v.Members[v.selfIndex].FailureDomain
	ranked := v.rankedMembers(v.rankKeyOf(c), func(i int) bool {
		m := &v.Members[i]
		return i != v.selfIndex && m.State == StateServing && m.PeerAddress != "" && !m.Degraded &&
			v.At-v.states[i].heardAt <= maxWitnessSilence
	})
	perDomain := make(map[table.FailureDomain]int)
	var own, others, rest []Member
	for _, m := range ranked {
		perDomain[m.FailureDomain]++
		switch {
		case perDomain[m.FailureDomain] > witnessesPerDomain:
			rest = append(rest, m)
		case m.FailureDomain == self:
			own = append(own, m)
		default:
			others = append(others, m)
		}
	}
	witnesses := slices.Concat(others, own, rest)
	return witnesses[:min(len(witnesses), maxWitnesses)]
}

// Readers returns the n live members of a failure domain that should read the platform.
func (v *View) Readers(d table.FailureDomain, n int) []Member {
	r := v.rankedMembers(rankKey{hash: hashOf("readers\x00" + string(d))}, func(i int) bool {
		m := v.Members[i]
		return m.FailureDomain == d && m.Live && m.State != StateLeaving
	})
	return r[:min(n, len(r))]
}

// IsReader reports whether this entry should read the platform. In a full mesh these are n entries of each
// failure domain. In the hub-and-spoke topology, where entries don't receive heartbeats of all others of their
// domain, they are the hubs of the first shard, or all hubs if there are no shards.
func (v *View) IsReader(n int) bool {
	switch {
	case v.hubTopology && len(v.shardDomains) > 0:
		return v.ranksAmongHubs(shardKey(0, v.shardDomains[0]))
	case v.hubTopology:
		return v.IsHub()
	}
	self := v.Members[v.selfIndex]
	return slices.ContainsFunc(v.Readers(self.FailureDomain, n), func(m Member) bool { return m.ID == v.Self })
}
