package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Timing holds the intervals and timeouts of a Membership. Zero fields are replaced by their defaults.
type Timing struct {
	// HeartbeatInterval is the mean time between heartbeats to a peer; default 500 ms.
	HeartbeatInterval time.Duration
	// SlowHeartbeatInterval is the mean time between heartbeats of entries that are not hubs. The default is
	// HeartbeatInterval; a longer one selects the hub-and-spoke topology instead of a full mesh.
	SlowHeartbeatInterval time.Duration
	// SuspectTimeout is the silence timeout of a peer that sends heartbeats at the short interval. The default
	// is 2 s.
	SuspectTimeout time.Duration
	// GoneTimeout is the silence after which a peer may be confirmed gone; default 5 s.
	GoneTimeout time.Duration
	// HandoverDelay is how long an entry must have been able to own cells before it can be an exclusive owner;
	// default 7 s.
	HandoverDelay time.Duration
	// TickInterval is the period at which Tick is called; default 50 ms.
	TickInterval time.Duration
	// MaxTickDelay is the delay of a tick above which the entry counts as recently paused; default 500 ms.
	MaxTickDelay time.Duration
	// PauseRecovery is how long the entry counts as recently paused after a delayed tick; default 2 s.
	PauseRecovery time.Duration
	// SettleDelay is how long a new owner waits before it ejects targets; default 3 s. A former exclusive
	// owner notices within SuspectTimeout plus one heartbeat plus MaxTickDelay that it no longer is one.
	SettleDelay time.Duration
	// MaxListLag is the maximum time after which a started entry appears on the fleet list; default 60 s. A
	// list may describe the time before an entry's start. An entry that started less than this ago must
	// therefore be missing from the list for this long before the list confirms that it is gone.
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

// Seed is a peer that is named in the settings.
type Seed struct {
	ID          EntryID
	PeerAddress string
}

// Membership is one entry's knowledge of its group. It does no I/O and reads no clock: all times are durations
// since an arbitrary start. It is not safe for concurrent use; View returns a snapshot that is.
type Membership struct {
	ID            EntryID
	Incarnation   Incarnation
	FailureDomain table.FailureDomain
	PeerAddress   string
	CallerAddress string
	Seeds         []Seed
	Timing        Timing
	// Groups is the number of groups of the fleet; 0 means 1. Entries of other groups get no heartbeats and
	// own no cells of this group.
	Groups int
	// Capacity is the size class of this entry's VM. The healthy entries of the highest class in the group
	// own the cells.
	Capacity CapacityClass
	// ShardDomains, if set, gives the cells with the same index one owner across all pools. Element i is the
	// failure domain that is preferred for the owner of the cells with index i; an empty one means no
	// preference. With one element, one entry holds the evidence of all targets.
	ShardDomains []table.FailureDomain
	// Random adds jitter to the times of heartbeats. It must be set.
	Random *rand.Rand

	started bool
	// startedAt is the time of the first call.
	startedAt time.Duration
	key       memberKey
	hash      hash64
	peers     []*peer // sorted by ID
	byID      map[EntryID]*peer
	byName    map[nameKey]*peer
	// unknownEntries holds entries without a record that peers report, and when they were last reported.
	unknownEntries   map[nameKey]time.Duration
	state            State
	acceptedRevision table.Revision
	tablesDigest     uint64
	epoch            uint32
	reader           bool
	claims           []CellClaim
	poison           []uint64
	// hub says that this entry announces itself as a hub: it owns cells or is one of the next in line, and
	// sends heartbeats at the short interval.
	hub bool
	// degraded and lost are what SetDegraded last set. A degraded entry counts as a hub, so that all peers know of it,
	// and does so until announceUntil after a change.
	degraded      bool
	lost          *PathLoss
	announceUntil time.Duration

	lastTick           time.Duration
	tickDelay          time.Duration
	pauseRecoveryUntil time.Duration
	eligibleSince      time.Duration // since when this entry has been able to own cells without a delayed tick
	lastUnlinkedAt     time.Duration // when a known entry was last without a direct two-way link
	nextHeartbeat      time.Duration
	sequence           uint64
	claimOffset        int
	poisonOffset       int
	selfListed         bool // the fleet list names this entry
	selfEverListed     bool // a fleet list has named this entry
	selfListedLeaving  bool // the fleet list says that this entry is leaving
	listReceivedAt     time.Duration
	hasList            bool
	linkSets           []linkSet // recently reported link sets, latest last
	relayBuffer        []*peer   // returned by relays
	// peersRefreshedAt is when the links of all peers were last updated, if no heartbeat has arrived since.
	peersRefreshedAt time.Duration

	faults faults
}

// linkSet is a set of two-way links that this entry reported, itself included.
type linkSet struct {
	digest uint64
	keys   KeySet
}

// faults disables single rules, so that tests can show that their checks depend on them.
type faults struct {
	noHandoverDelay       bool // a new owner is exclusive at once
	relayedLinksCount     bool // a relayed link counts as a direct one
	unlistedMeansGone     bool // an entry that is not on the fleet list counts as gone
	noSettleDelay         bool // a new owner ejects at once
	ignoreReportedLeaving bool // reports of peers that an entry leaves are ignored
}

// initialize sets the defaults, the maps and the timers at the first call of a method.
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

// findOrAddPeer returns the record of a peer and adds it if it is new. It returns nil for this entry itself
// and for entries of other groups.
func (m *Membership) findOrAddPeer(now time.Duration, id EntryID) *peer {
	if p := m.byID[id]; p != nil {
		return p
	}
	if id == m.ID || id == "" || GroupOfEntry(id, m.Groups) != GroupOfEntry(m.ID, m.Groups) {
		return nil
	}
	m.peersRefreshedAt = never
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

// SetState sets the state that this entry announces.
func (m *Membership) SetState(now time.Duration, s State) {
	m.initialize(now)
	if s != m.state {
		m.eligibleSince = now
		m.scheduleHeartbeats(now)
	}
	m.state = s
}

// scheduleHeartbeats makes the heartbeats to all peers due.
func (m *Membership) scheduleHeartbeats(now time.Duration) {
	m.nextHeartbeat = now
	for _, p := range m.peers {
		p.sentAt = never
	}
}

// SetAcceptedRevision sets the active pair of tables. A change is announced to all peers with the next tick.
// Only an entry that is not a hub, in the hub-and-spoke topology, leaves it to the regular heartbeats if announced
// says that another entry has announced it before.
func (m *Membership) SetAcceptedRevision(now time.Duration, r table.Revision, digest uint64, announced bool) {
	if r != m.acceptedRevision && (!announced || m.hub || !m.hubTopology()) {
		m.scheduleHeartbeats(now)
	}
	m.acceptedRevision, m.tablesDigest = r, digest
}

// SetHub sets whether this entry owns a cell or is one of the next in line for one.
func (m *Membership) SetHub(now time.Duration, hub bool) {
	hub = hub || m.degraded || now < m.announceUntil
	if hub && !m.hub {
		m.scheduleHeartbeats(now)
	}
	m.hub = hub
}

// startupPeriod is how long after its start an entry sends heartbeats to silent peers at the short interval, and how
// long after the first heartbeat of a peer the heartbeats to it name several owner candidates instead of one.
const startupPeriod = 5 * time.Second

// reportedHubTTL is how long an entry sends heartbeats at the short interval to a silent peer that others
// reported as a hub. They repeat the report while they receive the peer's heartbeats.
const reportedHubTTL = 2 * time.Second

// hubTopology reports whether only hubs have links with all others. The cost of a group then grows with its
// size, not with the square of it.
func (m *Membership) hubTopology() bool {
	return m.Timing.SlowHeartbeatInterval > m.Timing.HeartbeatInterval
}

// linkedToHub reports whether this entry has a two-way link with a hub.
func (m *Membership) linkedToHub() bool {
	for _, p := range m.peers {
		if p.Hub && p.link == LinkTwoWay {
			return true
		}
	}
	return false
}

// remoteHeartbeats is how many heartbeat intervals pass between a hub's heartbeats to an entry of another failure
// domain that has hubs of its own.
const remoteHeartbeats = 4

// domainsWithHub returns the failure domains of the linked hubs where shards belong to failure domains.
func (m *Membership) domainsWithHub() []table.FailureDomain {
	if len(m.ShardDomains) < 2 {
		return nil
	}
	var domains []table.FailureDomain
	for _, p := range m.peers {
		if p.Hub && p.link == LinkTwoWay && p.State == StateServing && !slices.Contains(domains, p.FailureDomain) {
			domains = append(domains, p.FailureDomain)
		}
	}
	return domains
}

// isRemote reports whether the peer is no hub and learns from hubs of its own failure domain what the hubs of others
// are. hubDomains are the domains that have hubs.
func (m *Membership) isRemote(now time.Duration, p *peer, hubDomains []table.FailureDomain) bool {
	return !p.Hub && p.link == LinkTwoWay && p.FailureDomain != m.FailureDomain && slices.Contains(hubDomains, p.FailureDomain) &&
		now-p.firstHeardAt >= startupPeriod && now >= m.announceUntil
}

// heartbeatInterval returns the mean time between heartbeats to a peer; 0 means that none are sent.
func (m *Membership) heartbeatInterval(now time.Duration, p *peer, linkedToHub bool, hubDomains []table.FailureDomain) time.Duration {
	settled := now-m.startedAt >= startupPeriod
	switch {
	case !m.hubTopology():
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && m.hub:
		return m.Timing.SlowHeartbeatInterval
	case p.link == LinkSilent && now-p.reportedHubAt <= reportedHubTTL:
		// Others receive its heartbeats, so it may own cells, and it may not know of this entry.
		return m.Timing.HeartbeatInterval
	case p.link == LinkSilent && settled && linkedToHub:
		// A hub that is unreachable sends heartbeats again by itself, and one that is no longer a hub needs none.
		return 0
	case m.hub && m.state == StateServing && settled && m.isRemote(now, p, hubDomains):
		return remoteHeartbeats * m.Timing.HeartbeatInterval
	case m.hub, p.Hub && p.link != LinkTwoWay, !linkedToHub:
		return m.Timing.HeartbeatInterval
	case m.state == StateLeaving && p.link != LinkSilent:
		return m.Timing.HeartbeatInterval
	case p.Hub:
		return m.Timing.SlowHeartbeatInterval
	}
	return 0
}

// SetReader sets whether this entry read the platform recently.
func (m *Membership) SetReader(working bool) { m.reader = working }

// SetEpoch sets the current epoch of the request IDs that callers of this entry create.
func (m *Membership) SetEpoch(epoch uint32) { m.epoch = epoch }

// SetClaims sets the cells that this entry serves as their owner, with the ejected targets. The slice is not
// modified and must not be changed afterwards.
func (m *Membership) SetClaims(claims []CellClaim) { m.claims = claims }

// SetPoison sets the fingerprints of requests that this entry refuses. The slice must not be changed
// afterwards.
func (m *Membership) SetPoison(fingerprints []uint64) { m.poison = fingerprints }

// UpdateFleetList takes a new copy of the fleet list. The list may name entries that have been gone for any
// time, omit new ones, and mark any entry as leaving. Three things are assumed: the copies that one entry gets
// never go back in time, a started entry appears within Timing.MaxListLag, and no entry is dropped that still
// runs and is not paused. Without them, one part of a partitioned fleet could not tell the other part from a
// failed one.
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

// detectPause detects a delayed tick. The time that this entry did not run is no evidence against its peers,
// so their timers are shifted by it, and the entry counts as recently paused for Timing.PauseRecovery. The
// peers may have counted it as gone meanwhile, so they must report again that they receive its heartbeats.
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

// Tick is called every Timing.TickInterval. It returns the heartbeats that are due.
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

// refreshPeers updates the links of all peers, and when each was last live and able to own cells.
func (m *Membership) refreshPeers(now time.Duration) {
	relays := m.relays(now)
	for _, p := range m.peers {
		m.refreshPeer(now, p, relays)
	}
	m.peersRefreshedAt = now
	if !m.linkedToAll(now) {
		m.lastUnlinkedAt = now
	}
}

// refreshPeer updates the link with a peer, given the relays at now.
func (m *Membership) refreshPeer(now time.Duration, p *peer, relays []*peer) {
	p.link = m.linkState(now, p)
	p.relay = ""
	p.live = p.link == LinkTwoWay
	if !p.live {
		p.relay, p.live = findRelay(relays, p)
	}
	if p.live && p.State == StateServing {
		p.lastServingAt = now
		if !p.listedLeaving {
			p.lastEligibleAt = now
		}
	}
}

// peerRetention is how long the record of a peer is kept after it was last seen, so that a delayed heartbeat
// of an old incarnation is still recognized.
const peerRetention = time.Minute

// removeGonePeers drops the records of peers that are confirmed gone, and unknown entries that no peer reports
// any more.
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

// isSeed reports whether the settings name an entry as a seed.
func (m *Membership) isSeed(id EntryID) bool {
	return slices.ContainsFunc(m.Seeds, func(s Seed) bool { return s.ID == id })
}

// AddSeeds adds peers that are named in the settings.
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
