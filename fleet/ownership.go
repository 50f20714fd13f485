package fleet

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// canBeExclusive reports whether the conditions of exclusive ownership that don't depend on the cell are met:
//
//   - This entry has been able to own cells for the handover delay, without a delayed tick.
//   - For the settle delay it has had a direct two-way link with every known entry that is not confirmed
//     gone. Within this time a peer that took itself for the owner learns of a restored link.
//   - It can know which other entries exist.
func (m *Membership) canBeExclusive(now time.Duration) bool {
	if m.state != StateServing || !m.linkedToAll(now) || !m.knowsFleet() {
		return false
	}
	if !m.faults.noSettleDelay && now-m.lastUnlinkedAt < m.Timing.SettleDelay {
		return false
	}
	return m.faults.noHandoverDelay || now-m.eligibleSince >= m.Timing.HandoverDelay
}

// knowsFleet reports whether this entry can know which other entries exist. Fleet lists that don't name it are
// older than its start, and may lack others too. Without any list, while the platform is down, a two-way link
// is enough, because peers report their links.
func (m *Membership) knowsFleet() bool {
	if m.hasList {
		return m.selfEverListed
	}
	return slices.ContainsFunc(m.peers, func(p *peer) bool { return p.link == LinkTwoWay })
}

// linkedToAll reports whether there is a direct two-way link with every known entry that has not announced that
// it leaves and is not confirmed gone. An entry without a record here that peers reported within the gone
// timeout counts as not linked. A relayed link does not count, so that a broken path is noticed within the
// suspect timeout plus one heartbeat.
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

// canEject reports whether the conditions for ejections that don't depend on the cell are met. Every known
// entry that neither leaves nor is confirmed gone must have received heartbeats of this incarnation. One that
// never did may be an exclusive owner, and its ejections of protected targets would add to those of this entry.
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
		// An entry without a link to a peer that has run for longer than MaxListLag knows of that peer from
		// the list, so it is not an exclusive owner. Thus a listed entry that never starts does not prevent
		// ejections.
		if !establishedPeer || now-p.lastSeenAt() <= m.Timing.GoneTimeout {
			return false
		}
	}
	return true
}

// Ownership returns whether this entry owns the cell, and whether another entry may serve it too.
func (v *View) Ownership(c CellKey) Ownership {
	cell := v.rankKeyOf(c)
	if v.ownerIndex(cell) != v.selfIndex {
		return NotOwner
	}
	if !v.canBeExclusive || v.claimedByPeer(c) {
		return ContestedOwner
	}
	period := v.timing.HandoverDelay
	if v.faults.noHandoverDelay {
		period = 0
	}
	if v.outrankedWithin(cell, period, func(r *memberState) time.Duration { return r.lastServingAt }) {
		return ContestedOwner
	}
	return ExclusiveOwner
}

// LikelyShared reports whether another entry is likely to serve the cell too: another entry owns it, a peer
// claims it, or a peer that ranks above this entry could own it within the last handover delay.
//
// An entry that is unreachable does not count. After a crash it would halve the use of the targets until the
// fleet list drops the VM. If it still runs, a target that gets too many requests sheds them before it runs
// them.
func (v *View) LikelyShared(c CellKey) bool {
	cell := v.rankKeyOf(c)
	return v.ownerIndex(cell) != v.selfIndex || v.claimedByPeer(c) ||
		v.outrankedWithin(cell, v.timing.HandoverDelay, func(r *memberState) time.Duration { return r.lastServingAt })
}

// LinkedToMajority reports whether this entry and the peers that it has a direct two-way link with are more than half of
// the entries that it knows. Of two owners that don't hear each other, at most one is linked to a majority. In the
// hub-and-spoke topology only hubs count, and must have been heard within the suspect timeout: the links with other
// entries, and their reports of links, may be seconds old.
func (v *View) LinkedToMajority() bool {
	onlyHubs := v.hubTopology && slices.ContainsFunc(v.Members, func(m Member) bool { return m.Hub })
	linked, total := 0, 0
	for i := range v.Members {
		m := &v.Members[i]
		if onlyHubs && !m.Hub {
			continue
		}
		total++
		heard := !v.hubTopology || v.At-v.states[i].heardAt <= v.timing.SuspectTimeout
		if i == v.selfIndex || m.Link == LinkTwoWay && heard {
			linked++
		}
	}
	return 2*linked > total
}

// MayEject reports whether this entry owns the cell and may eject targets. A new owner first waits until a
// former exclusive owner has noticed that it no longer is one, because their ejections of protected targets
// would add up. While MayEject is false, targets that are already ejected must be avoided.
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

// outrankedWithin reports whether a peer that ranks above this entry for the cell could own it within the last
// period. lastAt returns when a member last could.
func (v *View) outrankedWithin(cell rankKey, period time.Duration, lastAt func(*memberState) time.Duration) bool {
	own := v.rank(v.selfIndex, cell)
	for i := range v.states {
		if i == v.selfIndex || v.At-lastAt(&v.states[i]) > period {
			continue
		}
		if v.rank(i, cell) > own {
			return true
		}
	}
	return false
}

// claimedByPeer reports whether a peer claims the cell.
func (v *View) claimedByPeer(c CellKey) bool { return len(v.Claimants(c)) > 0 }

// Claimants returns the peers that recently claimed the cell. A claim need not be repeated in every heartbeat,
// because many claims take several heartbeats.
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

// maxSpareAge is the maximum age of a claim whose spare slots count; owners send two heartbeats in this time.
const maxSpareAge = time.Second

// SpareSlots returns how many more requests the cell's targets could run, as its owner recently reported; 0 if
// unknown.
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

// maxOutcomesAge is the maximum age of a claim whose outcomes count. A long list of claims takes several heartbeats.
const maxOutcomesAge = 1500 * time.Millisecond

// OutcomesElsewhere returns how many requests ended recently in the cells of a pool that other entries own, and how many
// of them failed, as their owners reported.
func (v *View) OutcomesElsewhere(pool table.PoolName) (ended, failed float64) {
	const tenth = 0.1
	for i := range v.states {
		for _, c := range v.states[i].claims {
			if c.Cell.Pool != pool || c.released || c.EndedTenths <= 0 || v.At-c.repeatedAt > maxOutcomesAge {
				continue
			}
			if v.ownerIndex(v.rankKeyOf(c.Cell)) == i {
				ended += tenth * float64(c.EndedTenths)
				failed += tenth * float64(min(max(0, c.FailedTenths), c.EndedTenths))
			}
		}
	}
	return ended, failed
}

// LastEjected returns the ejected targets in the latest claim of the cell by a peer, so that a new owner
// starts with them, and whether there is such a claim.
func (v *View) LastEjected(c CellKey) ([]table.TargetID, bool) {
	latest := v.latestClaim(c)
	if latest == nil {
		return nil, false
	}
	return slices.Clone(latest.Ejected), true
}

// LastRateLimits returns the rate limits of targets in the latest claim of the cell by a peer, none if there is no such
// claim.
func (v *View) LastRateLimits(c CellKey) []TargetRateLimit {
	latest := v.latestClaim(c)
	if latest == nil {
		return nil
	}
	return slices.Clone(latest.RateLimits)
}

// LastAnnouncements returns the announcements of targets in the latest claim of the cell by a peer, with the rest of each
// pause as of v.At, none if there is no such claim.
func (v *View) LastAnnouncements(c CellKey) []TargetAnnouncement {
	latest := v.latestClaim(c)
	if latest == nil {
		return nil
	}
	age := (v.At - latest.repeatedAt).Milliseconds()
	announcements := slices.Clone(latest.Announcements)
	for i := range announcements {
		announcements[i].PausedMs = max(0, announcements[i].PausedMs-age)
	}
	return announcements
}

// latestClaim returns the latest claim of the cell by a peer, or nil.
func (v *View) latestClaim(c CellKey) *peerClaim {
	var latest *peerClaim
	for i := range v.states {
		for j := range v.states[i].claims {
			claim := &v.states[i].claims[j]
			if claim.Cell == c && (latest == nil || claim.repeatedAt > latest.repeatedAt) {
				latest = claim
			}
		}
	}
	return latest
}
