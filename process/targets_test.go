//go:build process

package process

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/standin"
)

// tickAllowance is added to bounds that hold in virtual time: two ticks of the cell, scheduling delays
// on a busy machine, and the polling of the status.
const tickAllowance = 300 * time.Millisecond

// newLoadedHarness returns a harness with callers, in which the owner of the pool is its exclusive
// owner.
func newLoadedHarness(t *testing.T, o options, callers int, name string) (*testHarness, *traffic, fleet.EntryID) {
	t.Helper()
	h := newHarness(t, o)
	traffic := h.startCallers(callers, h.fleetList)
	owner := h.ownerSeenBy(h.fleetList[0].ID, name)
	h.await("the owner is the exclusive owner", func() bool {
		c, ok := h.cellStatus(owner, name)
		return ok && c.Ownership == "sole"
	})
	return h, traffic, owner
}

// targetState returns the state of a target at an entry, or "" if the entry does not know it.
func (h *testHarness) targetState(id fleet.EntryID, name, targetID string) pool.TargetState {
	c, _ := h.cellStatus(id, name)
	for _, t := range c.Report.Targets {
		if string(t.ID) == targetID {
			return t.State
		}
	}
	return ""
}

// outOfUse reports whether a target gets no ordinary work while others have free slots.
func (h *testHarness) outOfUse(id fleet.EntryID, name, targetID string) bool {
	s := h.targetState(id, name, targetID)
	return s == pool.TargetAvoided || s == pool.TargetEjected
}

// Guards against a gray failure: a target that keeps getting work because its probes pass, although
// its requests fail or are slow.
func TestGrayTarget(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault standin.TargetFault
		limit time.Duration
	}{
		{"failsAll", standin.TargetFault{FailAll: true, ForcedProbe: "ok"}, 3 * time.Second},
		{"straggler", standin.TargetFault{SlowFactor: 8, ForcedProbe: "ok"}, 6 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			h, traffic, owner := newLoadedHarness(t, options{entryCount: 2}, 12, lookups)
			traffic.awaitRequests(300)
			gray := h.targets[lookups][0]
			h.check(gray.SetFault(row.fault))
			took := h.within(row.limit+tickAllowance, "the gray target is out of use", func() bool { return h.outOfUse(owner, lookups, gray.ID) })
			before := len(gray.Record("").Runs)
			traffic.awaitRequests(400)
			after := len(gray.Record("").Runs) - before
			t.Logf("out of use after %v; then %d of 200 lookups ran on it", took, after)
			is.True(after <= 10) // trials and attempts already in flight; an even share would be 33
			traffic.stopAndCheck()
		})
	}
}

// floorMonitor polls all entries for ejected targets of a pool and checks the floor.
type floorMonitor struct {
	harness    *testHarness
	pool       string
	maxEjected int
	polls      int
}

// poll checks invariant I1 once: the targets that any entry ejects must together leave the floor.
func (m *floorMonitor) poll() {
	var union sync.Map
	var done sync.WaitGroup
	for _, row := range m.harness.fleetList {
		done.Go(func() {
			c, _ := m.harness.cellStatus(row.ID, m.pool)
			for _, t := range c.Report.Targets {
				if t.State == pool.TargetEjected {
					union.Store(t.ID, true)
				}
			}
		})
	}
	done.Wait()
	n := 0
	union.Range(func(_, _ any) bool { n++; return true })
	m.polls++
	m.maxEjected = max(m.maxEjected, n)
	size := len(m.harness.targets[m.pool])
	floor := size * 2 / 3
	m.harness.checkInvariant(size-n >= floor, "I1", "%d of %d targets are ejected; the floor is %d", n, size, floor)
}

// Guards against ejections below the floor while the fleet is partitioned and each side sees
// different targets fail, and while all targets of a pool fail.
func TestFloorUnderSplit(t *testing.T) { testInvariant(t, floorUnderSplit, "I1", "alwaysSole") }

func floorUnderSplit(t *testing.T, disabledRules string) *testHarness {
	h := newHarness(t, options{entryCount: 2, disabledRules: disabledRules})
	monitor := &floorMonitor{harness: h, pool: lookups}
	a := h.fleetRow(h.ownerSeenBy(h.fleetList[0].ID, lookups))
	b := h.fleetRow(otherThan(h.fleetList[0].ID, a.ID, h))
	h.network.partition([]fleet.EntryID{a.ID}, []fleet.EntryID{b.ID})
	h.await("both entries own the pool", func() bool { return h.ownerSeenBy(a.ID, lookups) == a.ID && h.ownerSeenBy(b.ID, lookups) == b.ID })
	// Each side has callers only while its targets fail. Without callers there are no trials, so the
	// entry keeps its evidence against a target.
	h.failTargets(lookups, 0, 1)
	monitor.pollDuring(h.startCallers(8, []configuration.FleetRow{a}), 300)
	h.failTargets(lookups, 2, 3)
	monitor.pollDuring(h.startCallers(8, []configuration.FleetRow{b}), 300)
	t.Logf("split: at most %d ejected", monitor.maxEjected)
	h.failTargets(lookups)
	h.network.restore()
	h.await("the owner is the exclusive owner again", func() bool { monitor.poll(); c, _ := h.cellStatus(a.ID, lookups); return c.Ownership == "sole" })
	monitor.pollDuring(h.startCallers(8, h.fleetList), 400)
	h.failTargets(lookups, 4, 5)
	monitor.pollDuring(h.startCallers(8, h.fleetList), 300)
	h.failTargets(lookups, 0, 1, 2, 3, 4, 5)
	monitor.pollDuring(h.startCallers(8, h.fleetList), 300)
	t.Logf("%d polls, at most %d ejected", monitor.polls, monitor.maxEjected)
	h.checkInvariant(monitor.maxEjected > 0, "test", "no target was ejected at all")
	return h
}

// pollDuring polls until the callers have completed n requests, and then stops them.
func (m *floorMonitor) pollDuring(tr *traffic, n int) {
	m.harness.t.Helper()
	m.harness.await("requests while polling the floor", func() bool { m.poll(); return tr.completedRequests() >= n })
	tr.stopAndCheck()
}

// failTargets makes exactly the targets with the given indexes fail all requests.
func (h *testHarness) failTargets(name string, indexes ...int) {
	h.t.Helper()
	for i, target := range h.targets[name] {
		h.check(target.SetFault(standin.TargetFault{FailAll: slices.Contains(indexes, i)}))
	}
}

// Guards against a poison request, which crashes each target that runs it and would take the pool down
// because its caller retries it.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	h, traffic, _ := newLoadedHarness(t, options{entryCount: 2}, 4, lookups)
	poison := "/" + lookups + "/poison"
	for _, target := range h.targets[lookups] {
		h.check(target.SetFault(standin.TargetFault{CrashOnPath: poison, RestartMs: 500}))
	}
	c := &caller.Caller{MaxAttempts: 3, Entries: []string{h.fleetList[0].CallerAddress, h.fleetList[1].CallerAddress}}
	defer func() { _ = c.Close() }()
	refused := 0
	for range 15 {
		res := traffic.sendPath(c, lookups, poison+"?", "poison", 64)
		if res.outcome == caller.OutcomeNotRun {
			refused++
		}
	}
	traffic.awaitRequests(50)
	crashed := 0
	for _, target := range h.targets[lookups] {
		for _, run := range target.Record("").Runs {
			if strings.HasPrefix(run.Path, poison) {
				crashed++
				break
			}
		}
	}
	t.Logf("%d targets crashed; %d of 15 requests were refused", crashed, refused)
	is.True(crashed >= 1) // the poison request has run
	is.True(crashed <= 2)
	is.True(refused > 0)
	traffic.stopAndCheck()
}

// Guards against ejecting a target whose old connections are silent (half-open) while new ones work.
func TestSilentConnections(t *testing.T) {
	h, traffic, owner := newLoadedHarness(t, options{entryCount: 2}, 12, lookups)
	traffic.awaitRequests(200)
	silent := h.targets[lookups][0]
	h.check(silent.SetFault(standin.TargetFault{SilentConnections: true}))
	until := traffic.completedRequests() + 500
	h.await("500 requests", func() bool {
		h.checkInvariant(h.targetState(owner, lookups, silent.ID) != pool.TargetEjected, "silent", "the target was ejected")
		return traffic.completedRequests() >= until
	})
	traffic.stopAndCheck()
	for _, r := range traffic.results {
		h.checkInvariant(r.route != lookups || r.outcome == caller.OutcomeRun && r.status == http.StatusOK, "silent", "a lookup failed: %+v", r)
	}
}

// Guards against accepting responses of other requests, or truncated responses. Some targets repeat
// each response later, others truncate theirs.
func TestLateAndTruncatedAnswers(t *testing.T) {
	testInvariant(t, lateAndTruncated, "I2", "passTruncated")
}

func lateAndTruncated(t *testing.T, disabledRules string) *testHarness {
	h := newHarness(t, options{entryCount: 2, disabledRules: disabledRules})
	for _, name := range []string{lookups, notices} {
		for i, target := range h.targets[name] {
			h.check(target.SetFault(standin.TargetFault{LateResponses: i%2 == 0, LateMs: 20, Truncate: i == 1}))
		}
	}
	traffic := h.startCallers(8, h.fleetList)
	traffic.awaitRequests(500)
	counts := traffic.stopAndCheck()
	h.checkInvariant(counts.run > 300, "test", "%d requests have run", counts.run)
	return h
}

// Guards against more requests at a target than its slots, and against wrong refusals under overload.
func TestSlotsUnderOverload(t *testing.T) {
	is := is.New(t)
	h, traffic, _ := newLoadedHarness(t, options{entryCount: 2, serviceTime: 60 * time.Millisecond, targetSlots: 64}, 80, notices)
	traffic.awaitRequests(1500)
	counts := traffic.stopAndCheck()
	is.True(counts.run > 1000)
	busy := 0
	for _, name := range []string{lookups, notices} {
		for _, target := range h.targets[name] {
			r := target.Record("")
			h.checkInvariant(r.PeakConcurrency <= 4, "slots", "target %s ran %d requests at once", target.ID, r.PeakConcurrency)
			if r.PeakConcurrency == 4 {
				busy++
			}
		}
	}
	t.Logf("%d of 12 targets had all slots in use; %d refused", busy, counts.notRun)
	is.True(busy > 0) // the load was enough to reach the limit
}

// Guards against a combination of faults: the platform is down, and the owner is killed.
func TestPlatformDownAndOwnerKilled(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, options{entryCount: 3})
	traffic := h.startCallers(8, h.fleetList)
	traffic.awaitRequests(100)
	current := h.status(h.fleetList[0].ID).Revision
	h.check(h.platform.SetFault(standin.PlatformFault{Mode: standin.PlatformRefused}))
	owner := h.ownerSeenBy(h.fleetList[0].ID, notices)
	h.kill(owner)
	traffic.awaitRequests(100)
	h.start(owner)
	h.awaitState(owner, "serving")
	is.Equal(h.status(owner).Revision, current) // from peers
	traffic.awaitRequests(100)
	counts := traffic.stopAndCheck()
	is.True(counts.run > 250)
}

// Guards against a combination of faults: a one-way broken path, by which the ownership becomes
// contested, and a target with a gray failure, which the owner must avoid nevertheless.
func TestOneWayCutAndGrayTarget(t *testing.T) {
	is := is.New(t)
	h, traffic, owner := newLoadedHarness(t, options{entryCount: 3}, 12, lookups)
	other := otherThan(h.fleetList[0].ID, owner, h)
	h.network.block(other, owner)
	monitor := &floorMonitor{harness: h, pool: lookups}
	h.await("the owner is contested", func() bool { c, _ := h.cellStatus(owner, lookups); return c.Ownership == "contested" })
	gray := h.targets[lookups][1]
	h.check(gray.SetFault(standin.TargetFault{FailAll: true, ForcedProbe: "ok"}))
	limit := 3*time.Second + tickAllowance
	took := h.within(limit, "the gray target is out of use", func() bool { monitor.poll(); return h.outOfUse(owner, lookups, gray.ID) })
	t.Logf("out of use after %v", took)
	traffic.awaitRequests(200)
	is.Equal(h.targetState(owner, lookups, gray.ID), pool.TargetAvoided) // a contested owner ejects no targets
	traffic.stopAndCheck()
}
