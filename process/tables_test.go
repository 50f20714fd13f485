//go:build process

package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// activeEverywhere reports whether the revision is active at all running entries.
func (h *testHarness) activeEverywhere(r table.Revision) bool {
	for id := range h.entries {
		if h.status(id).Revision != r {
			return false
		}
	}
	return true
}

// propagationLimit is the bound of invariant I7 for 44 entries.
const propagationLimit = 5 * time.Second

// Guards against a change that is not active everywhere in time, with as many entries as an operator
// runs.
func TestChangeInForceAt44Entries(t *testing.T) {
	h := newHarness(t, options{entryCount: 44})
	for range 3 {
		h.routes.Routes[0].TimeoutMs++
		r := h.publish()
		took := h.within(propagationLimit, fmt.Sprintf("revision %d is active at 44 entries", r), func() bool { return h.activeEverywhere(r) })
		t.Logf("active at 44 entries after %v", took)
	}
	t.Logf("platform operations: %+v", h.platform.Operations())
}

// Guards against tables that go back to an earlier revision. The platform goes down and comes back
// with stale reads, and entries are replaced meanwhile.
func TestPlatformDownAndStale(t *testing.T) {
	testInvariant(t, platformDownAndStale, "I7", "platformFirst")
}

func platformDownAndStale(t *testing.T, disabledRules string) *testHarness {
	is := is.New(t)
	h := newHarness(t, options{entryCount: 3, disabledRules: disabledRules})
	traffic := h.startCallers(4, h.fleetList)
	previous := h.platform.CurrentRevision()
	h.routes.Routes[0].TimeoutMs++
	current := h.publish()
	h.within(propagationLimit, "the change is active", func() bool { return h.activeEverywhere(current) })
	h.check(h.platform.SetFault(standin.PlatformFault{Mode: standin.PlatformRefused}))
	traffic.awaitRequests(50)
	h.replace(h.fleetList[0].ID)
	h.await("the replaced entry has the pair of its peers", func() bool { return h.status(h.fleetList[0].ID).Revision == current })
	h.check(h.platform.SetFault(standin.PlatformFault{
		Mode: standin.PlatformUp, StaleReads: standin.PlatformStaleReads{Revision: previous, Every: 1},
	}))
	before := len(h.acceptedRevisions(h.fleetList[1].ID))
	h.replace(h.fleetList[1].ID)
	traffic.awaitRequests(50)
	for _, r := range h.acceptedRevisions(h.fleetList[1].ID)[before:] {
		h.checkInvariant(r >= current, "I7", "revision %d was active at the replaced entry after %d was active everywhere", r, current)
	}
	h.await("a stale platform does not bring back the previous pair", func() bool { return h.activeEverywhere(current) })
	h.check(h.platform.SetFault(standin.PlatformFault{Mode: standin.PlatformUp}))
	h.routes.Routes[0].TimeoutMs++
	next := h.publish()
	h.within(propagationLimit, "the next change is active", func() bool { return h.activeEverywhere(next) })
	counts := traffic.stopAndCheck()
	is.True(counts.run > 100)
	return h
}

// acceptedRevisions returns the revisions that were active at an entry, from its log.
func (h *testHarness) acceptedRevisions(id fleet.EntryID) []table.Revision {
	h.t.Helper()
	raw, err := os.ReadFile(h.logPath(id))
	h.check(err)
	var all []table.Revision
	for line := range bytes.Lines(raw) {
		var e struct {
			Event    string
			Revision table.Revision `json:",string"`
		}
		// The last line may be incomplete.
		if json.Unmarshal(line, &e) == nil && e.Event == "tablesAccepted" {
			all = append(all, e.Revision)
		}
	}
	return all
}

// replace kills an entry and starts a new process with the same ID, as when a VM is replaced.
func (h *testHarness) replace(id fleet.EntryID) {
	h.t.Helper()
	h.kill(id)
	h.start(id)
	h.awaitState(id, "serving")
}

// Guards against accepted pairs of tables that were never published together. Two operators edit the
// two tables concurrently, and some of the intermediate pairs are invalid.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, options{entryCount: 3})
	good := h.status(h.fleetList[0].ID).Revision
	pools := h.pools
	pools.Pools = append([]table.Pool(nil), h.pools.Pools[1:]...)
	_, err := h.platform.Put(table.PoolsKey, h.marshal(pools)) // the route to the pool still exists
	h.check(err)
	h.await("the status shows the rejection of the invalid pair", func() bool {
		s := h.status(h.fleetList[0].ID)
		return len(s.Rejections) > 0 && s.Revision == good
	})
	problems := h.status(h.fleetList[0].ID).Rejections[0].Problems
	is.True(len(problems) > 0)
	is.True(problems[0].Line > 0) // the operator sees the position
	var last table.Revision
	for i := range 20 {
		h.routes.Routes[0].TimeoutMs = table.Millis(10_000 + i)
		_, err := h.platform.Put(table.RoutesKey, h.marshal(h.routes))
		h.check(err)
		h.pools.Pools[0].Floor = 3 + i%2
		last, err = h.platform.Put(table.PoolsKey, h.marshal(h.pools))
		h.check(err)
	}
	h.within(propagationLimit, "all entries have the last pair", func() bool { return h.activeEverywhere(last) })
	var digest uint64
	for id := range h.entries {
		s := h.status(id)
		is.True(digest == 0 || digest == s.Digest) // the same pair at all entries
		digest = s.Digest
	}
}

// drainLimit is the bound of invariant I5.
const drainLimit = 3 * time.Second

// latestStart returns when the latest request of a target started, or the zero time if it has had
// none.
func latestStart(t *standin.Target) time.Time {
	runs := t.Record("").Runs
	if len(runs) == 0 {
		return time.Time{}
	}
	return time.Unix(0, runs[len(runs)-1].StartNs)
}

// Guards against new work for a target that is leaving. The target leaves by the table, by its own
// signal, or by its signal while the platform is down.
func TestLeavingTarget(t *testing.T) {
	for _, how := range []string{"table", "signalPlatformDown"} {
		t.Run(how, func(t *testing.T) { leavingTarget(t, how, "") })
	}
	testInvariant(t, func(t *testing.T, disabledRules string) *testHarness {
		return leavingTarget(t, "signal", disabledRules)
	}, "I5", "ignoreDrain")
}

func leavingTarget(t *testing.T, how, disabledRules string) *testHarness {
	is := is.New(t)
	h := newHarness(t, options{entryCount: 3, disabledRules: disabledRules})
	traffic := h.startCallers(8, h.fleetList)
	traffic.awaitRequests(200)
	leaving := h.targets[notices][0]
	is.True(!latestStart(leaving).IsZero()) // the target has had work
	switch how {
	case "table":
		h.pools.Pools[1].Targets[0].Leaving = true
		h.publish()
	case "signalPlatformDown":
		h.check(h.platform.SetFault(standin.PlatformFault{Mode: standin.PlatformRefused}))
		h.check(leaving.SetFault(standin.TargetFault{Drain: true}))
	case "signal":
		h.check(leaving.SetFault(standin.TargetFault{Drain: true}))
	}
	limit := time.Now().Add(drainLimit)
	h.await("the limit has passed", func() bool { return time.Now().After(limit) })
	traffic.awaitRequests(200)
	counts := traffic.stopAndCheck()
	late := latestStart(leaving)
	h.checkInvariant(!late.After(limit), "I5", "new work %v after the limit", late.Sub(limit))
	h.checkInvariant(counts.unknown == 0, "I5", "%d requests were aborted", counts.unknown)
	return h
}

// Guards against malformed tables that are accepted.
func TestBrokenTables(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, options{entryCount: 2})
	good := h.status(h.fleetList[0].ID).Revision
	for _, raw := range []string{`{`, `{"routes": [{"nam": "x"}]}`, `null`, `[]`} {
		_, err := h.platform.Put(table.RoutesKey, []byte(raw))
		h.check(err)
	}
	h.await("the malformed tables are rejected", func() bool {
		return len(h.status(h.fleetList[0].ID).Rejections) > 0
	})
	is.True(h.activeEverywhere(good))
	raw, err := json.Marshal(h.status(h.fleetList[0].ID).Rejections)
	h.check(err)
	t.Logf("shown to operators: %.400s", raw)
}
