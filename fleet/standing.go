package fleet

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// maySole reports whether the conditions of a sole owner hold that don't depend on the cell: this
// entry has served for the handover time without a late tick and has a direct two-way link with
// every entry that is named anywhere and not known to be gone.
func (m *Membership) maySole(now time.Duration) bool {
	if m.state != StateServing || now-m.soleFrom < m.handover() {
		return false
	}
	linked := false
	for _, p := range m.peers {
		if m.linkOf(now, p) == LinkTwoWay {
			linked = true
			continue
		}
		if m.faults.relayCounts && p.live {
			continue
		}
		if p.left && p.heardAt != never {
			continue
		}
		if !m.absent(now, p) {
			return false
		}
	}
	for _, at := range m.unknown {
		if now-at <= m.Times.Gone {
			return false
		}
	}
	// Without a list and without a peer this entry can't know who else exists.
	return linked || m.hasList
}

func (m *Membership) handover() time.Duration {
	if m.faults.noHandoverWait {
		return 0
	}
	return m.Times.Handover
}

// mayEject reports whether an owner may eject at all: every entry that is named and not known to be
// gone has known this incarnation. An entry that never heard of this one may be sole, and its
// ejections of protected targets would add to this entry's ejections.
func (m *Membership) mayEject(now time.Duration) bool {
	if m.faults.noSettle {
		return true
	}
	for _, p := range m.peers {
		if !p.knewMe && !p.left && !m.absent(now, p) {
			return false
		}
	}
	return true
}

// Standing returns how sure this entry may be that no other entry serves the cell.
func (v *View) Standing(c CellKey) Standing {
	cell := c.hash()
	if v.owner(cell) != v.self {
		return NotOwner
	}
	if !v.maySole || v.claimedByOther(c) {
		return Contested
	}
	wait := v.times.Handover
	if v.faults.noHandoverWait {
		wait = 0
	}
	if v.heavierWithin(cell, wait, func(r *viewRow) time.Duration { return r.servingUntil }) {
		return Contested
	}
	return Sole
}

// MayEject reports whether this entry, as sole or contested owner of the cell, may eject targets. A
// new owner first waits until a former owner that was sole has noticed that it no longer is, because
// ejections of protected targets by that one and ejections by this one would add up.
func (v *View) MayEject(c CellKey) bool {
	cell := c.hash()
	if v.owner(cell) != v.self || !v.mayEject {
		return false
	}
	if v.faults.noSettle {
		return true
	}
	return !v.heavierWithin(cell, v.times.Settle, func(r *viewRow) time.Duration { return r.eligibleUntil })
}

// heavierWithin reports whether a peer that ranks above this entry for the cell could own it less
// than wait ago.
func (v *View) heavierWithin(cell hash64, wait time.Duration, until func(*viewRow) time.Duration) bool {
	own := weight(v.rows[v.self].hash, cell)
	for i := range v.rows {
		if i == v.self || v.At-until(&v.rows[i]) > wait {
			continue
		}
		if weight(v.rows[i].hash, cell) > own {
			return true
		}
	}
	return false
}

// claimedByOther reports whether a peer that is heard claims the cell.
func (v *View) claimedByOther(c CellKey) bool { return len(v.Claimants(c)) > 0 }

// Claimants returns the peers that were lately heard to serve the cell.
func (v *View) Claimants(c CellKey) []EntryID {
	var ids []EntryID
	for i := range v.rows {
		for _, claim := range v.rows[i].claims {
			if claim.Cell == c && !claim.released && v.At-claim.at <= v.times.Suspect {
				ids = append(ids, v.Members[i].ID)
			}
		}
	}
	return ids
}

// LastEjected returns the targets of the cell that its latest other owner reported as ejected, so
// that a new owner starts with them, and whether any claim is known.
func (v *View) LastEjected(c CellKey) ([]table.TargetID, bool) {
	var last *peerClaim
	for i := range v.rows {
		for j := range v.rows[i].claims {
			claim := &v.rows[i].claims[j]
			if claim.Cell == c && (last == nil || claim.at > last.at) {
				last = claim
			}
		}
	}
	if last == nil {
		return nil, false
	}
	return slices.Clone(last.Ejected), true
}
