package fleet

import (
	"github.com/bilberrywood/bilberrywood/table"
)

// Identifiers and states of entries.
type (
	// EntryID identifies an entry VM. It comes from the entry's settings and stays the same over restarts.
	EntryID string
	// Incarnation identifies one run of an entry process. It is never zero, and a later start has a higher
	// one; see NewIncarnation.
	Incarnation uint64
	// State is the state that an entry announces in its heartbeats.
	State uint8
	// LinkState is the state of the direct path between this entry and a peer.
	LinkState uint8
	// Ownership says whether an entry owns a cell, and whether another entry may serve the cell at the same
	// time.
	Ownership uint8
	// CapacityClass is the size class of a VM, from 0 to MaxCapacityClass. Each class has twice the capacity
	// of the one below.
	CapacityClass uint8
)

// States of an entry.
const (
	StateStarting State = iota
	StateServing
	StateLeaving
)

// States of a link.
const (
	// LinkSilent means that no heartbeat of the peer arrived within its silence timeout.
	LinkSilent LinkState = iota
	// LinkInboundOnly means that heartbeats of the peer arrive, but the peer does not report receiving those
	// of this entry.
	LinkInboundOnly
	// LinkTwoWay means that both ends report receiving each other's heartbeats.
	LinkTwoWay
)

// Ownership of a cell by an entry.
const (
	NotOwner Ownership = iota
	// ContestedOwner means that the entry is the owner in its own view, but another entry may be the owner in
	// its view.
	ContestedOwner
	// ExclusiveOwner means that no other entry can be the owner in its own view.
	ExclusiveOwner
)

// MaxCapacityClass is the largest size class of a VM.
const MaxCapacityClass CapacityClass = 15

// CellKey identifies a cell: a part of a pool that one entry owns.
type CellKey struct {
	Pool  table.PoolName `json:"pool"`
	Index int            `json:"index"`
}

// Member is what one entry knows of another.
type Member struct {
	ID            EntryID             `json:"id"`
	Incarnation   Incarnation         `json:"incarnation"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	// PeerAddress is the UDP address for QUIC; CallerAddress is the TCP address for callers.
	PeerAddress   string        `json:"peerAddress"`
	CallerAddress string        `json:"callerAddress"`
	State         State         `json:"state"`
	Link          LinkState     `json:"link"`
	Capacity      CapacityClass `json:"capacity"`
	// Hub says that the entry owns a cell or is one of the next in line for one.
	Hub bool `json:"prominent"`
	// Degraded says that the entry can't reach many of its targets. It owns a cell only if no healthy entry
	// can.
	Degraded bool `json:"unfit"`
	// Lost has some of the targets that a degraded entry can't reach; nil if it named none.
	Lost *PathLoss `json:"lostPaths,omitempty"`
	// Live says that the entry can be reached, directly or through Relay.
	Live bool `json:"live"`
	// Relay is the peer that relays while the direct link is not two-way; empty means direct.
	Relay EntryID `json:"via,omitempty"`
	// AcceptedRevision and Digest identify the active pair of tables that the entry last reported.
	AcceptedRevision table.Revision `json:"acceptedRevision"`
	Digest           uint64         `json:"digest"`
	// Epoch is the current epoch of the request IDs that callers of the entry create.
	Epoch uint32 `json:"epoch"`
}

// CellClaim is the part of a heartbeat that names a cell which the sender serves as its owner.
type CellClaim struct {
	Cell CellKey `cbor:"1,keyasint"`
	// Ejected lists the ejected targets, so that the next owner starts with them.
	Ejected []table.TargetID `cbor:"2,keyasint,omitempty"`
	// SpareSlots is how many more requests the cell's targets could run now; at least 0. It is set where
	// requests spill over to other cells.
	SpareSlots int `cbor:"3,keyasint,omitempty"`
	// RateLimits lists the targets that name a rate limit, so that the next owner starts with them.
	RateLimits []TargetRateLimit `cbor:"4,keyasint,omitempty"`
	// Announcements lists what targets have said about themselves and the tables don't say, for the next owner.
	Announcements []TargetAnnouncement `cbor:"5,keyasint,omitempty"`
	// EndedTenths and FailedTenths count the requests that ended recently and those of them that failed, in tenths of a
	// request, since older ones count less. They are set where a pool has cells with different owners.
	EndedTenths  int `cbor:"6,keyasint,omitempty"`
	FailedTenths int `cbor:"7,keyasint,omitempty"`
}

// TargetAnnouncement is what a process of a target has said about itself in responses.
type TargetAnnouncement struct {
	Target table.TargetID `cbor:"1,keyasint"`
	// Started identifies the process, as in table.Target.
	Started int64 `cbor:"2,keyasint,omitempty"`
	Leaving bool  `cbor:"3,keyasint,omitempty"`
	// PausedMs is for how many more milliseconds the process wants no requests.
	PausedMs int64 `cbor:"4,keyasint,omitempty"`
}

// TargetRateLimit is the rate limit that a target names.
type TargetRateLimit struct {
	Target table.TargetID `cbor:"1,keyasint"`
	// PerSecond is the requests per second that the target accepts from all entries together.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
}

// Heartbeat is the message that the entries of a group send each other.
//
// It has two forms. The full form carries the sender's two-way links and its addresses. The compact form omits
// them: it goes to a peer with a two-way link that has the same list already, because its last heartbeat had the same
// LinksDigest or its KnownLinksDigest says so. In a settled group all heartbeats are compact.
type Heartbeat struct {
	From        EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence grows with every heartbeat of an incarnation. A heartbeat that arrives after a newer one is
	// dropped.
	Sequence      uint64              `cbor:"3,keyasint"`
	State         State               `cbor:"4,keyasint"`
	FailureDomain table.FailureDomain `cbor:"5,keyasint,omitempty"`
	PeerAddress   string              `cbor:"6,keyasint,omitempty"`
	CallerAddress string              `cbor:"7,keyasint,omitempty"`
	// Capacity is the size class of the sender's VM.
	Capacity CapacityClass `cbor:"26,keyasint,omitempty"`
	// LinksDigest is the digest of the TwoWayLinks of the full form; both forms carry it.
	LinksDigest uint64 `cbor:"8,keyasint"`
	// KnownLinksDigest is the LinksDigest of the last full heartbeat that the sender received of the receiver's
	// incarnation; 0 if there is none. It is set in the hub-and-spoke topology, where few entries have the same links.
	KnownLinksDigest uint64 `cbor:"28,keyasint,omitempty"`
	// Full marks the full form: TwoWayLinks, FailureDomain, Capacity and the addresses are set.
	Full bool `cbor:"9,keyasint,omitempty"`
	// ReceiverIncarnation is the receiver's incarnation if the sender received a heartbeat of it recently, else
	// zero. It is also zero if the links say so, because they contain the receiver.
	ReceiverIncarnation Incarnation `cbor:"10,keyasint,omitempty"`
	// TwoWayLinks lists the sender and the peers that it has a two-way link with; in the hub-and-spoke
	// topology only the hubs among them.
	TwoWayLinks KeySet `cbor:"11,keyasint,omitempty"`
	// Unlinked lists entries that may still run and have no two-way link with the sender, so that peers which
	// started later learn of them. One heartbeat may carry only some of them.
	Unlinked         KeySet         `cbor:"20,keyasint,omitempty"`
	AcceptedRevision table.Revision `cbor:"12,keyasint"`
	Digest           uint64         `cbor:"13,keyasint"`
	// Reader says that the sender read the platform recently: within 10 s by default.
	Reader bool        `cbor:"14,keyasint,omitempty"`
	Claims []CellClaim `cbor:"15,keyasint,omitempty"`
	// MoreClaims says that Claims holds only some of the sender's claims, because not all of them fit.
	MoreClaims bool `cbor:"16,keyasint,omitempty"`
	// Poison lists fingerprints of requests that are refused because they crash targets. One heartbeat may
	// carry only some of them.
	Poison []uint64 `cbor:"17,keyasint,omitempty"`
	// TickDelayMs is the delay of the sender's last tick in milliseconds.
	TickDelayMs int64 `cbor:"18,keyasint,omitempty"`
	// Hub says that the sender owns a cell or is one of the next in line for one.
	Hub bool `cbor:"25,keyasint,omitempty"`
	// Degraded says that the sender can't reach many of its targets.
	Degraded bool `cbor:"27,keyasint,omitempty"`
	// Lost has some of these targets, so that the next owners can check whether they reach them.
	Lost *PathLoss `cbor:"29,keyasint,omitempty"`
	// NextHeartbeatMs is the longest time until the sender's next heartbeat to the receiver in milliseconds; 0
	// means the heartbeat interval of the settings.
	NextHeartbeatMs int64 `cbor:"24,keyasint,omitempty"`
	// KnownPeers names some peers of the sender, a different part each time, so that entries find peers that
	// are on no list.
	KnownPeers []KnownPeer `cbor:"19,keyasint,omitempty"`
	// Leaving names leaving peers that the sender receives heartbeats of. An entry that does not receive them,
	// because the path works in one direction only, then stops naming these peers to callers too.
	Leaving KeySet `cbor:"22,keyasint,omitempty"`
	// Epoch is the current epoch of the request IDs that callers of the sender create.
	Epoch uint32 `cbor:"23,keyasint,omitempty"`
}

// KnownPeer tells the receiver of a heartbeat how to reach an entry.
type KnownPeer struct {
	ID          EntryID `cbor:"1,keyasint"`
	PeerAddress string  `cbor:"2,keyasint"`
	// Hub says that the entry announces itself as a hub to the sender.
	Hub bool `cbor:"3,keyasint,omitempty"`
}

// ListedEntry is one row of the platform's fleet list. The list lags, so it is only a hint about whom to
// contact.
type ListedEntry struct {
	ID            EntryID             `json:"entry"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	PeerAddress   string              `json:"peerAddress"`
	CallerAddress string              `json:"callerAddress"`
	Leaving       bool                `json:"leaving,omitempty"`
}

// OutgoingHeartbeat is a heartbeat to send and its destination.
type OutgoingHeartbeat struct {
	ID        EntryID
	Address   string
	Heartbeat Heartbeat
}
