package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// maxAgreeTime is the time after the last fault within which all entries agree on members and owners: the
	// suspect timeout, two heartbeats in each direction, and the recovery of an entry that was paused.
	maxAgreeTime = 5 * time.Second
	// maxExclusiveTime is the time after the last fault within which there is one exclusive owner: the gone
	// timeout, the time that an entry which was never listed must be missing, and the handover delay.
	maxExclusiveTime = 45 * time.Second
)

// runScenario runs a drawn sequence of faults, then clears them, and returns what was violated.
func runScenario(random *rand.Rand, pick func(int) int) string {
	n := networkAfterFaults(random, pick, faults{})
	if n.violation != "" {
		return n.violation
	}
	n.clearFaults()
	n.run(maxAgreeTime)
	if problem := n.disagreement(false); problem != "" && n.violation == "" {
		return "entries do not agree: " + problem
	}
	n.run(maxExclusiveTime - maxAgreeTime)
	if problem := n.disagreement(true); problem != "" && n.violation == "" {
		return "group has not settled: " + problem
	}
	return n.violation
}

// networkAfterFaults returns a network after a drawn sequence of faults, or after the first violation.
func networkAfterFaults(random *rand.Rand, pick func(int) int, disabled faults) *network {
	n := newNetwork(random, 5+pick(3), disabled)
	for i := range n.entries {
		n.entries[i].listLag = time.Duration(pick(4)) * 5 * time.Second
		if i < 2 || pick(3) > 0 {
			n.start(i)
		}
	}
	n.run(time.Duration(pick(30)) * time.Second)
	if pick(2) == 0 {
		n.run(10 * time.Second)
		n.replaceEntry(pick, 0, 1)
	}
	for range 4 + pick(30) {
		if n.violation != "" {
			break
		}
		n.randomEvent(pick)
		if pick(3) > 0 {
			n.run(time.Duration(1+pick(160)) * simTick)
		}
	}
	return n
}

// Guards against two exclusive owners, ejections beyond the floor, a resumed entry that acts on old ownership,
// and views that do not converge, under loss, delay, broken paths, pauses, restarts and a lagging fleet list.
func TestMembershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if problem := runScenario(random, pick); problem != "" {
			t.Fatal(problem)
		}
	})
}

// searchWorkers is how many goroutines search for violations.
const searchWorkers = 4

// searchViolation runs scenarios with the seeds from 0 to limit-1 until one violates something, and returns
// what was violated.
func searchViolation(limit int, run func(*rand.Rand) string) string {
	var found atomic.Value
	var next atomic.Int64
	var tasks sync.WaitGroup
	for range searchWorkers {
		tasks.Go(func() {
			for found.Load() == nil {
				seed := next.Add(1) - 1
				if seed >= int64(limit) {
					return
				}
				if problem := run(rand.New(rand.NewPCG(uint64(seed), 2))); problem != "" {
					found.Store(fmt.Sprintf("seed %d: %s", seed, problem))
				}
			}
		})
	}
	tasks.Wait()
	problem, _ := found.Load().(string)
	return problem
}

// defaultScenarios is how many scenarios run unless FLEET_SCENARIOS sets another number.
const defaultScenarios = 300

// Guards against the same as TestMembershipUnderFaults, with uniformly drawn faults: rapid prefers small
// numbers, and some faults showed in only 1 of 2,000 scenarios.
func TestMembershipUnderUniformFaults(t *testing.T) {
	limit := defaultScenarios
	if n, err := strconv.Atoi(os.Getenv("FLEET_SCENARIOS")); err == nil {
		limit = n
	}
	problem := searchViolation(limit, func(r *rand.Rand) string { return runScenario(r, r.IntN) })
	if problem != "" {
		t.Fatal(problem)
	}
}

// maxSearchScenarios is the maximum number of scenarios in a search for a violation with a disabled rule.
const maxSearchScenarios = 6000

// Guards against checks that can't fail: each disabled rule must lead to a violation, which the tests above do
// not find with all rules enabled.
func TestDisabledRulesAreDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
	}{
		{"no handover delay", faults{noHandoverDelay: true}},
		{"relayed links count as direct", faults{relayedLinksCount: true}},
		{"absence from the fleet list counts as gone", faults{unlistedMeansGone: true}},
		{"a new owner ejects at once", faults{noSettleDelay: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			problem := searchViolation(maxSearchScenarios, func(r *rand.Rand) string {
				return networkAfterFaults(r, r.IntN, c.faults).violation
			})
			if problem == "" {
				t.Fatalf("no violation in %d scenarios", maxSearchScenarios)
			}
			t.Log(problem)
		})
	}
}
