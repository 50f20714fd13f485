package fleet

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// maySole reports whether the conditions of a sole owner hold that don't depend on the cell: this
// entry has been able to own cells for the handover time without a late tick, and for the settling
// time it has had direct two-way links with every entry that is named anywhere and not known to be
// gone. The settling time lets a peer that took itself for the owner learn of the healed link.
func (m *Membership) maySole(now time.Duration) bool {
	if m.state != StateServing || !m.linkedToAll(now) || !m.informed() {
		return false
	}
	if !m.faults.noSettle && now-m.unlinkedAt < m.Timing.SettleDelay {
		return false
	}
	return m.faults.noHandoverWait || now-m.ownFrom >= m.Timing.HandoverDelay
}

// informed reports whether this entry can know who else exists. A fleet list that does not name it
// is older than its start and may lack others too. Without any list, when the platform is down, its
// peers tell.
func (m *Membership) informed() bool {
	if m.hasList {
		return m.everListed
	}
	return slices.ContainsFunc(m.peers, func(p *peer) bool { return p.link == LinkTwoWay })
}

// linkedToAll reports whether there is a direct two-way link with every entry that is named
// anywhere and not known to be gone. A relayed link does not count, so that a cut is noticed within
// the suspect time plus one heartbeat.
func (m *Membership) linkedToAll(now time.Duration) bool {
	for _, p := range m.peers {
		switch {
		case m.linkOf(now, p) == LinkTwoWay:
		case m.faults.relayCounts && p.live:
		case p.left:
		case !m.absent(now, p):
			return false
		}
	}
	for _, at := range m.unknown {
		if now-at <= m.Timing.GoneTimeout {
			return false
		}
	}
	return true
}

// mayEject reports whether an owner may eject at all: every entry that is named and not known to be
// gone has known this incarnation. An entry that never heard of this one may be sole, and its
// ejections of protected targets would add to this entry's ejections.
func (m *Membership) mayEject(now time.Duration) bool {
	if m.faults.noSettle {
		return true
	}
	if now-m.ownFrom < m.Timing.SettleDelay || !m.informed() {
		return false
	}
	witness := slices.ContainsFunc(m.peers, func(p *peer) bool {
		return p.link == LinkTwoWay && now-p.firstHeard > m.Timing.MaxListLag
	})
	for _, p := range m.peers {
		if p.knewMe || p.left || m.absent(now, p) {
			continue
		}
		// An entry that is cut off from a peer which has been on the list for long is not sole. So
		// one that is listed and never started does not stop all ejections.
		if !witness || now-p.lastSign() <= m.Timing.GoneTimeout {
			return false
		}
	}
	return true
}

// Ownership returns how sure this entry may be that no other entry serves the cell.
func (v *View) Ownership(c CellKey) Ownership {
	cell := v.rankKey(c)
	if v.owner(cell) != v.self {
		return NotOwner
	}
	if !v.maySole || v.claimedByOther(c) {
		return ContestedOwner
	}
	wait := v.times.HandoverDelay
	if v.faults.noHandoverWait {
		wait = 0
	}
	if v.heavierWithin(cell, wait, func(r *viewRow) time.Duration { return r.servingUntil }) {
		return ContestedOwner
	}
	return ExclusiveOwner
}

// LikelyShared reports whether another entry is likely to serve the cell at the same time: a peer claims it,
// or a peer that ranks above this entry could own it less than the handover time ago. An entry that can't
// be heard at all does not count: after a crash that would halve the use of the targets until the fleet
// list drops the VM, while a target that is really oversubscribed sheds work before it runs it.
func (v *View) LikelyShared(c CellKey) bool {
	cell := v.rankKey(c)
	return v.owner(cell) != v.self || v.claimedByOther(c) ||
		v.heavierWithin(cell, v.times.HandoverDelay, func(r *viewRow) time.Duration { return r.servingUntil })
}

// MayEject reports whether this entry, as sole or contested owner of the cell, may eject targets. A
// new owner first waits until a former owner that was sole has noticed that it no longer is, because
// ejections of protected targets by that one and ejections by this one would add up. While MayEject
// is false, targets that are ejected already must count as avoided.
func (v *View) MayEject(c CellKey) bool {
	cell := v.rankKey(c)
	if v.owner(cell) != v.self || !v.mayEject {
		return false
	}
	if v.faults.noSettle {
		return true
	}
	return !v.heavierWithin(cell, v.times.SettleDelay, func(r *viewRow) time.Duration { return r.eligibleUntil })
}

// heavierWithin reports whether a peer that ranks above this entry for the cell could own it less
// than wait ago.
func (v *View) heavierWithin(cell rankKey, wait time.Duration, until func(*viewRow) time.Duration) bool {
	own := v.rank(v.self, cell)
	for i := range v.rows {
		if i == v.self || v.At-until(&v.rows[i]) > wait {
			continue
		}
		if v.rank(i, cell) > own {
			return true
		}
	}
	return false
}

// claimedByOther reports whether a peer that is heard claims the cell.
func (v *View) claimedByOther(c CellKey) bool { return len(v.Claimants(c)) > 0 }

// Claimants returns the peers that were lately heard to serve the cell. A claim need not be repeated
// in every heartbeat, because many claims are spread over several ones.
func (v *View) Claimants(c CellKey) []EntryID {
	var ids []EntryID
	for i := range v.rows {
		if v.At-v.rows[i].heardAt > v.times.GoneTimeout {
			continue
		}
		for _, claim := range v.rows[i].claims {
			if claim.Cell == c && !claim.released && v.At-claim.at <= claimKept {
				ids = append(ids, v.Members[i].ID)
			}
		}
	}
	return ids
}

// spareFresh is how old a claim's word on spare capacity may be: owners beat twice in that time.
const spareFresh = time.Second

// SpareSlots returns how many more requests the owner of a cell lately said that its targets could run.
func (v *View) SpareSlots(c CellKey) int {
	i := v.owner(v.rankKey(c))
	if i < 0 {
		return 0
	}
	for _, claim := range v.rows[i].claims {
		if claim.Cell == c && !claim.released && v.At-claim.at <= spareFresh {
			return claim.SpareSlots
		}
	}
	return 0
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
