package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A network is a group of entries on virtual time. Heartbeats are lost and delayed, paths break in one or both
// directions, and entries are paused, restarted and stopped. Each entry reads a fleet list that lags by a time
// of its own.
const (
	simTick    = 50 * time.Millisecond
	simTargets = 6 // targets of each cell
	simFloor   = 3 // the first simFloor targets are protected
	// maxLag is the maximum lag of the fleet list.
	maxLag = 20 * time.Second
)

var simCells = []CellKey{{"bescheid-info", 0}, {"mengen-buch", 0}}

type message struct {
	deliverAt time.Duration
	to        int
	heartbeat Heartbeat
}

type entry struct {
	*Membership
	running     bool
	pausedUntil time.Duration
	serveAt     time.Duration // when a starting entry serves
	leaveAt     time.Duration // when it leaves; 0 means never
	listLag     time.Duration // of its fleet list
	listTime    time.Duration // time of the list that it last saw; it never goes back
	ejected     map[CellKey]map[int]bool
	ownership   map[CellKey]Ownership
}

// fleetList is the platform's complete list at a time.
type fleetList struct {
	at   time.Duration
	rows []ListedEntry
}

type network struct {
	now         time.Duration
	random      *rand.Rand
	entries     []*entry
	inFlight    []message
	brokenPaths map[[2]int]bool
	loss        float64
	delay       time.Duration
	lists       []fleetList
	leaving     map[int]bool // marked as leaving in the fleet list, correctly or not
	faults      faults
	started     int64
	violation   string
}

func newNetwork(random *rand.Rand, size int, disabled faults) *network {
	n := &network{
		random: random, brokenPaths: map[[2]int]bool{}, leaving: map[int]bool{}, faults: disabled,
		delay: 20 * time.Millisecond,
	}
	n.now = time.Minute
	n.entries = make([]*entry, size)
	for i := range size {
		n.entries[i] = &entry{}
	}
	return n
}

func simID(i int) EntryID { return EntryID(fmt.Sprintf("e%d", i)) }

func (n *network) start(i int) {
	n.started++
	e := &entry{
		running: true, serveAt: n.now + time.Duration(n.random.IntN(1500))*time.Millisecond,
		listLag: n.entries[i].listLag,
	}
	e.Membership = &Membership{
		ID:          simID(i),
		Incarnation: NewIncarnation(n.started, n.random.Uint64()),
		PeerAddress: string(simID(i)),
		Random:      n.random,
		Timing:      Timing{MaxListLag: maxLag + 2*time.Second},
		faults:      n.faults,
	}
	e.ejected = map[CellKey]map[int]bool{}
	e.ownership = map[CellKey]Ownership{}
	n.entries[i] = e
	n.recordList()
}

func (n *network) stop(i int) {
	n.entries[i].running = false
	n.recordList()
}

// recordList records the current list, which entries see after their lag.
func (n *network) recordList() {
	var rows []ListedEntry
	for i, e := range n.entries {
		if e.running {
			rows = append(rows, ListedEntry{ID: simID(i), PeerAddress: string(simID(i)), Leaving: n.leaving[i]})
		}
	}
	n.lists = append(n.lists, fleetList{n.now, rows})
}

// visibleList returns the list that an entry sees now.
func (n *network) visibleList(e *entry) []ListedEntry {
	var rows []ListedEntry
	e.listTime = max(e.listTime, n.now-e.listLag)
	for _, l := range n.lists {
		if l.at <= e.listTime {
			rows = l.rows
		}
	}
	return rows
}

func (n *network) paused(e *entry) bool { return n.now < e.pausedUntil }

// step advances the time by one tick.
func (n *network) step() {
	n.now += simTick
	n.deliver()
	for _, i := range n.random.Perm(len(n.entries)) {
		e := n.entries[i]
		if !e.running || n.paused(e) {
			continue
		}
		if e.pausedUntil != 0 { // a resumed process acts on its old state first
			e.pausedUntil = 0
			if n.actOnView(e, true); n.violation != "" {
				return
			}
		}
		n.tick(i, e)
		n.actOnView(e, false)
	}
	n.check()
}

func (n *network) deliver() {
	pending := n.inFlight[:0]
	for _, m := range n.inFlight {
		e := n.entries[m.to]
		switch {
		case !e.running:
		case m.deliverAt > n.now || n.paused(e): // the socket of a paused process keeps heartbeats
			pending = append(pending, m)
		default:
			e.Receive(n.now, m.heartbeat)
		}
	}
	n.inFlight = pending
}

func (n *network) tick(i int, e *entry) {
	if n.now >= e.serveAt && e.state == StateStarting {
		e.SetState(n.now, StateServing)
	}
	if e.leaveAt != 0 && n.now >= e.leaveAt {
		e.SetState(n.now, StateLeaving)
	}
	if int(n.now/simTick)%20 == i {
		e.UpdateFleetList(n.now, n.visibleList(e))
	}
	for _, o := range e.Tick(n.now) {
		to := slices.IndexFunc(n.entries, func(t *entry) bool { return t.Membership != nil && t.ID == o.ID })
		if to < 0 || n.brokenPaths[[2]int{i, to}] || n.random.Float64() < n.loss {
			continue
		}
		delay := time.Duration(n.random.Int64N(int64(n.delay) + 1))
		n.inFlight = append(n.inFlight, message{n.now + delay, to, o.Heartbeat})
	}
}

// actOnView ejects as many targets as the ownership of each cell allows, and claims the cells.
func (n *network) actOnView(e *entry, beforeTick bool) {
	v := e.View(n.now)
	var claims []CellClaim
	for _, c := range simCells {
		o := v.Ownership(c)
		if beforeTick && o == ExclusiveOwner && n.now-e.lastTick > e.Timing.TickInterval+e.Timing.MaxTickDelay {
			n.violation = fmt.Sprintf("%s is the exclusive owner of %v before its first tick after a pause", e.ID, c)
		}
		e.ownership[c] = o
		if e.ejected[c] == nil || o == NotOwner || !v.MayEject(c) {
			e.ejected[c] = map[int]bool{}
		}
		if o != NotOwner && v.MayEject(c) {
			n.eject(e.ejected[c], o)
		}
		if o != NotOwner {
			claims = append(claims, CellClaim{Cell: c})
		}
	}
	e.SetClaims(claims)
}

func (n *network) eject(ejected map[int]bool, o Ownership) {
	first := 0
	if o == ContestedOwner {
		first = simFloor
		for t := range simFloor {
			delete(ejected, t)
		}
	}
	if n.random.IntN(10) == 0 {
		clear(ejected)
	}
	for len(ejected) < simTargets-simFloor {
		ejected[first+n.random.IntN(simTargets-first)] = true
	}
}

// check looks for a second exclusive owner and for ejections beyond the floor.
func (n *network) check() {
	for _, c := range simCells {
		var exclusive []EntryID
		ejectedByAny := map[int]bool{}
		for _, e := range n.entries {
			if !e.running || n.paused(e) {
				continue
			}
			if e.ownership[c] == ExclusiveOwner {
				exclusive = append(exclusive, e.ID)
			}
			for t := range e.ejected[c] {
				ejectedByAny[t] = true
			}
		}
		if len(exclusive) > 1 {
			n.violation = fmt.Sprintf("%v: %v are exclusive owners of %v", n.now, exclusive, c)
		}
		if len(ejectedByAny) > simTargets-simFloor {
			n.violation = fmt.Sprintf("%v: %d targets of %v are ejected", n.now, len(ejectedByAny), c)
		}
	}
}

// run advances the time by d or until a violation.
func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end && n.violation == ""; {
		n.step()
	}
}

// clearFaults ends all faults; stopped entries stay stopped.
func (n *network) clearFaults() {
	clear(n.brokenPaths)
	clear(n.leaving)
	n.recordList()
	n.loss = 0
	n.delay = 20 * time.Millisecond
	for _, e := range n.entries {
		e.listLag = 0
		e.pausedUntil = min(e.pausedUntil, n.now)
	}
}

// randomEvent applies one drawn change to the network. pick returns a number from 0 to its argument minus 1.
func (n *network) randomEvent(pick func(int) int) {
	size := len(n.entries)
	i, j := pick(size), pick(size)
	e := n.entries[i]
	switch pick(14) {
	case 0, 1: // one way
		n.brokenPaths[[2]int{i, j}] = true
	case 2: // both ways
		n.brokenPaths[[2]int{i, j}], n.brokenPaths[[2]int{j, i}] = true, true
	case 3: // partition
		members := pick(1 << size)
		for a := range size {
			for b := range size {
				if members>>a&1 != members>>b&1 {
					n.brokenPaths[[2]int{a, b}] = true
				}
			}
		}
	case 4, 5:
		clear(n.brokenPaths)
	case 6:
		e.pausedUntil = n.now + time.Duration(1+pick(20))*500*time.Millisecond
	case 7, 8:
		n.start(i)
	case 9:
		if alive := slices.DeleteFunc(slices.Clone(n.entries), func(e *entry) bool { return !e.running }); len(alive) > 2 {
			n.stop(i)
		}
	case 10:
		if e.running && pick(2) == 0 {
			e.SetState(n.now, StateLeaving)
			return
		}
		n.leaving[i] = !n.leaving[i]
		n.recordList()
	case 11:
		n.loss = float64(pick(5)) / 10
		n.delay = time.Duration(1+pick(30)) * 10 * time.Millisecond
		e.listLag = time.Duration(pick(int(maxLag/time.Second))) * time.Second
	case 12:
		n.replaceEntry(pick, i, j)
	case 13: // a new entry loses its links before it is on the lists of others
		for _, o := range n.entries {
			o.listLag = maxLag
		}
		n.start(i)
		n.entries[i].listLag = 0
		n.run(time.Duration(5+pick(10)) * time.Second)
		for a := range size {
			n.brokenPaths[[2]int{a, i}], n.brokenPaths[[2]int{i, a}] = true, true
		}
	}
}

// replaceEntry lets one entry leave at about the time when another begins to serve.
func (n *network) replaceEntry(pick func(int) int, leaving, joining int) {
	e := n.entries[leaving]
	if leaving == joining || !e.running {
		return
	}
	n.start(joining)
	n.entries[joining].serveAt = n.now + 6*time.Second
	e.leaveAt = n.now + 6*time.Second + time.Duration(pick(5)-2)*100*time.Millisecond
	n.loss = float64(pick(5)) / 10
	n.run(7 * time.Second)
}

// disagreement says why the entries do not agree; empty if they do.
func (n *network) disagreement(wantExclusive bool) string {
	var live []EntryID
	for _, e := range n.entries {
		if e.running {
			live = append(live, e.ID)
		}
	}
	for _, c := range simCells {
		owners, exclusive := map[EntryID]bool{}, 0
		serving := false
		for _, e := range n.entries {
			if !e.running {
				continue
			}
			v := e.View(n.now)
			var linked []EntryID
			for _, m := range v.Members {
				if m.Live && m.Relay == "" {
					linked = append(linked, m.ID)
				}
			}
			if !slices.Equal(linked, live) {
				return fmt.Sprintf("%s has two-way links with %v, running are %v", e.ID, linked, live)
			}
			serving = serving || e.state == StateServing
			if owner, ok := v.Owner(c); ok {
				owners[owner.ID] = true
			}
			if v.Ownership(c) == ExclusiveOwner {
				exclusive++
			}
		}
		if serving && len(owners) != 1 {
			return fmt.Sprintf("owners of %v are %v", c, owners)
		}
		if serving && wantExclusive && exclusive != 1 {
			return fmt.Sprintf("%d exclusive owners of %v", exclusive, c)
		}
	}
	return ""
}
