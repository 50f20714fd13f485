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
	// Members is sorted by id and holds this entry itself. Gone entries stay in it with Live false
	// until they are forgotten.
	Members []Member
	// RecentlyPaused says that this entry was recently paused: its evidence is worthless.
	RecentlyPaused bool
	// HighestRevision is the highest accepted revision of this entry and all peers heard lately;
	// Holders are the live peers that have it, empty if this entry has it already.
	HighestRevision table.Revision
	HighestDigest   uint64
	Holders         []EntryID
	// HasReader says that this entry or a live peer read the platform lately.
	HasReader bool
	// HasOtherReader says that a live peer read the platform lately.
	HasOtherReader bool
	// Poison is the union of the fingerprints that peers reported lately, sorted.
	Poison []uint64

	shards   []table.FailureDomain
	star     bool
	times    Timing
	rows     []viewRow // one for each of Members
	self     int
	mayOwn   bool // this entry may own cells at all
	maySole  bool // all conditions of sole hold that don't depend on the cell
	mayEject bool
	faults   faults
}

// viewRow is what the view keeps of a member besides the public part.
type viewRow struct {
	hash          hash64
	eligible      bool
	servingUntil  time.Duration
	eligibleUntil time.Duration
	heardAt       time.Duration
	claims        []peerClaim
	reader        bool
}

// View returns a snapshot at now.
func (m *Membership) View(now time.Duration) *View {
	m.start(now)
	v := &View{
		At:              now,
		Self:            m.ID,
		RecentlyPaused:  m.doubting(now),
		HighestRevision: m.accepted,
		HighestDigest:   m.digest,
		HasReader:       m.reader,
		Members:         make([]Member, 0, len(m.peers)+1),
		rows:            make([]viewRow, 0, len(m.peers)+1),
		times:           m.Timing,
		shards:          m.ShardDomains,
		star:            m.star(),
		faults:          m.faults,
		mayOwn:          m.state == StateServing && !m.listLeave,
	}
	v.maySole = m.maySole(now) && !v.RecentlyPaused
	v.mayEject = m.mayEject(now) && !v.RecentlyPaused
	selfAdded := false
	for _, p := range m.peers {
		if !selfAdded && p.ID > m.ID {
			v.addSelf(m)
			selfAdded = true
		}
		m.refreshPeer(now, p)
		v.addPeer(m, now, p)
	}
	if !selfAdded {
		v.addSelf(m)
	}
	slices.Sort(v.Poison)
	v.Poison = slices.Compact(v.Poison)
	return v
}

// doubting reports whether this entry was paused lately. It looks at the time since the last tick
// too, because a paused process may act before its next tick.
func (m *Membership) doubting(now time.Duration) bool {
	return now < m.doubtUntil || now-m.lastTick > m.Timing.TickInterval+m.Timing.MaxTickDelay
}

func (v *View) addSelf(m *Membership) {
	v.self = len(v.Members)
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
		Hub:              m.prominent,
		Degraded:         m.unfit,
		AcceptedRevision: m.accepted,
		Epoch:            m.epoch,
		Digest:           m.digest,
	})
	v.rows = append(v.rows, viewRow{hash: m.hash, eligible: v.mayOwn, reader: m.reader})
}

func (v *View) addPeer(m *Membership, now time.Duration, p *peer) {
	member := p.Member
	member.Link, member.Live, member.Relay = p.link, p.live, p.via
	v.Members = append(v.Members, member)
	heard := now-p.heardAt <= m.patience(p)
	v.rows = append(v.rows, viewRow{
		hash:          p.hash,
		eligible:      p.live && p.State == StateServing && !p.listLeave && m.fresh(now, p),
		servingUntil:  p.servingUntil,
		eligibleUntil: p.eligibleUntil,
		heardAt:       p.heardAt,
		claims:        p.claims,
		reader:        p.reader && heard,
	})
	if !heard {
		return
	}
	v.Poison = append(v.Poison, p.poison...)
	v.HasReader = v.HasReader || p.reader
	v.HasOtherReader = v.HasOtherReader || p.reader
	if !p.live || p.AcceptedRevision < v.HighestRevision || p.AcceptedRevision <= m.accepted {
		return
	}
	if p.AcceptedRevision > v.HighestRevision {
		v.HighestRevision, v.HighestDigest = p.AcceptedRevision, p.Digest
		v.Holders = nil
	}
	v.Holders = append(v.Holders, p.ID)
}

// Member returns the member with an id.
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

// IsHub says that this entry owns a cell or is next to do so, as it last said itself.
func (v *View) IsHub() bool { return v.Members[v.self].Hub }

// rankKey returns what the owners of a cell are ranked by.
func (v *View) rankKey(c CellKey) rankKey {
	switch {
	case len(v.shards) == 0:
		return rankKey{hash: c.hash()}
	case c.Index < len(v.shards):
		return shardKey(c.Index, v.shards[c.Index])
	}
	// The cell is of tables that this entry does not have yet.
	return shardKey(c.Index, "")
}

// rank returns the rank of a member for a cell.
func (v *View) rank(i int, cell rankKey) uint64 {
	m := &v.Members[i]
	return cell.rank(rankable{hash: v.rows[i].hash, unfit: m.Degraded, capacity: m.Capacity, domain: m.FailureDomain})
}

// Owner returns the owner of a cell, and false if no entry can own it.
func (v *View) Owner(c CellKey) (Member, bool) {
	i := v.owner(v.rankKey(c))
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owns says that this entry owns the cell.
func (v *View) Owns(c CellKey) bool { return v.owner(v.rankKey(c)) == v.self }

func (v *View) owner(cell rankKey) int {
	best, bestRank := -1, uint64(0)
	for i := range v.rows {
		if !v.rows[i].eligible {
			continue
		}
		if r := v.rank(i, cell); best < 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// prominentRank is how many entries from the top of a cell's ranking beat fast: the owner, and two that may
// follow it when it goes.
const prominentRank = 3

// RanksAsHub says that this entry owns one of the cells or is next to do so.
func (v *View) RanksAsHub(cells []CellKey) bool {
	if len(v.shards) == 0 {
		return slices.ContainsFunc(cells, func(c CellKey) bool { return v.amongFirst(v.rankKey(c)) })
	}
	for i, domain := range v.shards {
		if v.amongFirst(shardKey(i, domain)) {
			return true
		}
	}
	return false
}

// amongFirst says that fewer than prominentRank members that may own the cell rank above this entry.
func (v *View) amongFirst(cell rankKey) bool {
	own := v.rank(v.self, cell)
	above := 0
	for i := range v.rows {
		if i != v.self && v.rows[i].eligible && v.rank(i, cell) > own {
			above++
		}
	}
	return above < prominentRank
}

// Candidates returns all members that can own the cell, the owner first.
func (v *View) Candidates(c CellKey) []Member {
	cell := v.rankKey(c)
	return v.ranked(cell, func(i int) bool { return v.rows[i].eligible })
}

func (v *View) ranked(key rankKey, take func(i int) bool) []Member {
	type entry struct {
		at   int
		rank uint64
	}
	order := make([]entry, 0, len(v.rows))
	for i := range v.rows {
		if take(i) {
			order = append(order, entry{i, v.rank(i, key)})
		}
	}
	slices.SortFunc(order, func(a, b entry) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return a.at - b.at
	})
	members := make([]Member, len(order))
	for i, o := range order {
		members[i] = v.Members[o.at]
	}
	return members
}

// Backups returns the n members that follow the owner in rank; fewer if there are fewer.
func (v *View) Backups(c CellKey, n int) []Member {
	r := v.Candidates(c)
	if len(r) < 2 {
		return nil
	}
	return r[1:min(n+1, len(r))]
}

// Readers returns the n live members of a failure domain that read the platform.
func (v *View) Readers(d table.FailureDomain, n int) []Member {
	r := v.ranked(rankKey{hash: hashOf("readers\x00" + string(d))}, func(i int) bool {
		m := v.Members[i]
		return m.FailureDomain == d && m.Live && m.State != StateLeaving
	})
	return r[:min(n, len(r))]
}

// IsReader says whether this entry is one of the n readers of its failure domain. In a star, where entries don't
// hear all others of their domain, those read that own the cells of the first shard or are next to do so.
func (v *View) IsReader(n int) bool {
	switch {
	case v.star && len(v.shards) > 0:
		return v.amongFirst(shardKey(0, v.shards[0]))
	case v.star:
		return v.IsHub()
	}
	self := v.Members[v.self]
	return slices.ContainsFunc(v.Readers(self.FailureDomain, n), func(m Member) bool { return m.ID == v.Self })
}
