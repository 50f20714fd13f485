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
	startedAt time.Duration
	key       memberKey
	hash      hash64
	peers     []*peer // sorted by id
	byID      map[EntryID]*peer
	byName    map[nameKey]*peer
	unknown   map[nameKey]time.Duration // entries that peers report and that have no row, by when
	state     State
	accepted  table.Revision
	digest    uint64
	epoch     uint32
	reader    bool
	claims    []CellClaim
	poison    []uint64
	// prominent entries own cells or are next to do so, and beat fast.
	prominent bool
	// unfit is what SetHealthy last said, reversed. Until announceUntil an entry that has handed its cells over still beats
	// to all, so that they know.
	unfit         bool
	announceUntil time.Duration

	lastTick   time.Duration
	tickLate   time.Duration
	doubtUntil time.Duration
	ownFrom    time.Duration // since when this entry can own cells without a late tick
	unlinkedAt time.Duration // when a named entry last had no direct two-way link
	nextBeat   time.Duration
	sequence   uint64
	claimPage  int
	poisonPage int
	listed     bool // the fleet list names this entry
	everListed bool // some fleet list named this entry
	listLeave  bool // the fleet list says that this entry is leaving
	listAt     time.Duration
	hasList    bool
	linkSets   []linkSet // recent own link sets, latest last

	faults faults
}

// linkSet is a set of two-way links that this entry reported, itself included.
type linkSet struct {
	digest uint64
	keys   KeySet
}

// faults switches rules off, so that tests can show that their checks depend on them.
type faults struct {
	noHandoverWait  bool // a new owner is sole at once
	relayCounts     bool // a relayed link counts as a direct one
	listAbsenceOnly bool // absence from the fleet list counts as gone
	noSettle        bool // a new owner ejects at once
	ignoreLeaving   bool // only an entry itself tells that it leaves
}

// start sets up the tables at the first call of any method.
func (m *Membership) start(now time.Duration) {
	if m.started {
		return
	}
	m.started = true
	m.Timing = m.Timing.withDefaults()
	m.key = nameKeyOf(m.ID).with(m.Incarnation)
	m.hash = hashOf(string(m.ID))
	m.byID = make(map[EntryID]*peer)
	m.byName = make(map[nameKey]*peer)
	m.unknown = make(map[nameKey]time.Duration)
	m.startedAt = now
	m.lastTick = now
	m.ownFrom = now
	m.unlinkedAt = now
	m.nextBeat = now
	m.AddSeeds(now, m.Seeds)
	m.rememberLinks(now)
}

// row returns the row of a peer, which it adds if it is new. It returns nil for this entry itself and
// for entries of other groups.
func (m *Membership) row(now time.Duration, id EntryID) *peer {
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
	delete(m.unknown, p.name)
	return p
}

// SetState sets what this entry says of itself.
func (m *Membership) SetState(now time.Duration, s State) {
	m.start(now)
	if s != m.state {
		m.ownFrom = now
		m.beatAll(now)
	}
	m.state = s
}

// beatAll makes heartbeats to all peers due.
func (m *Membership) beatAll(now time.Duration) {
	m.nextBeat = now
	for _, p := range m.peers {
		p.sentAt = never
	}
}

// SetAcceptedRevision sets the pair of tables in force. A change is announced to all peers with the next tick, or
// with the usual heartbeats if another entry has announced it before.
func (m *Membership) SetAcceptedRevision(now time.Duration, r table.Revision, digest uint64, announced bool) {
	if r != m.accepted && (!announced || m.prominent || !m.star()) {
		m.beatAll(now)
	}
	m.accepted, m.digest = r, digest
}

// SetHub says whether this entry owns a cell or is next to do so.
func (m *Membership) SetHub(now time.Duration, prominent bool) {
	prominent = prominent || now < m.announceUntil
	if prominent && !m.prominent {
		m.beatAll(now)
	}
	m.prominent = prominent
}

// settleTime is how long after its start an entry calls silent peers often.
const settleTime = 5 * time.Second

// SetHealthy says whether this entry reaches its targets. One that does not hands its cells over at once.
func (m *Membership) SetHealthy(now time.Duration, fit bool) {
	m.start(now)
	if m.unfit == fit {
		m.announceUntil = now + m.Timing.SuspectTimeout
		m.beatAll(now)
	}
	m.unfit = !fit
}

// toldProminentFor is how long an entry calls a silent peer that others introduced as prominent. Introductions are
// repeated while these hear it.
const toldProminentFor = 2 * time.Second

// star says that only prominent entries have links with all others, so that the cost of a group grows with its
// size and not with the square of it.
func (m *Membership) star() bool { return m.Timing.SlowHeartbeatInterval > m.Timing.HeartbeatInterval }

// anchored says that a prominent peer and this entry hear each other.
func (m *Membership) anchored() bool {
	for _, p := range m.peers {
		if p.Hub && p.link == LinkTwoWay {
			return true
		}
	}
	return false
}

// period is the mean time between heartbeats to a peer; 0 means none.
func (m *Membership) period(now time.Duration, p *peer, anchored bool) time.Duration {
	settled := now-m.startedAt >= settleTime
	switch {
	case !m.star():
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && m.prominent:
		return m.Timing.SlowHeartbeatInterval
	case p.link == LinkSilent && now-p.toldProminentAt <= toldProminentFor:
		// Others hear it, so that it may own cells; it need not know of this entry.
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && anchored:
		// A prominent peer that is cut off calls again itself, and one that is no longer prominent need not
		// be called.
		return 0
	case m.prominent, p.Hub && p.link != LinkTwoWay, !anchored:
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
	m.start(now)
	for _, p := range m.peers {
		p.listed, p.listLeave = false, false
	}
	wasLeaving := m.listLeave
	m.listed, m.listLeave = false, false
	for _, r := range rows {
		if r.ID == m.ID {
			m.listed, m.everListed, m.listLeave = true, true, r.Leaving
			continue
		}
		if p := m.row(now, r.ID); p != nil {
			p.fromList(r)
		}
	}
	for _, p := range m.peers {
		p.noteListing(now, m.Timing.MaxListLag)
	}
	if wasLeaving && !m.listLeave {
		m.ownFrom = now
	}
	m.hasList = true
	m.listAt = now
}

// noteLate detects a late tick. Time that this entry did not run is no evidence against its peers,
// so their timers are moved by it, and the entry doubts itself for a while. Its peers may have taken
// it for absent, so it must hear again that they know it.
func (m *Membership) noteLate(now time.Duration) {
	gap := now - m.lastTick
	late := gap - m.Timing.TickInterval
	m.tickLate = max(late, 0)
	if late <= m.Timing.MaxTickDelay {
		return
	}
	m.doubtUntil = now + m.Timing.PauseRecovery
	m.ownFrom = now
	m.unlinkedAt = now
	m.lastTick = now
	for _, p := range m.peers {
		p.moveTimers(gap)
		p.knewMe = false
	}
	for n := range m.unknown {
		m.unknown[n] += gap
	}
}

// Tick is called every Times.Tick. It returns the heartbeats that are due.
func (m *Membership) Tick(now time.Duration) []OutgoingHeartbeat {
	m.start(now)
	m.noteLate(now)
	m.lastTick = now
	m.refresh(now)
	if now < m.nextBeat {
		return nil
	}
	jitter := 0.9 + 0.2*m.Random.Float64()
	m.nextBeat = now + time.Duration(float64(m.Timing.HeartbeatInterval)*jitter)
	m.forget(now)
	return m.heartbeats(now)
}

// refresh notes for every peer until when it was live and able to own cells.
func (m *Membership) refresh(now time.Duration) {
	for _, p := range m.peers {
		m.refreshPeer(now, p)
	}
	if !m.linkedToAll(now) {
		m.unlinkedAt = now
	}
}

func (m *Membership) refreshPeer(now time.Duration, p *peer) {
	p.link = m.linkOf(now, p)
	p.via = ""
	p.live = p.link == LinkTwoWay
	if !p.live {
		p.via, p.live = m.relayTo(now, p)
	}
	if p.live && p.State == StateServing {
		p.servingUntil = now
		if !p.listLeave {
			p.eligibleUntil = now
		}
	}
}

// forgetAfter is how long a row is kept after its entry was confirmed absent, so that a late
// heartbeat of it is still recognised.
const forgetAfter = time.Minute

func (m *Membership) forget(now time.Duration) {
	m.peers = slices.DeleteFunc(m.peers, func(p *peer) bool {
		drop := !p.seed && !p.listed && !p.live && m.absent(now, p) && now-p.lastSign() > forgetAfter
		if drop {
			delete(m.byID, p.ID)
			delete(m.byName, p.name)
		}
		return drop
	})
	for n, at := range m.unknown {
		if now-at > m.Timing.GoneTimeout {
			delete(m.unknown, n)
		}
	}
}

// AddSeeds adds peers that are known from the settings to those that are known already.
func (m *Membership) AddSeeds(now time.Duration, seeds []Seed) {
	m.start(now)
	for _, s := range seeds {
		if p := m.row(now, s.ID); p != nil {
			p.seed = true
			if p.PeerAddress == "" {
				p.PeerAddress = s.PeerAddress
			}
		}
	}
}
