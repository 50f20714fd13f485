package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Timing holds the periods that membership works with. Zero fields are replaced by their defaults.
type Timing struct {
	// HeartbeatInterval is the mean time between heartbeats to a peer; 500 ms.
	HeartbeatInterval time.Duration
	// SlowHeartbeatInterval is the mean time between heartbeats of entries that are not prominent; the same as Heartbeat
	// unless it is longer.
	SlowHeartbeatInterval time.Duration
	// SuspectTimeout is how long a peer counts as heard after its last heartbeat; 2 s.
	SuspectTimeout time.Duration
	// GoneTimeout is after which silence a peer counts as gone; 5 s.
	GoneTimeout time.Duration
	// HandoverDelay is how long an entry must have been the owner before it can be sole; 7 s.
	HandoverDelay time.Duration
	// TickInterval is the period at which Tick is called; 50 ms.
	TickInterval time.Duration
	// MaxTickDelay is by how much a tick may be late before the entry doubts itself; 500 ms.
	MaxTickDelay time.Duration
	// PauseRecovery is how long the entry doubts itself after a late tick; 2 s.
	PauseRecovery time.Duration
	// SettleDelay is how long a new owner waits before it ejects anything; 3 s. A former owner that
	// was sole notices within Suspect plus one heartbeat plus Late that it no longer is.
	SettleDelay time.Duration
	// MaxListLag is by how much the fleet list may lag behind the start of an entry; 60 s. An entry
	// that started less than this ago must be missing from the list for as long before the list
	// confirms its absence, because the list may speak of the time before its start.
	MaxListLag time.Duration
}

func (t Timing) withDefaults() Timing {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.HeartbeatInterval, 500 * time.Millisecond},
		{&t.SuspectTimeout, 2 * time.Second},
		{&t.GoneTimeout, 5 * time.Second},
		{&t.HandoverDelay, 7 * time.Second},
		{&t.TickInterval, 50 * time.Millisecond},
		{&t.MaxTickDelay, 500 * time.Millisecond},
		{&t.PauseRecovery, 2 * time.Second},
		{&t.SettleDelay, 3 * time.Second},
		{&t.MaxListLag, 60 * time.Second},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	t.SlowHeartbeatInterval = max(t.SlowHeartbeatInterval, t.HeartbeatInterval)
	return t
}

// Seed is a peer that is known from the settings.
type Seed struct {
	ID          EntryID
	PeerAddress string
}

// Membership is what one entry knows of its group. It does no I/O and reads no clock: all times are
// durations since an arbitrary start. It is not safe for concurrent use; View returns a snapshot
// that is.
type Membership struct {
	ID            EntryID
	Incarnation   Incarnation
	FailureDomain table.FailureDomain
	PeerAddress   string
	CallerAddress string
	Seeds         []Seed
	Timing        Timing
	// Groups is the number of groups of the fleet; 0 means 1. Entries of other groups get no
	// heartbeats and own no cells of this group.
	Groups int
	// CapacityClass is the class of this entry's VM: each class has twice the capacity of the one below. Entries of the
	// highest class own the cells.
	Capacity CapacityClass
	// Shards, if it is set, gives the cells with one index the same owner in all pools, and each index a failure
	// domain whose entries come first. With one shard one entry holds the evidence of all targets.
	ShardDomains []table.FailureDomain
	// Random spreads heartbeats over time. It must be set.
	Random *rand.Rand

	started bool
	// startedAt is the time of the first call.
	startedAt        time.Duration
	key              memberKey
	hash             hash64
	peers            []*peer // sorted by id
	byID             map[EntryID]*peer
	byName           map[nameKey]*peer
	unknownEntries   map[nameKey]time.Duration // entries that peers report and that have no row, by when
	state            State
	acceptedRevision table.Revision
	tablesDigest     uint64
	epoch            uint32
	reader           bool
	claims           []CellClaim
	poison           []uint64
	// hub entries own cells or are next to do so, and beat fast.
	hub bool
	// degraded is what SetHealthy last said, reversed. Until announceUntil an entry that has handed its cells over still beats
	// to all, so that they know.
	degraded      bool
	announceUntil time.Duration

	lastTick           time.Duration
	tickDelay          time.Duration
	pauseRecoveryUntil time.Duration
	eligibleSince      time.Duration // since when this entry can own cells without a late tick
	lastUnlinkedAt     time.Duration // when a named entry last had no direct two-way link
	nextHeartbeat      time.Duration
	sequence           uint64
	claimOffset        int
	poisonOffset       int
	selfListed         bool // the fleet list names this entry
	selfEverListed     bool // some fleet list named this entry
	selfListedLeaving  bool // the fleet list says that this entry is leaving
	listReceivedAt     time.Duration
	hasList            bool
	linkSets           []linkSet // recent own link sets, latest last

	faults faults
}

// linkSet is a set of two-way links that this entry reported, itself included.
type linkSet struct {
	digest uint64
	keys   KeySet
}

// faults switches rules off, so that tests can show that their checks depend on them.
type faults struct {
	noHandoverDelay       bool // a new owner is sole at once
	relayedLinksCount     bool // a relayed link counts as a direct one
	unlistedMeansGone     bool // absence from the fleet list counts as gone
	noSettleDelay         bool // a new owner ejects at once
	ignoreReportedLeaving bool // only an entry itself tells that it leaves
}

// initialize sets up the tables at the first call of any method.
func (m *Membership) initialize(now time.Duration) {
	if m.started {
		return
	}
	m.started = true
	m.Timing = m.Timing.withDefaults()
	m.key = nameKeyOf(m.ID).with(m.Incarnation)
	m.hash = hashOf(string(m.ID))
	m.byID = make(map[EntryID]*peer)
	m.byName = make(map[nameKey]*peer)
	m.unknownEntries = make(map[nameKey]time.Duration)
	m.startedAt = now
	m.lastTick = now
	m.eligibleSince = now
	m.lastUnlinkedAt = now
	m.nextHeartbeat = now
	m.AddSeeds(now, m.Seeds)
	m.recordLinkSet(now)
}

// findOrAddPeer returns the row of a peer, which it adds if it is new. It returns nil for this entry itself and
// for entries of other groups.
func (m *Membership) findOrAddPeer(now time.Duration, id EntryID) *peer {
	if p := m.byID[id]; p != nil {
		return p
	}
	if id == m.ID || id == "" || GroupOfEntry(id, m.Groups) != GroupOfEntry(m.ID, m.Groups) {
		return nil
	}
	p := newPeer(now, id)
	at, _ := slices.BinarySearchFunc(m.peers, id, func(p *peer, id EntryID) int {
		return strings.Compare(string(p.ID), string(id))
	})
	m.peers = slices.Insert(m.peers, at, p)
	m.byID[id] = p
	m.byName[p.name] = p
	delete(m.unknownEntries, p.name)
	return p
}

// SetState sets what this entry says of itself.
func (m *Membership) SetState(now time.Duration, s State) {
	m.initialize(now)
	if s != m.state {
		m.eligibleSince = now
		m.scheduleHeartbeats(now)
	}
	m.state = s
}

// scheduleHeartbeats makes heartbeats to all peers due.
func (m *Membership) scheduleHeartbeats(now time.Duration) {
	m.nextHeartbeat = now
	for _, p := range m.peers {
		p.sentAt = never
	}
}

// SetAcceptedRevision sets the pair of tables in force. A change is announced to all peers with the next tick, or
// with the usual heartbeats if another entry has announced it before.
func (m *Membership) SetAcceptedRevision(now time.Duration, r table.Revision, digest uint64, announced bool) {
	if r != m.acceptedRevision && (!announced || m.hub || !m.hubTopology()) {
		m.scheduleHeartbeats(now)
	}
	m.acceptedRevision, m.tablesDigest = r, digest
}

// SetHub says whether this entry owns a cell or is next to do so.
func (m *Membership) SetHub(now time.Duration, hub bool) {
	hub = hub || now < m.announceUntil
	if hub && !m.hub {
		m.scheduleHeartbeats(now)
	}
	m.hub = hub
}

// startupPeriod is how long after its start an entry calls silent peers often.
const startupPeriod = 5 * time.Second

// SetHealthy says whether this entry reaches its targets. One that does not hands its cells over at once.
func (m *Membership) SetHealthy(now time.Duration, healthy bool) {
	m.initialize(now)
	if m.degraded == healthy {
		m.announceUntil = now + m.Timing.SuspectTimeout
		m.scheduleHeartbeats(now)
	}
	m.degraded = !healthy
}

// reportedHubTTL is how long an entry calls a silent peer that others introduced as prominent. Introductions are
// repeated while these hear it.
const reportedHubTTL = 2 * time.Second

// hubTopology says that only prominent entries have links with all others, so that the cost of a group grows with its
// size and not with the square of it.
func (m *Membership) hubTopology() bool {
	return m.Timing.SlowHeartbeatInterval > m.Timing.HeartbeatInterval
}

// linkedToHub says that a prominent peer and this entry hear each other.
func (m *Membership) linkedToHub() bool {
	for _, p := range m.peers {
		if p.Hub && p.link == LinkTwoWay {
			return true
		}
	}
	return false
}

// heartbeatInterval is the mean time between heartbeats to a peer; 0 means none.
func (m *Membership) heartbeatInterval(now time.Duration, p *peer, linkedToHub bool) time.Duration {
	settled := now-m.startedAt >= startupPeriod
	switch {
	case !m.hubTopology():
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && m.hub:
		return m.Timing.SlowHeartbeatInterval
	case p.link == LinkSilent && now-p.reportedHubAt <= reportedHubTTL:
		// Others hear it, so that it may own cells; it need not know of this entry.
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && linkedToHub:
		// A prominent peer that is cut off calls again itself, and one that is no longer prominent need not
		// be called.
		return 0
	case m.hub, p.Hub && p.link != LinkTwoWay, !linkedToHub:
		return m.Timing.HeartbeatInterval
	case m.state == StateLeaving && p.link != LinkSilent:
		return m.Timing.HeartbeatInterval
	case p.Hub:
		return m.Timing.SlowHeartbeatInterval
	}
	return 0
}

// SetReader says whether this entry read the platform lately.
func (m *Membership) SetReader(working bool) { m.reader = working }

// SetEpoch sets the epoch of run ids that callers of this entry make now.
func (m *Membership) SetEpoch(epoch uint32) { m.epoch = epoch }

// SetClaims sets the cells that this entry serves as owner, with their ejected targets. The slice is
// not modified and must not be changed afterwards.
func (m *Membership) SetClaims(claims []CellClaim) { m.claims = claims }

// SetPoison sets the fingerprints that this entry refuses. The slice must not be changed afterwards.
func (m *Membership) SetPoison(fingerprints []uint64) { m.poison = fingerprints }

// UpdateFleetList takes a new copy of the fleet list. The list may name entries that are gone for any
// time, omit new ones, and mark any as leaving. Three things are relied upon: the copies that one
// entry gets are not older than the ones before, entries that start appear within Times.MaxListLag, and
// the platform drops no entry that still runs and is not paused. Without them a part of a split
// fleet could not tell the other part from a failure.
func (m *Membership) UpdateFleetList(now time.Duration, rows []ListedEntry) {
	m.initialize(now)
	for _, p := range m.peers {
		p.listed, p.listedLeaving = false, false
	}
	wasLeaving := m.selfListedLeaving
	m.selfListed, m.selfListedLeaving = false, false
	for _, r := range rows {
		if r.ID == m.ID {
			m.selfListed, m.selfEverListed, m.selfListedLeaving = true, true, r.Leaving
			continue
		}
		if p := m.findOrAddPeer(now, r.ID); p != nil {
			p.applyListedEntry(r)
		}
	}
	for _, p := range m.peers {
		p.updateListing(now, m.Timing.MaxListLag)
	}
	if wasLeaving && !m.selfListedLeaving {
		m.eligibleSince = now
	}
	m.hasList = true
	m.listReceivedAt = now
}

// detectPause detects a late tick. Time that this entry did not run is no evidence against its peers,
// so their timers are moved by it, and the entry doubts itself for a while. Its peers may have taken
// it for absent, so it must hear again that they know it.
func (m *Membership) detectPause(now time.Duration) {
	gap := now - m.lastTick
	delay := gap - m.Timing.TickInterval
	m.tickDelay = max(delay, 0)
	if delay <= m.Timing.MaxTickDelay {
		return
	}
	m.pauseRecoveryUntil = now + m.Timing.PauseRecovery
	m.eligibleSince = now
	m.lastUnlinkedAt = now
	m.lastTick = now
	for _, p := range m.peers {
		p.shiftTimers(gap)
		p.everHeardSelf = false
	}
	for n := range m.unknownEntries {
		m.unknownEntries[n] += gap
	}
}

// Tick is called every Times.Tick. It returns the heartbeats that are due.
func (m *Membership) Tick(now time.Duration) []OutgoingHeartbeat {
	m.initialize(now)
	m.detectPause(now)
	m.lastTick = now
	m.refreshPeers(now)
	if now < m.nextHeartbeat {
		return nil
	}
	jitter := 0.9 + 0.2*m.Random.Float64()
	m.nextHeartbeat = now + time.Duration(float64(m.Timing.HeartbeatInterval)*jitter)
	m.removeGonePeers(now)
	return m.heartbeats(now)
}

// refreshPeers notes for every peer until when it was live and able to own cells.
func (m *Membership) refreshPeers(now time.Duration) {
	for _, p := range m.peers {
		m.refreshPeer(now, p)
	}
	if !m.linkedToAll(now) {
		m.lastUnlinkedAt = now
	}
}

func (m *Membership) refreshPeer(now time.Duration, p *peer) {
	p.link = m.linkState(now, p)
	p.relay = ""
	p.live = p.link == LinkTwoWay
	if !p.live {
		p.relay, p.live = m.findRelay(now, p)
	}
	if p.live && p.State == StateServing {
		p.lastServingAt = now
		if !p.listedLeaving {
			p.lastEligibleAt = now
		}
	}
}

// peerRetention is how long a row is kept after its entry was confirmed absent, so that a late
// heartbeat of it is still recognised.
const peerRetention = time.Minute

func (m *Membership) removeGonePeers(now time.Duration) {
	m.peers = slices.DeleteFunc(m.peers, func(p *peer) bool {
		drop := !p.seed && !p.listed && !p.live && m.confirmedGone(now, p) && now-p.lastSeenAt() > peerRetention
		if drop {
			delete(m.byID, p.ID)
			delete(m.byName, p.name)
		}
		return drop
	})
	for n, at := range m.unknownEntries {
		if now-at > m.Timing.GoneTimeout {
			delete(m.unknownEntries, n)
		}
	}
}

// AddSeeds adds peers that are known from the settings to those that are known already.
func (m *Membership) AddSeeds(now time.Duration, seeds []Seed) {
	m.initialize(now)
	for _, s := range seeds {
		if p := m.findOrAddPeer(now, s.ID); p != nil {
			p.seed = true
			if p.PeerAddress == "" {
				p.PeerAddress = s.PeerAddress
			}
		}
	}
}
