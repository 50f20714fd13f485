package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two parts of a fleet that both count a majority of their links, or one of them a majority and the other
// half, at any time after a split: each part soon has hubs of its own, which must not make up for those that it has lost.
// The larger part must count its majority again as soon as it has a new owner.
func TestSplitFleetHasOneMajority(t *testing.T) {
	domain := func(i int) int { return i % 3 }
	splits := []struct {
		name     string
		part     func(i int) int
		majority bool
	}{
		{"one domain cut off", func(i int) int { return min(1, domain(i)) }, true},
		{"three parts", domain, false},
		{"two halves", func(i int) int { return i / 3 % 2 }, false},
		{"one member cut off", func(i int) int { return max(0, 1-i) }, true},
	}
	for _, split := range splits {
		t.Run(split.name, func(t *testing.T) {
			is := is.New(t)
			g := newShardedGroup(48)
			counters := make(map[EntryID]*LinkCounter)
			for _, id := range g.order {
				counters[id] = &LinkCounter{}
			}
			// count advances the group and returns the parts in which a member counts more than half, and at least half.
			count := func(d time.Duration) (more, half map[int]bool) {
				g.run(d)
				more, half = make(map[int]bool), make(map[int]bool)
				for _, id := range g.order {
					atLeastHalf, aboveHalf := true, true
					for _, n := range counters[id].Count(g.members[id].View(g.now)) {
						atLeastHalf = atLeastHalf && 2*n.Linked >= n.Known
						aboveHalf = aboveHalf && 2*n.Linked > n.Known
					}
					if g.members[id].hub && atLeastHalf {
						half[g.part[id]] = true
						more[g.part[id]] = more[g.part[id]] || aboveHalf
					}
				}
				return more, half
			}
			const step = 500 * time.Millisecond
			for range 60 {
				count(step)
			}
			g.part = make(map[EntryID]int)
			for i, id := range g.order {
				g.part[id] = split.part(i)
			}
			// The margin by which an owner learns of its isolation before the others replace it.
			count(hubTiming.SuspectTimeout)
			for i := range 100 {
				more, half := count(step)
				parts := 0
				for _, isMore := range more {
					if isMore {
						parts++
					}
				}
				is.True(parts == 0 || len(half) == 1)
				is.True(parts <= 1)
				if i > 2 && split.majority {
					is.Equal(parts, 1)
				}
			}
		})
	}
}

// Guards against a member that has no count at all when it leaves as the last one.
func TestLeavingMemberCountsNoLinks(t *testing.T) {
	is := is.New(t)
	m := &Membership{ID: "a", Incarnation: 1, Timing: Timing{TickInterval: simTick}, Random: rand.New(rand.NewPCG(1, 7))}
	m.SetState(time.Second, StateServing)
	m.Tick(time.Second)
	var c LinkCounter
	is.Equal(c.Count(m.View(time.Second)), []LinkCount{{Linked: 1, Known: 1, Self: true}})
	m.SetState(time.Second, StateLeaving)
	is.Equal(c.Count(m.View(time.Second)), []LinkCount{{}})
}
