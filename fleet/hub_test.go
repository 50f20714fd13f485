package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/table"
)

// hubTiming is the timing of a deployment with the hub-and-spoke topology.
var hubTiming = Timing{
	HeartbeatInterval: 400 * time.Millisecond, SlowHeartbeatInterval: 4 * time.Second,
	SuspectTimeout: 1500 * time.Millisecond, GoneTimeout: 2500 * time.Millisecond,
	HandoverDelay: 3 * time.Second, TickInterval: simTick,
}

// hubGroup is a group whose members know three seeds and lose no heartbeats.
type hubGroup struct {
	now       time.Duration
	members   map[EntryID]*Membership
	order     []EntryID
	cells     []CellKey
	sentCount int
	// contacts are the pairs of members that ever exchanged a heartbeat; each pair takes a handshake.
	contacts map[[2]EntryID]bool
	stopped  map[EntryID]bool
}

func newHubGroup(size int) *hubGroup {
	s := &hubGroup{
		now: time.Minute, cells: []CellKey{{}}, members: make(map[EntryID]*Membership),
		stopped: make(map[EntryID]bool), contacts: make(map[[2]EntryID]bool),
	}
	var seeds []Seed
	for i := range size {
		id := EntryID(fmt.Sprintf("10.0.0.%d:8544", i))
		if i%(size/3) == 0 && len(seeds) < 3 {
			seeds = append(seeds, Seed{ID: id, PeerAddress: string(id)})
		}
		s.order = append(s.order, id)
		s.members[id] = &Membership{
			ID: id, Incarnation: Incarnation(i + 1), PeerAddress: string(id), CallerAddress: string(id),
			FailureDomain: table.FailureDomain(fmt.Sprint("d", i%3)), Timing: hubTiming, ShardDomains: []table.FailureDomain{""},
			Random: rand.New(rand.NewPCG(uint64(i), 7)),
		}
	}
	for _, m := range s.members {
		m.Seeds = seeds
		m.SetState(s.now, StateServing)
	}
	return s
}

// run advances the time by d. Heartbeats arrive within the tick that sends them.
func (s *hubGroup) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simTick {
		var out []OutgoingHeartbeat
		for _, id := range s.order {
			if s.stopped[id] {
				continue
			}
			m := s.members[id]
			m.SetHub(s.now, m.View(s.now).RanksAsHub(s.cells))
			heartbeats := m.Tick(s.now)
			for _, o := range heartbeats {
				s.contacts[[2]EntryID{min(id, o.ID), max(id, o.ID)}] = true
			}
			out = append(out, heartbeats...)
		}
		s.sentCount += len(out)
		for _, o := range out {
			if to := s.members[o.ID]; to != nil && !s.stopped[o.ID] {
				to.Receive(s.now, o.Heartbeat)
			}
		}
	}
}

// owners counts how many running members take each entry for the owner.
func (s *hubGroup) owners() map[EntryID]int { return s.ownersOf(CellKey{Pool: "pas-serviss"}) }

func (s *hubGroup) ownersOf(cell CellKey) map[EntryID]int {
	owners := make(map[EntryID]int)
	for id, m := range s.members {
		if s.stopped[id] {
			continue
		}
		if owner, ok := m.View(s.now).Owner(cell); ok {
			owners[owner.ID]++
		}
	}
	return owners
}

// Guards against heartbeats that grow with the square of the group's size, and against members that name
// different owners to callers after the group has settled.
func TestHubGroupAgreesOnOneOwner(t *testing.T) {
	for _, size := range []int{9, 44, 126} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := newHubGroup(size)
			s.run(15 * time.Second)
			is.Equal(len(s.owners()), 1)
			s.sentCount = 0
			const span = 20 * time.Second
			s.run(span)
			is.Equal(len(s.owners()), 1)
			// Three hubs send heartbeats to all members 2.5 times a second, with a jitter of 10%. The others
			// send heartbeats to the hubs every 4 s.
			perSecond := float64(s.sentCount) / span.Seconds()
			t.Logf("%d entries: %.0f heartbeats/s, %.1f heartbeats/s per entry", size, perSecond, perSecond/float64(size))
			is.True(perSecond < 1.2*float64(3*size)*(2.5+0.25))
		})
	}
}

// Guards against callers that are sent to a lost owner for long. Every member must name the next owner within
// the suspect timeout and two heartbeats, even if the owner and the two next in line are lost together.
func TestHubGroupReplacesLostOwners(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			is := is.New(t)
			s := newHubGroup(44)
			s.run(15 * time.Second)
			for _, m := range s.members[s.order[0]].View(s.now).Candidates(CellKey{})[:lost] {
				s.stopped[m.ID] = true
			}
			s.run(hubTiming.SuspectTimeout + 2*hubTiming.HeartbeatInterval)
			owners := s.owners()
			is.Equal(len(owners), 1)
			for id := range owners {
				is.True(!s.stopped[id])
			}
		})
	}
}

// newShardedGroup returns a group with a shard for each of three failure domains. Two members in each domain
// have large VMs.
func newShardedGroup(size int) *hubGroup {
	s := newHubGroup(size)
	for i, id := range s.order {
		m := s.members[id]
		m.ShardDomains = []table.FailureDomain{"d0", "d1", "d2"}
		if i >= size/2 && i < size/2+6 {
			m.Capacity = 3
		}
	}
	return s
}

// Guards against owners whose VMs are too small or are in another failure domain than the targets, and against
// a start in which every member contacts all others, since each pair takes a handshake.
func TestShardsHaveLargeOwnersNearby(t *testing.T) {
	is := is.New(t)
	const size = 126
	s := newShardedGroup(size)
	s.run(10 * time.Second)
	for index, domain := range []table.FailureDomain{"d0", "d1", "d2"} {
		owners := s.ownersOf(CellKey{Pool: "pas-serviss", Index: index})
		is.Equal(len(owners), 1)
		for id := range owners {
			is.Equal(s.members[id].Capacity, CapacityClass(3))
			is.Equal(s.members[id].FailureDomain, domain)
		}
		is.Equal(owners, s.ownersOf(CellKey{Pool: "kat-serviss", Index: index}))
	}
	t.Logf("%.1f contacted peers per entry", 2*float64(len(s.contacts))/size)
	// Every member knows three seeds, six large members, and up to eight candidates of each of three shards.
	is.True(len(s.contacts) < size*(3+6+8*3))
}

// Guards against shards without an owner after all large VMs are lost at once.
func TestShardsOutliveLargeVMs(t *testing.T) {
	is := is.New(t)
	s := newShardedGroup(126)
	s.run(15 * time.Second)
	for _, id := range s.order {
		s.stopped[id] = s.members[id].Capacity > 0
	}
	s.run(10 * time.Second)
	for index := range 3 {
		owners := s.ownersOf(CellKey{Pool: "pas-serviss", Index: index})
		t.Log(owners)
		is.Equal(len(owners), 1)
		for id := range owners {
			is.True(!s.stopped[id])
		}
	}
}

// Guards against making known only the candidates of one shard if each cell has its own owner.
func TestHubGroupWithAnOwnerPerCell(t *testing.T) {
	is := is.New(t)
	s := newHubGroup(44)
	s.cells = nil
	for index := range 4 {
		s.cells = append(s.cells, CellKey{Pool: "pas-serviss", Index: index}, CellKey{Pool: "kat-serviss", Index: index})
	}
	for _, m := range s.members {
		m.ShardDomains = nil
		m.SetAcceptedRevision(s.now, 1, 1, false)
	}
	s.run(15 * time.Second)
	for _, c := range s.cells {
		is.Equal(len(s.ownersOf(c)), 1)
	}
}

// Guards against callers that are sent to an owner which can't reach its targets, and against a group without
// an owner if no member can reach them.
func TestDegradedOwnerHandsOver(t *testing.T) {
	is := is.New(t)
	s := newHubGroup(44)
	s.run(15 * time.Second)
	first := s.members[s.order[0]].View(s.now).Candidates(CellKey{})[0].ID
	s.members[first].SetHealthy(s.now, false)
	s.run(2 * hubTiming.HeartbeatInterval)
	owners := s.owners()
	is.Equal(len(owners), 1)
	is.Equal(owners[first], 0)
	s.members[first].SetHealthy(s.now, true)
	s.run(hubTiming.SuspectTimeout + 2*hubTiming.HeartbeatInterval)
	is.Equal(s.owners(), map[EntryID]int{first: len(s.order)})
	for _, m := range s.members {
		m.SetHealthy(s.now, false)
	}
	s.run(hubTiming.SlowHeartbeatInterval + 2*hubTiming.HeartbeatInterval)
	is.Equal(len(s.owners()), 1)
}
