package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	partitionDomains = 3
	partitionEntries = 15 // five in each failure domain
	simServiceTime   = 300 * time.Millisecond
	simDeadline      = 2500 * time.Millisecond
	simDialTimeout   = 1500 * time.Millisecond // of target.Client
	simNetworkDelay  = 2 * time.Millisecond
)

// errSimRefused is how a dial to a target ends that accepts no connections but whose path works.
var errSimRefused = errors.New("connection refused")

// A partitionSim is a fleet of entries on virtual time. Heartbeats always arrive. Paths to targets can be broken for
// some entries, or the targets can be down for all.
type partitionSim struct {
	t       *testing.T
	entries map[fleet.EntryID]*Entry
	order   []fleet.EntryID

	mu     sync.Mutex
	random *rand.Rand
	// cut has the entries that reach no target, and cutError is how their dials end: os.ErrDeadlineExceeded after a
	// timeout, errSimRefused at once. openWorks says that they can still use a tenth of the targets, as on connections
	// that were open before.
	cut       map[fleet.EntryID]bool
	cutError  error
	openWorks bool
	// down has the targets that refuse connections from all entries.
	down map[string]bool
	// served and failed count the requests by whether their entry was cut off.
	served, failed map[bool]int
	counting       bool
	// checks counts the connections opened to check paths.
	checks int
	// objective is how long a request may take that counts as served; 0 means simDeadline.
	objective time.Duration
}

func newPartitionSim(t *testing.T, targetsPerPool int, byDomain bool) *partitionSim {
	t.Helper()
	s := &partitionSim{
		t: t, random: rand.New(rand.NewPCG(7, 7)), entries: make(map[fleet.EntryID]*Entry),
		cut: make(map[fleet.EntryID]bool), down: make(map[string]bool),
		served: make(map[bool]int), failed: make(map[bool]int),
	}
	pools, routes := s.tables(targetsPerPool, byDomain)
	var seeds []settings.Seed
	for i := range partitionDomains {
		seeds = append(seeds, settings.Seed{ID: simEntryID(i), PeerAddress: string(simEntryID(i))})
	}
	for i := range partitionEntries {
		id := simEntryID(i)
		e := &Entry{Log: zerolog.Nop(), Settings: settings.Entry{
			ID: id, FailureDomain: simDomain(i), CallerAddress: fmt.Sprintf("127.0.0.1:%d", 2000+i), PeerAddress: string(id),
			OperatorAddress: fmt.Sprintf("127.0.0.1:%d", 3000+i), TLS: settings.TLS{Unauthenticated: true}, Seeds: seeds,
			HeartbeatMs: 400, SlowHeartbeatMs: 4000, GoneMs: 2500, SuspectMs: 1500, HandoverMs: 3000,
		}}
		is.New(t).NoErr(e.Settings.Check())
		e.prepare()
		e.pathMonitor.dial = func(ctx context.Context, address string) error {
			s.set(func() { s.checks++ })
			return s.dial(ctx, id, address)
		}
		e.pathMonitor.ask = func(ctx context.Context, to fleet.Member, c peer.PathCheck) (peer.PathResult, error) {
			time.Sleep(2 * simNetworkDelay)
			return s.entries[to.ID].CheckPaths(ctx, c), nil
		}
		e.sendHeartbeat = func(o fleet.OutgoingHeartbeat) {
			time.AfterFunc(simNetworkDelay, func() {
				if to := s.entries[o.ID]; to != nil {
					to.fleet.receive(to.sinceStart(), o.Heartbeat)
				}
			})
		}
		e.source = idleSource{}
		e.tables.offer("test", table.Snapshot{Revision: 1, Values: map[string][]byte{
			table.RoutesKey: mustJSON(routes), table.PoolsKey: mustJSON(pools),
		}})
		is.New(t).True(e.tables.current() != nil)
		e.setState(fleet.StateServing)
		s.entries[id] = e
		s.order = append(s.order, id)
	}
	return s
}

func simEntryID(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprintf("127.0.0.1:%d", 1000+i)) }

func simDomain(i int) table.FailureDomain {
	return table.FailureDomain(fmt.Sprint("d", i%partitionDomains))
}

func (s *partitionSim) tables(targetsPerPool int, byDomain bool) (table.Pools, table.Routes) {
	routes, pools := table.Routes{}, table.Pools{FleetGroups: 1}
	for i, name := range []table.PoolName{"bescheid-info", "mengen-buch"} {
		p := table.Pool{
			Name: name, Slots: 4, MaxConnections: 100,
			Policy: table.Policy{FalseEjectionEveryHours: 24, SpellMs: 6000, RetryBurst: 45},
		}
		if byDomain {
			for d := range partitionDomains {
				p.CellDomains = append(p.CellDomains, simDomain(d))
			}
		}
		for j := range targetsPerPool {
			p.Targets = append(p.Targets, table.Target{
				ID: table.TargetID(fmt.Sprintf("%s-%02d", name, j)), FailureDomain: simDomain(j),
				Address: fmt.Sprintf("127.0.%d.%d:80", i+1, j+1),
			})
		}
		pools.Pools = append(pools.Pools, p)
		routes.Routes = append(routes.Routes, table.Route{
			Name: table.RouteName(name), Host: shardHost, PathPrefix: "/" + string(name), Pool: name, TimeoutMs: 3000,
		})
	}
	return pools, routes
}

// idleSource never reads tables.
type idleSource struct{}

func (idleSource) Run(context.Context)          {}
func (idleSource) SetActive(bool)               {}
func (idleSource) Status() configuration.Status { return configuration.Status{} }

// set changes the faults.
func (s *partitionSim) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// dial opens a connection from an entry to a target.
func (s *partitionSim) dial(ctx context.Context, from fleet.EntryID, address string) error {
	s.mu.Lock()
	cut, cutError, down := s.cut[from], s.cutError, s.down[address]
	s.mu.Unlock()
	switch {
	case cut && errors.Is(cutError, os.ErrDeadlineExceeded):
		<-ctx.Done()
		return context.DeadlineExceeded
	case cut, down:
		return errSimRefused
	}
	return nil
}

func (s *partitionSim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// run advances the fleet by d while callers send a request every 10 ms.
func (s *partitionSim) run(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		go s.request(ctx)
	}
}

// measure counts the requests of the next d and waits until they have ended.
func (s *partitionSim) measure(ctx context.Context, d time.Duration) {
	s.set(func() { s.counting = true })
	s.run(ctx, d)
	s.set(func() { s.counting = false })
	s.run(ctx, simDeadline+simServiceTime)
}

// checkServed checks that hardly any first attempt failed, at partitioned entries and at others.
func (s *partitionSim) checkServed() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.served[true] + s.failed[true] + s.served[false] + s.failed[false]
	s.t.Logf("partitioned entries served %d and failed %d, others served %d and failed %d; %d connections checked paths",
		s.served[true], s.failed[true], s.served[false], s.failed[false], s.checks)
	is := is.New(s.t)
	is.True(total > 800)
	is.True(s.failed[true] <= 10+total/50)
	is.True(s.failed[false] <= total/50)
}

// request looks up the entries for a random failure domain and sends a request to one of them.
func (s *partitionSim) request(ctx context.Context) {
	asked := s.entries[s.order[s.intN(len(s.order))]]
	location, ok := asked.Locate(shardHost, string(simDomain(s.intN(partitionDomains))))
	if !ok {
		return
	}
	address := location.Addresses[s.intN(len(location.Addresses))]
	i := slices.IndexFunc(s.order, func(id fleet.EntryID) bool { return s.entries[id].Settings.CallerAddress == address })
	at := s.entries[s.order[i]]
	s.mu.Lock()
	counting, cut, objective := s.counting, s.cut[at.Settings.ID], s.objective
	s.mu.Unlock()
	key := at.pickCell(at.tables.current(), []table.PoolName{"bescheid-info", "mengen-buch"}[s.intN(2)])
	if owner, ok := at.owner(key); ok {
		at = s.entries[owner.ID]
	}
	ctx, cancel := context.WithTimeout(ctx, simDeadline)
	defer cancel()
	sentAt := time.Now()
	served := s.place(ctx, at, key, 1) && (objective == 0 || time.Since(sentAt) <= objective)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !counting {
		return
	}
	if served {
		s.served[cut]++
	} else {
		s.failed[cut]++
	}
}

// place runs an idempotent request in a cell and reports whether it was served in time.
func (s *partitionSim) place(ctx context.Context, at *Entry, key fleet.CellKey, hops int) bool {
	cell, ok := at.cells.getOrCreate(key)
	if !ok {
		return false
	}
	deadline, _ := ctx.Deadline()
	id, decisions, ok := cell.submit(pool.Request{
		Idempotent: true, Replayable: true, Deadline: at.now() + pool.Time(time.Until(deadline)),
	})
	for ok {
		select {
		case <-ctx.Done():
			cell.cancel(id, decisions)
			return false
		case d := <-decisions:
			if d.Kind == pool.DecisionRefuse && d.Reason == pool.ReasonNotOwner {
				owner, _ := at.owner(key)
				time.Sleep(simNetworkDelay)
				// As placeOrPassOn does.
				return owner.ID != at.Settings.ID && hops < maxHops && s.place(ctx, s.entries[owner.ID], key, hops+1)
			}
			if d.Kind != pool.DecisionRun {
				return false
			}
			o := s.attempt(ctx, at, cell, d.Target)
			cell.finish(id, d.Target, o)
			if o.Kind == pool.OutcomeSuccess {
				return true
			}
		}
	}
	return false
}

// attempt is one attempt at a target.
func (s *partitionSim) attempt(ctx context.Context, at *Entry, cell *cellRunner, id table.TargetID) pool.Outcome {
	started := time.Now()
	address := cell.target(id).Address
	s.mu.Lock()
	open := s.openWorks && strings.HasSuffix(string(id), "1")
	s.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, simDialTimeout)
	defer cancel()
	if err := s.dial(dialCtx, at.Settings.ID, address); err != nil && !open {
		kind := pool.OutcomeConnectFailed
		if ctx.Err() != nil {
			kind = pool.OutcomeTimeout
		}
		return pool.Outcome{Kind: kind, ServiceTime: time.Since(started)}
	}
	select {
	case <-time.After(simServiceTime):
	case <-ctx.Done():
		return pool.Outcome{Kind: pool.OutcomeTimeout, Written: true, ServiceTime: time.Since(started)}
	}
	s.mu.Lock()
	cut, cutError := s.cut[at.Settings.ID] && !open, s.cutError
	s.mu.Unlock()
	switch {
	case !cut:
		return pool.Outcome{Kind: pool.OutcomeSuccess, Written: true, ServiceTime: simServiceTime}
	case errors.Is(cutError, os.ErrDeadlineExceeded):
		<-ctx.Done()
		return pool.Outcome{Kind: pool.OutcomeTimeout, Written: true, ServiceTime: time.Since(started)}
	}
	return pool.Outcome{Kind: pool.OutcomeConnectionLost, Written: true, ServiceTime: simServiceTime}
}

// Guards against callers of entries that are partitioned from all targets, while other entries reach them: once 40 of 63
// first attempts were served there and 494 of 513 at the others. From three seconds after the partition began, requests
// must go to entries that reach the targets, however many of the entries that rank next are partitioned too and however
// connections fail.
func TestEntriesPartitionedFromTargets(t *testing.T) {
	for _, c := range []struct {
		name           string
		targetsPerPool int
		byDomain       bool
		cut            func(i int, candidates []fleet.EntryID) bool
		cutError       error
		openWorks      bool
	}{
		{"the owner", 30, false, firstCandidates(1), os.ErrDeadlineExceeded, false},
		{"the owner and the three next", 30, false, firstCandidates(4), os.ErrDeadlineExceeded, false},
		{"all of a failure domain", 60, true, inFirstDomain, os.ErrDeadlineExceeded, false},
		{"the owner refused", 30, false, firstCandidates(1), errSimRefused, false},
		{"the owner open connections live on", 30, false, firstCandidates(1), errSimRefused, true},
		{"all of a failure domain refused", 60, true, inFirstDomain, errSimRefused, false},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			startMeters()
			synctest.Test(t, func(t *testing.T) {
				s := newPartitionSim(t, c.targetsPerPool, c.byDomain)
				ctx, cancel := context.WithCancel(t.Context())
				defer s.close(cancel)
				s.start(ctx)
				s.run(ctx, 12*time.Second)
				candidates := s.candidates()
				s.set(func() {
					for i, id := range s.order {
						s.cut[id] = c.cut(i, candidates)
					}
					s.cutError, s.openWorks = c.cutError, c.openWorks
				})
				s.run(ctx, 3*time.Second)
				s.measure(ctx, 9*time.Second)
				s.checkServed()
			})
		})
	}
}

// Guards against an entry that becomes an owner while it is partitioned from all targets, unnoticed since nothing has been
// sent there. It must not take a second of lost requests to find out.
func TestPartitionedEntryBecomesOwner(t *testing.T) {
	for _, cutError := range []error{os.ErrDeadlineExceeded, errSimRefused} {
		t.Run(strings.ReplaceAll(cutError.Error(), " ", "_"), func(t *testing.T) {
			startMeters()
			synctest.Test(t, func(t *testing.T) {
				s := newPartitionSim(t, 30, false)
				ctx, cancel := context.WithCancel(t.Context())
				defer s.close(cancel)
				s.start(ctx)
				s.run(ctx, 12*time.Second)
				owner, next := s.candidates()[0], s.candidates()[1]
				s.set(func() { s.cut[next], s.cutError = true, cutError })
				s.run(ctx, 3*time.Second)
				s.entries[owner].setState(fleet.StateLeaving)
				s.measure(ctx, 9*time.Second)
				s.checkServed()
			})
		})
	}
}

// Guards against owners that change because targets are at fault: no entry reaches them, so a handover helps nobody.
func TestCrashedTargetsMoveNoOwner(t *testing.T) {
	startMeters()
	synctest.Test(t, func(t *testing.T) {
		s := newPartitionSim(t, 30, false)
		ctx, cancel := context.WithCancel(t.Context())
		defer s.close(cancel)
		s.start(ctx)
		s.run(ctx, 12*time.Second)
		owner := s.candidates()[0]
		s.set(func() {
			for j := range 15 {
				s.down[fmt.Sprintf("127.0.1.%d:80", j+1)] = true
			}
		})
		for range 30 {
			s.run(ctx, 200*time.Millisecond)
			if s.candidates()[0] != owner {
				t.Fatalf("%s owns the cells instead of %s", s.candidates()[0], owner)
			}
		}
	})
}

// startMeters starts the goroutine that all meters share outside of a synctest bubble, which would wait for it.
func startMeters() { metrics.NewMeter().Stop() }

func firstCandidates(n int) func(int, []fleet.EntryID) bool {
	return func(i int, candidates []fleet.EntryID) bool { return slices.Contains(candidates[:n], simEntryID(i)) }
}

func inFirstDomain(i int, _ []fleet.EntryID) bool { return simDomain(i) == simDomain(0) }

// start runs the ticks of all entries.
func (s *partitionSim) start(ctx context.Context) {
	for _, id := range s.order {
		go runEvery(ctx, tickInterval, s.entries[id].tick)
	}
}

func (s *partitionSim) close(cancel context.CancelFunc) {
	cancel()
	for _, e := range s.entries {
		e.cells.close()
		_ = e.targetClient.Close()
		e.background.Wait()
	}
}

// candidates returns the entries that can own the first cell, by rank, as its owner sees them.
func (s *partitionSim) candidates() []fleet.EntryID {
	key := fleet.CellKey{Pool: "mengen-buch"}
	owner, _ := s.entries[s.order[0]].owner(key)
	var ids []fleet.EntryID
	for _, m := range s.entries[owner.ID].fleet.view().Candidates(key) {
		ids = append(ids, m.ID)
	}
	return ids
}

// Guards against targets that are taken for faulty because paths to them were broken: a degraded owner made 17 targets
// suspect, which the next owner inherited, and a quarter of the requests was refused or failed after the first one had
// come back.
func TestBrokenPathsMakeNoTargetSuspect(t *testing.T) {
	for _, cutError := range []error{os.ErrDeadlineExceeded, errSimRefused} {
		t.Run(strings.ReplaceAll(cutError.Error(), " ", "_"), func(t *testing.T) {
			startMeters()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newPartitionSim(t, 30, false)
				ctx, cancel := context.WithCancel(t.Context())
				defer s.close(cancel)
				s.start(ctx)
				s.run(ctx, 12*time.Second)
				first := s.candidates()[0]
				s.set(func() { s.cut[first], s.cutError = true, cutError })
				s.run(ctx, 2500*time.Millisecond)
				second := s.candidates()[0]
				is.True(second != first)
				is.Equal(s.outOfService(second), 0)
				s.run(ctx, 9500*time.Millisecond)
				s.set(func() { clear(s.cut) })
				for i := 0; s.candidates()[0] != first; i++ {
					is.True(i < 50)
					s.run(ctx, 100*time.Millisecond)
				}
				is.Equal(s.outOfService(first), 0)
				s.set(func() { s.objective = 2 * simServiceTime })
				s.measure(ctx, 3*time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				t.Logf("after the return: %d in time, %d late or failed", s.served[false], s.failed[false])
				is.Equal(s.failed[false], 0)
			})
		})
	}
}

// outOfService returns how many targets the cells of an entry suspect or can't reach.
func (s *partitionSim) outOfService(id fleet.EntryID) int {
	n := 0
	for _, c := range s.entries[id].cells.list() {
		c.withCell(func(_ pool.Time, cell *pool.Cell) { n += len(cell.EjectedTargets()) })
	}
	return n
}
