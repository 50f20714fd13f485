package fleet

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// canBeExclusive reports whether the conditions of a sole owner hold that don't depend on the cell: this
// entry has been able to own cells for the handover time without a late tick, and for the settling
// time it has had direct two-way links with every entry that is named anywhere and not known to be
// gone. The settling time lets a peer that took itself for the owner learn of the healed link.
func (m *Membership) canBeExclusive(now time.Duration) bool {
	if m.state != StateServing || !m.linkedToAll(now) || !m.knowsFleet() {
		return false
	}
	if !m.faults.noSettleDelay && now-m.lastUnlinkedAt < m.Timing.SettleDelay {
		return false
	}
	return m.faults.noHandoverDelay || now-m.eligibleSince >= m.Timing.HandoverDelay
}

// knowsFleet reports whether this entry can know who else exists. A fleet list that does not name it
// is older than its start and may lack others too. Without any list, when the platform is down, its
// peers tell.
func (m *Membership) knowsFleet() bool {
	if m.hasList {
		return m.selfEverListed
	}
	return slices.ContainsFunc(m.peers, func(p *peer) bool { return p.link == LinkTwoWay })
}

// linkedToAll reports whether there is a direct two-way link with every entry that is named
// anywhere and not known to be gone. A relayed link does not count, so that a cut is noticed within
// the suspect time plus one heartbeat.
func (m *Membership) linkedToAll(now time.Duration) bool {
	for _, p := range m.peers {
		switch {
		case m.linkState(now, p) == LinkTwoWay:
		case m.faults.relayedLinksCount && p.live:
		case p.announcedLeave:
		case !m.confirmedGone(now, p):
			return false
		}
	}
	for _, at := range m.unknownEntries {
		if now-at <= m.Timing.GoneTimeout {
			return false
		}
	}
	return true
}

// canEject reports whether an owner may eject at all: every entry that is named and not known to be
// gone has known this incarnation. An entry that never heard of this one may be sole, and its
// ejections of protected targets would add to this entry's ejections.
func (m *Membership) canEject(now time.Duration) bool {
	if m.faults.noSettleDelay {
		return true
	}
	if now-m.eligibleSince < m.Timing.SettleDelay || !m.knowsFleet() {
		return false
	}
	establishedPeer := slices.ContainsFunc(m.peers, func(p *peer) bool {
		return p.link == LinkTwoWay && now-p.firstHeardAt > m.Timing.MaxListLag
	})
	for _, p := range m.peers {
		if p.everHeardSelf || p.announcedLeave || m.confirmedGone(now, p) {
			continue
		}
		// An entry that is cut off from a peer which has been on the list for long is not sole. So
		// one that is listed and never started does not stop all ejections.
		if !establishedPeer || now-p.lastSeenAt() <= m.Timing.GoneTimeout {
			return false
		}
	}
	return true
}

// Ownership returns how sure this entry may be that no other entry serves the cell.
func (v *View) Ownership(c CellKey) Ownership {
	cell := v.rankKeyOf(c)
	if v.ownerIndex(cell) != v.selfIndex {
		return NotOwner
	}
	if !v.canBeExclusive || v.claimedByPeer(c) {
		return ContestedOwner
	}
	wait := v.timing.HandoverDelay
	if v.faults.noHandoverDelay {
		wait = 0
	}
	if v.outrankedWithin(cell, wait, func(r *memberState) time.Duration { return r.lastServingAt }) {
		return ContestedOwner
	}
	return ExclusiveOwner
}

// LikelyShared reports whether another entry is likely to serve the cell at the same time: a peer claims it,
// or a peer that ranks above this entry could own it less than the handover time ago. An entry that can't
// be heard at all does not count: after a crash that would halve the use of the targets until the fleet
// list drops the VM, while a target that is really oversubscribed sheds work before it runs it.
func (v *View) LikelyShared(c CellKey) bool {
	cell := v.rankKeyOf(c)
	return v.ownerIndex(cell) != v.selfIndex || v.claimedByPeer(c) ||
		v.outrankedWithin(cell, v.timing.HandoverDelay, func(r *memberState) time.Duration { return r.lastServingAt })
}

// MayEject reports whether this entry, as sole or contested owner of the cell, may eject targets. A
// new owner first waits until a former owner that was sole has noticed that it no longer is, because
// ejections of protected targets by that one and ejections by this one would add up. While MayEject
// is false, targets that are ejected already must count as avoided.
func (v *View) MayEject(c CellKey) bool {
	cell := v.rankKeyOf(c)
	if v.ownerIndex(cell) != v.selfIndex || !v.canEject {
		return false
	}
	if v.faults.noSettleDelay {
		return true
	}
	return !v.outrankedWithin(cell, v.timing.SettleDelay, func(r *memberState) time.Duration { return r.lastEligibleAt })
}

// outrankedWithin reports whether a peer that ranks above this entry for the cell could own it less
// than wait ago.
func (v *View) outrankedWithin(cell rankKey, wait time.Duration, lastAt func(*memberState) time.Duration) bool {
	own := v.rank(v.selfIndex, cell)
	for i := range v.states {
		if i == v.selfIndex || v.At-lastAt(&v.states[i]) > wait {
			continue
		}
		if v.rank(i, cell) > own {
			return true
		}
	}
	return false
}

// claimedByPeer reports whether a peer that is heard claims the cell.
func (v *View) claimedByPeer(c CellKey) bool { return len(v.Claimants(c)) > 0 }

// Claimants returns the peers that were lately heard to serve the cell. A claim need not be repeated
// in every heartbeat, because many claims are spread over several ones.
func (v *View) Claimants(c CellKey) []EntryID {
	var ids []EntryID
	for i := range v.states {
		if v.At-v.states[i].heardAt > v.timing.GoneTimeout {
			continue
		}
		for _, claim := range v.states[i].claims {
			if claim.Cell == c && !claim.released && v.At-claim.repeatedAt <= claimRetention {
				ids = append(ids, v.Members[i].ID)
			}
		}
	}
	return ids
}

// maxSpareAge is how old a claim's word on spare capacity may be: owners beat twice in that time.
const maxSpareAge = time.Second

// SpareSlots returns how many more requests the owner of a cell lately said that its targets could run.
func (v *View) SpareSlots(c CellKey) int {
	i := v.ownerIndex(v.rankKeyOf(c))
	if i < 0 {
		return 0
	}
	for _, claim := range v.states[i].claims {
		if claim.Cell == c && !claim.released && v.At-claim.repeatedAt <= maxSpareAge {
			return claim.SpareSlots
		}
	}
	return 0
}

// LastEjected returns the targets of the cell that its latest other owner reported as ejected, so
// that a new owner starts with them, and whether any claim is known.
func (v *View) LastEjected(c CellKey) ([]table.TargetID, bool) {
	var latest *peerClaim
	for i := range v.states {
		for j := range v.states[i].claims {
			claim := &v.states[i].claims[j]
			if claim.Cell == c && (latest == nil || claim.repeatedAt > latest.repeatedAt) {
				latest = claim
			}
		}
	}
	if latest == nil {
		return nil, false
	}
	return slices.Clone(latest.Ejected), true
}
