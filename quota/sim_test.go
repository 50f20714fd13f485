package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	simAccount     table.AccountName = "sese880"
	simStep                          = 10 * time.Millisecond
	simHeartbeat                     = 400 * time.Millisecond
	simTick                          = 50 * time.Millisecond
	simSuspect                       = 1500 * time.Millisecond
	simSeeds                         = 3
	simSeedsPeriod                   = time.Minute
	simRecent                        = simSuspect - simHeartbeat
	simDelay                         = 1900 * time.Millisecond // a quarter of the time that a request has
)

var simTolerance = Tolerance{Window: 5 * time.Second, Excess: 0.25, Slack: 20}

// A simNode is an entry that places requests and may own the only shard.
type simNode struct {
	ledger  Ledger
	spender Spender
	frozen  bool
	limit   Limit
	knows   []bool
	heardAt []Time
	// hearsMe has what the last heartbeat of each peer said.
	hearsMe []bool
	// links has the links that each peer reported.
	links     [][]bool
	waiters   []*Waiter
	startedAt Time
	// inbox has what arrives while the process is frozen.
	inbox []func()
}

// A sim is a fleet on virtual time. Of two entries that hear each other the one with the lower index owns the account.
type sim struct {
	random *rand.Rand
	now    Time
	nodes  []*simNode
	// cut[i][j] says that nothing arrives at j that i sends.
	cut [][]bool
	// events has what happens at each time.
	events map[Time][]func()
	faults ledgerFaults
	// ran has the times of the requests that ran.
	ran                  []Time
	overQuota, ownerLost int
}

func newSim(seed uint64, n int, limit Limit, faults ledgerFaults) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), nodes: make([]*simNode, n), events: make(map[Time][]func()), cut: make([][]bool, n), faults: faults}
	for i := range s.nodes {
		s.cut[i] = make([]bool, n)
		s.start(i, limit)
	}
	return s
}

// start starts the process of an entry, which knows the seeds.
func (s *sim) start(i int, limit Limit) {
	n := len(s.nodes)
	node := &simNode{limit: limit, knows: make([]bool, n), heardAt: make([]Time, n), hearsMe: make([]bool, n), links: make([][]bool, n)}
	node.startedAt = s.now
	node.ledger.Tolerance, node.spender.Tolerance, node.ledger.faults = simTolerance, simTolerance, s.faults
	for j := range n {
		node.knows[j] = j == i || j < simSeeds
		node.heardAt[j] = -time.Hour
	}
	s.nodes[i] = node
}

// deliver calls f at a node after a delay, unless it has another process by then, or the path is cut.
func (s *sim) deliver(from, to int, delay Time, f func(*simNode)) {
	node := s.nodes[to]
	if s.cut[from][to] {
		return
	}
	s.at(s.now+delay, func() {
		if s.nodes[to] != node {
			return
		}
		if node.frozen {
			node.inbox = append(node.inbox, func() { f(node) })
			return
		}
		f(node)
	})
}

func (s *sim) at(t Time, f func()) {
	t = max(s.now, (t + simStep - 1).Truncate(simStep))
	s.events[t] = append(s.events[t], f)
}

func (s *sim) linked(i, j int, silence Time) bool {
	n := s.nodes[i]
	return i == j || n.hearsMe[j] && s.now-n.heardAt[j] <= silence
}

// live reports whether an entry can be reached, directly or over a peer.
func (s *sim) live(i, j int) bool {
	if s.linked(i, j, simSuspect) {
		return true
	}
	for k, links := range s.nodes[i].links {
		if links != nil && links[j] && s.linked(i, k, simSuspect) {
			return true
		}
	}
	return false
}

func (s *sim) owner(i int) int {
	for j := range i {
		if s.live(i, j) {
			return j
		}
	}
	return i
}

func (s *sim) heartbeat(i int) {
	n := s.nodes[i]
	hears, links, knows := make([]bool, len(s.nodes)), make([]bool, len(s.nodes)), slices.Clone(n.knows)
	for j := range s.nodes {
		hears[j], links[j] = s.now-n.heardAt[j] <= simSuspect, s.linked(i, j, simSuspect)
	}
	for j := range s.nodes {
		if j == i || !n.knows[j] {
			continue
		}
		s.deliver(i, j, s.delay(), func(to *simNode) {
			to.heardAt[i], to.hearsMe[i], to.links[i] = s.now, hears[j], links
			for k, known := range knows {
				to.knows[k] = to.knows[k] || known
			}
		})
	}
}

func (s *sim) tick(i int) {
	n := s.nodes[i]
	count, seeds := fleet.LinkCount{Self: true}, fleet.LinkCount{}
	for j := range s.nodes {
		if j < simSeeds && s.now-n.startedAt < simSeedsPeriod {
			seeds.Known++
			if s.linked(i, j, simSuspect) {
				seeds.Linked++
			}
		}
		if n.knows[j] {
			count.Known++
			if s.linked(i, j, simRecent) {
				count.Linked++
			}
		}
	}
	links := []fleet.LinkCount{count}
	if seeds.Known > 0 {
		links = append(links, seeds)
	}
	n.ledger.SetStanding(s.now, Standing{Owned: []bool{s.owner(i) == i}, Links: links})
	n.spender.SetSpenders(s.now, count.Known, n.ledger.Linked())
}

func (s *sim) delay() Time { return Time(1+s.random.IntN(3)) * time.Millisecond }

func (s *sim) dispatch(i int) {
	n := s.nodes[i]
	for asks := n.spender.Asks(); len(asks) > 0; asks = n.spender.Asks() {
		for _, ask := range asks {
			owner := s.owner(i)
			if owner == i {
				n.spender.Answer(s.now, ask, n.ledger.Take(s.now, ask.Account, n.limit, ask.Want))
				continue
			}
			s.deliver(i, owner, s.delay(), func(to *simNode) {
				g := to.ledger.Take(s.now, ask.Account, to.limit, ask.Want)
				s.deliver(owner, i, s.delay(), func(n *simNode) {
					n.spender.Answer(s.now, ask, g)
					s.dispatch(i)
				})
			})
			s.at(s.now+askTimeout, func() {
				if s.nodes[i] == n {
					n.spender.Fail(s.now, ask)
				}
			})
		}
	}
	n.waiters = slices.DeleteFunc(n.waiters, func(w *Waiter) bool {
		select {
		case v := <-w.Verdict:
			s.count(v)
			return true
		default:
			return false
		}
	})
}

func (s *sim) count(v Verdict) {
	switch v.Kind {
	case VerdictRun:
		s.ran = append(s.ran, s.now)
	case VerdictOverQuota:
		s.overQuota++
	case VerdictNoOwner:
		s.ownerLost++
	}
}

// request sends a request to an entry.
func (s *sim) request(i int) {
	n := s.nodes[i]
	if n.frozen {
		n.inbox = append(n.inbox, func() { s.request(i) })
		return
	}
	v, w := n.spender.Acquire(s.now, simAccount, n.limit, s.now+simDelay)
	if w != nil {
		n.waiters = append(n.waiters, w)
	}
	s.count(v)
	s.dispatch(i)
}

func (s *sim) freeze(i int) { s.nodes[i].frozen = true }

// resume lets a process run on. It handles what has arrived meanwhile before its next tick.
func (s *sim) resume(i int) {
	n := s.nodes[i]
	n.frozen = false
	for _, f := range n.inbox {
		f()
	}
	n.inbox = nil
}

// run runs for a time with perSecond requests at the first spenders of the entries.
func (s *sim) run(d Time, perSecond float64, spenders int) {
	for until := s.now + d; s.now < until; {
		s.now += simStep
		due := s.events[s.now]
		delete(s.events, s.now)
		for _, do := range due {
			do()
		}
		for n := s.poisson(perSecond * simStep.Seconds()); n > 0; n-- {
			s.request(s.random.IntN(spenders))
		}
		for i, n := range s.nodes {
			if n.frozen {
				continue
			}
			phase := s.now + Time(i)*simStep
			if phase%simTick == 0 {
				s.tick(i)
			}
			if phase%simHeartbeat == 0 {
				s.heartbeat(i)
			}
			n.spender.Tick(s.now)
			s.dispatch(i)
		}
	}
}

func (s *sim) poisson(mean float64) int {
	n := 0
	for t := s.random.ExpFloat64(); t < mean; t += s.random.ExpFloat64() {
		n++
	}
	return n
}

// most returns the highest number of requests that ran in a window that begins at or after from.
func (s *sim) most(from Time) int {
	most, first := 0, 0
	for last, at := range s.ran {
		for s.ran[first] < from && first < last || at-s.ran[first] > simTolerance.Window {
			first++
		}
		if s.ran[first] >= from {
			most = max(most, last-first+1)
		}
	}
	return most
}
