package fleet

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// settledNetwork returns a network of size entries after 15 s without faults.
func settledNetwork(size int) *network {
	n := newNetwork(rand.New(rand.NewPCG(1, 1)), size, faults{})
	for i := range size {
		n.start(i)
	}
	n.run(15 * time.Second)
	return n
}

func exclusiveOwner(n *network, cell CellKey) int {
	for i, e := range n.entries {
		if e.running && e.View(n.now).Ownership(cell) == ExclusiveOwner {
			return i
		}
	}
	return -1
}

// Guards against a path that works in one direction only and is not detected, that removes a reachable peer,
// or that leaves an owner exclusive.
func TestOneWayLinkIsDetectedAndRelayed(t *testing.T) {
	is := is.New(t)
	n := settledNetwork(5)
	c := simCells[0]
	a := exclusiveOwner(n, c)
	is.True(a >= 0)
	b := (a + 1) % 5
	n.brokenPaths[[2]int{a, b}] = true // b receives nothing from a
	n.run(3 * time.Second)
	atA, _ := n.entries[a].View(n.now).Member(simID(b))
	atB, _ := n.entries[b].View(n.now).Member(simID(a))
	is.Equal(atA.Link, LinkInboundOnly)
	is.Equal(atB.Link, LinkSilent)
	is.True(atA.Live && atA.Relay != "" && atB.Live && atB.Relay != "")
	is.Equal(n.entries[a].View(n.now).Ownership(c), ContestedOwner)
	owner, ok := n.entries[b].View(n.now).Owner(c)
	is.True(ok)
	is.Equal(owner.ID, simID(a)) // it stays the owner, reached through a relay
}

// Guards against a crash or restart that is detected late, and against a successor that is an exclusive owner
// too early.
func TestCrashAndRestart(t *testing.T) {
	is := is.New(t)
	n := settledNetwork(4)
	c := simCells[0]
	a := exclusiveOwner(n, c)
	b := (a + 1) % 4
	oldIncarnation := n.entries[a].Incarnation
	n.start(a)
	n.run(2 * time.Second)
	m, _ := n.entries[b].View(n.now).Member(simID(a))
	is.True(m.Live && m.Incarnation > oldIncarnation)

	n.run(15 * time.Second)
	n.stop(a)
	crashed := n.now
	n.run(2500 * time.Millisecond)
	m, _ = n.entries[b].View(n.now).Member(simID(a))
	is.True(!m.Live)
	for exclusiveOwner(n, c) < 0 && n.now < crashed+time.Minute {
		n.run(simTick)
	}
	is.True(n.now-crashed >= 7*time.Second)
	is.True(n.now-crashed < maxLag+10*time.Second)
}

// Guards against a resumed process that acts on its knowledge from before the pause.
func TestResumedProcessIsRecentlyPaused(t *testing.T) {
	is := is.New(t)
	n := settledNetwork(4)
	c := simCells[0]
	a := exclusiveOwner(n, c)
	e := n.entries[a]
	resumed := n.now + 3*time.Second
	v := e.View(resumed) // before its first tick
	is.True(v.RecentlyPaused)
	is.Equal(v.Ownership(c), ContestedOwner)
	e.Tick(resumed)
	v = e.View(resumed)
	is.True(v.RecentlyPaused && !v.MayEject(c))
	for _, m := range v.Members {
		is.True(m.Live) // its own pause is no evidence against its peers
	}
}

// Guards against the loss of claims that do not fit into one heartbeat, and against ejections and rate limits that the
// next owner does not learn.
func TestClaimsArePagedAndKept(t *testing.T) {
	is := is.New(t)
	group := settledGroup(44)
	var claims []CellClaim
	for i := range 120 {
		claims = append(claims, CellClaim{Cell: CellKey{"mengen-buch", i}, Ejected: []table.TargetID{"b-1", "b-2"}})
	}
	claims[5].RateLimits = []TargetRateLimit{{Target: "b-3", PerSecond: 1.4}}
	group[0].SetClaims(claims)
	now := 3 * time.Second
	for ; now < 9*time.Second; now += simTick { // 120 claims take 8 heartbeats
		exchange(now, group)
	}
	for i := range 120 {
		is.Equal(len(group[1].View(now).Claimants(CellKey{"mengen-buch", i})), 1)
	}
	group[0].SetClaims(nil)
	for ; now < 11*time.Second; now += simTick {
		exchange(now, group)
	}
	v := group[1].View(now)
	is.Equal(len(v.Claimants(claims[5].Cell)), 0)
	ejected, known := v.LastEjected(claims[5].Cell)
	is.True(known)
	is.Equal(ejected, []table.TargetID{"b-1", "b-2"})
	is.Equal(v.LastRateLimits(claims[5].Cell), []TargetRateLimit{{Target: "b-3", PerSecond: 1.4}})
	is.Equal(len(v.LastRateLimits(claims[6].Cell)), 0)
}

// Guards against entries that do not fetch a newer pair or fetch it from an entry without it, and against
// failure domains without readers.
func TestAcceptedPairAndReaders(t *testing.T) {
	is := is.New(t)
	group := settledGroup(11)
	group[3].SetAcceptedRevision(0, 200_000, 5, false)
	group[3].SetReader(true)
	now := 3 * time.Second
	for ; now < 4*time.Second; now += simTick {
		exchange(now, group)
	}
	v := group[0].View(now)
	is.Equal(v.HighestRevision, table.Revision(200_000))
	is.Equal(v.HighestDigest, uint64(5))
	is.Equal(v.Holders, []EntryID{group[3].ID})
	is.True(v.HasOtherReader)
	readers := 0
	for _, m := range group {
		if m.View(now).IsReader(2) {
			readers++
		}
	}
	is.Equal(readers, 2)
}

// Guards against a leaving entry that a peer keeps naming to callers because it receives no heartbeats of it.
// Other peers must report that the entry leaves.
func TestLeavingIsRelayed(t *testing.T) {
	for _, off := range []bool{false, true} {
		is := is.New(t)
		n := settledNetwork(5)
		a, b := 0, 1
		n.entries[b].faults.ignoreReportedLeaving = off
		n.brokenPaths[[2]int{a, b}] = true // b receives nothing from a
		n.run(3 * time.Second)
		n.entries[a].SetState(n.now, StateLeaving)
		n.run(2 * time.Second)
		m, _ := n.entries[b].View(n.now).Member(simID(a))
		is.Equal(m.State == StateLeaving, !off) // detected only while the rule is enabled
	}
}

// Guards against a listed entry that never starts and prevents ejections as long as it is listed.
func TestListedEntryThatNeverStarts(t *testing.T) {
	is := is.New(t)
	n := settledNetwork(4)
	c := simCells[0]
	a := exclusiveOwner(n, c)
	is.True(a >= 0)
	n.run(maxLag + 3*time.Second) // the others count as established after Timing.MaxListLag
	rows := append(n.visibleList(n.entries[a]), ListedEntry{ID: "e9", PeerAddress: "e9"})
	e := n.entries[a]
	e.UpdateFleetList(n.now, rows)
	v := e.View(n.now)
	is.Equal(v.Ownership(c), ContestedOwner)
	is.True(!v.MayEject(c))
	e.byID["e9"].addedAt -= 6 * time.Second // longer than the gone timeout
	is.True(e.View(n.now).MayEject(c))
}

// Guards against requests that pass through an entry which is about to end, while another one could relay them: a relay in
// its planned stop ended, and requests at which a target was at work were broken off.
func TestLeavingEntryIsNoRelay(t *testing.T) {
	is := is.New(t)
	n := settledNetwork(5)
	a, b := 0, 1
	n.brokenPaths[[2]int{a, b}], n.brokenPaths[[2]int{b, a}] = true, true
	n.run(3 * time.Second)
	relay := func() EntryID {
		m, _ := n.entries[a].View(n.now).Member(simID(b))
		is.True(m.Live)
		return m.Relay
	}
	for left := 3; left > 1; left-- {
		first := relay()
		i := slices.IndexFunc(n.entries, func(e *entry) bool { return e.ID == first })
		n.entries[i].SetState(n.now, StateLeaving)
		n.run(time.Second)
		is.True(relay() != first)
	}
	// The last one relays until it ends; it refuses requests that may outlast it.
	last := relay()
	i := slices.IndexFunc(n.entries, func(e *entry) bool { return e.ID == last })
	n.entries[i].SetState(n.now, StateLeaving)
	n.run(time.Second)
	is.True(relay() != "")
}
