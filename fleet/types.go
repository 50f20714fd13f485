package fleet

import (
	"github.com/bilberrywood/bilberrywood/table"
)

// Named types for ids of entries and cells.
type (
	// EntryID names an entry VM; it comes from the entry's settings and stays over restarts.
	EntryID string
	// Incarnation is drawn at random when an entry process starts and is never zero.
	Incarnation uint64
	// State is what an entry says of itself in its heartbeats.
	State uint8
	// LinkState is what is known of the path between this entry and a peer.
	LinkState uint8
	// Ownership says how sure an owner may be that no other entry serves its cell.
	Ownership uint8
	// CapacityClass is the class of a VM, 0 to MaxCapacityClass: each class has twice the capacity of the one below.
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
	// LinkSilent means that nothing was heard from the peer lately.
	LinkSilent LinkState = iota
	// LinkInboundOnly means that the peer is heard but does not report hearing this entry.
	LinkInboundOnly
	// LinkTwoWay means that both ends report hearing each other.
	LinkTwoWay
)

// Standings of an entry towards a cell.
const (
	NotOwner Ownership = iota
	// ContestedOwner means that the entry is the owner in its own view, but another entry may hold
	// the same view of itself.
	ContestedOwner
	// ExclusiveOwner means that no other entry can be the owner in its own view.
	ExclusiveOwner
)

// MaxCapacityClass is the highest class of a VM.
const MaxCapacityClass CapacityClass = 15

// CellKey names a cell: a part of a pool that one entry owns.
type CellKey struct {
	Pool  table.PoolName `json:"pool"`
	Index int            `json:"index"`
}

// Member is what one entry knows of another.
type Member struct {
	ID            EntryID             `json:"id"`
	Incarnation   Incarnation         `json:"incarnation"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	// PeerAddress is the UDP address for QUIC; CallerAddress the TCP address for callers.
	PeerAddress   string        `json:"peerAddress"`
	CallerAddress string        `json:"callerAddress"`
	State         State         `json:"state"`
	Link          LinkState     `json:"link"`
	Capacity      CapacityClass `json:"capacity"`
	// Hub says that the entry owns a cell or is next to do so.
	Hub bool `json:"prominent"`
	// Degraded says that the entry can't reach many of its targets, and owns cells only where no other can.
	Degraded bool `json:"unfit"`
	// Live says that the entry can be reached directly or through Via.
	Live bool `json:"live"`
	// Relay is the peer that relays when the direct link is not two-way; empty means direct.
	Relay EntryID `json:"via,omitempty"`
	// AcceptedRevision and Digest are the pair that the entry last reported in force.
	AcceptedRevision table.Revision `json:"acceptedRevision"`
	Digest           uint64         `json:"digest"`
	// Epoch is the epoch of run ids that callers of the entry make now.
	Epoch uint32 `json:"epoch"`
}

// CellClaim is one line of a heartbeat: a cell that the sender serves as owner.
type CellClaim struct {
	Cell CellKey `cbor:"1,keyasint"`
	// Ejected lists the ejected targets, so that the next owner starts with them.
	Ejected []table.TargetID `cbor:"2,keyasint,omitempty"`
	// SpareSlots is how many more requests the cell's targets could run, where cells help each other out; at least 0.
	SpareSlots int `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is the message that entries of a group send each other.
//
// It comes in two forms. The full form lists the sender's two-way links and its addresses. The brief
// form leaves them out: it is used towards a peer that last reported the same Links digest, and so
// already holds the same list. In a settled group all heartbeats are brief.
type Heartbeat struct {
	From        EntryID     `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence grows with every heartbeat of an incarnation; older ones that arrive late are dropped.
	Sequence      uint64              `cbor:"3,keyasint"`
	State         State               `cbor:"4,keyasint"`
	FailureDomain table.FailureDomain `cbor:"5,keyasint,omitempty"`
	PeerAddress   string              `cbor:"6,keyasint,omitempty"`
	CallerAddress string              `cbor:"7,keyasint,omitempty"`
	// CapacityClass is the class of the sender's VM; it is set in the full form.
	Capacity CapacityClass `cbor:"26,keyasint,omitempty"`
	// LinksDigest is the digest of the sender and all peers that it has a two-way link with.
	LinksDigest uint64 `cbor:"8,keyasint"`
	// Full says that You, Heard, FailureDomain, Capacity and the addresses are set.
	Full bool `cbor:"9,keyasint,omitempty"`
	// ReceiverIncarnation is the receiver's incarnation if the sender heard it lately, else zero.
	ReceiverIncarnation Incarnation `cbor:"10,keyasint,omitempty"`
	// TwoWayLinks lists the peers that the sender has a two-way link with.
	TwoWayLinks KeySet `cbor:"11,keyasint,omitempty"`
	// Unlinked lists entries without a two-way link to the sender that may still run, so that
	// peers which started later know of them. Not every heartbeat carries all of them.
	Unlinked         KeySet         `cbor:"20,keyasint,omitempty"`
	AcceptedRevision table.Revision `cbor:"12,keyasint"`
	Digest           uint64         `cbor:"13,keyasint"`
	// Reader says that the sender read the platform within the last 10 s.
	Reader bool        `cbor:"14,keyasint,omitempty"`
	Claims []CellClaim `cbor:"15,keyasint,omitempty"`
	// MoreClaims says that Claims is a part of the sender's claims, because not all of them fit.
	MoreClaims bool `cbor:"16,keyasint,omitempty"`
	// Poison lists fingerprints of requests that are refused because they crash targets. Not
	// every heartbeat carries all of them.
	Poison []uint64 `cbor:"17,keyasint,omitempty"`
	// TickDelayMs is by how much the sender's last tick was late, in milliseconds.
	TickDelayMs int64 `cbor:"18,keyasint,omitempty"`
	// Hub says that the sender owns a cell or is next to do so.
	Hub bool `cbor:"25,keyasint,omitempty"`
	// Degraded says that the sender can't reach many of its targets.
	Degraded bool `cbor:"27,keyasint,omitempty"`
	// NextHeartbeatMs is the longest time until the sender's next heartbeat to the receiver, in milliseconds; 0 means
	// the time that both have in their settings.
	NextHeartbeatMs int64 `cbor:"24,keyasint,omitempty"`
	// KnownPeers names peers of the sender in turn, so that entries find peers that no list names.
	KnownPeers []KnownPeer `cbor:"19,keyasint,omitempty"`
	// Leaving names peers that the sender hears and that leave, so that an entry that does not hear
	// them, because of a one-way cut, stops naming them to callers too.
	Leaving KeySet `cbor:"22,keyasint,omitempty"`
	// Epoch is the epoch of run ids that callers of the sender make now.
	Epoch uint32 `cbor:"23,keyasint,omitempty"`
}

// KnownPeer tells how to reach an entry.
type KnownPeer struct {
	ID          EntryID `cbor:"1,keyasint"`
	PeerAddress string  `cbor:"2,keyasint"`
	// Hub says that the sender hears from the entry that it owns a cell or is next to do so.
	Hub bool `cbor:"3,keyasint,omitempty"`
}

// ListedEntry is one line of the platform's fleet list. The list lags, so it is only a hint about whom
// to contact.
type ListedEntry struct {
	ID            EntryID             `json:"entry"`
	FailureDomain table.FailureDomain `json:"failureDomain"`
	PeerAddress   string              `json:"peerAddress"`
	CallerAddress string              `json:"callerAddress"`
	Leaving       bool                `json:"leaving,omitempty"`
}

// OutgoingHeartbeat is one heartbeat to send.
type OutgoingHeartbeat struct {
	ID        EntryID
	Address   string
	Heartbeat Heartbeat
}
