package configuration_test

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// TestMain fixes rapid's seed, unless one is given, to make runs repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// acceptor is the acceptor of a node. The faulty variants break one rule each.
type acceptor interface {
	Offer(now time.Time, source string, s table.Snapshot) table.OfferResult
	Active() (*table.Pair, time.Time)
}

// variant says how the nodes of a cluster are built.
type variant struct {
	newAcceptor func(c *cluster) acceptor
	// alwaysConfirm forges the second index of a read so that it always confirms the values read.
	alwaysConfirm bool
}

// node is the part of an entry that reads and accepts tables.
type node struct {
	acceptor
	watcher *configuration.Watcher
	// highest is the highest revision that was active.
	highest table.Revision
}

// cluster is a platform with its history, and nodes that read from it and from each other.
type cluster struct {
	variant
	t       *rapid.T
	service *standin.Platform
	handler http.Handler
	// digests holds the digest of the tables at each valid revision, and putRevisions the revision at
	// which each content was put.
	digests      map[table.Revision]uint64
	putRevisions map[string]table.Revision
	current      map[string][]byte
	nodes        []*node
	// inFlight holds pairs that a peer sent. They may still arrive, in any order and more than once.
	inFlight []table.Snapshot
	// faultsDisabled disables stale responses and changes during reads.
	faultsDisabled bool
	// served holds the versions of the values served since the last first index. forgeSecondIndex uses
	// it.
	served map[string]string
}

const clusterNodes = 3

func newCluster(t *rapid.T, v variant) *cluster {
	c := &cluster{
		variant: v, t: t, service: &standin.Platform{},
		digests: make(map[table.Revision]uint64), putRevisions: make(map[string]table.Revision), current: make(map[string][]byte),
	}
	c.handler = c.service.Handler()
	for range clusterNodes {
		c.nodes = append(c.nodes, c.newNode())
	}
	return c
}

func (c *cluster) newNode() *node {
	n := &node{acceptor: c.newAcceptor(c)}
	n.watcher = &configuration.Watcher{
		Client:     &configuration.Client{URL: "http://platform", HTTP: &http.Client{Transport: c}},
		OnSnapshot: func(s table.Snapshot) { n.Offer(time.Time{}, "platform", s) },
	}
	return n
}

// edit puts one table or both. A route may refer to a pool that does not exist.
func (c *cluster) edit(t *rapid.T) {
	next := c.service.CurrentRevision() + 1
	changed := make(map[string][]byte)
	which := rapid.IntRange(1, 3).Draw(t, "tables")
	pool := rapid.IntRange(0, 1).Draw(t, "pool")
	if which&1 != 0 {
		changed[table.RoutesKey] = fmt.Appendf(nil,
			`{"routes": [{"name": "r%d", "pathPrefix": "/r", "pool": "p%d", "timeoutMs": 1, "maxBodyBytes": 0}]}`, next, pool)
	}
	if which&2 != 0 {
		changed[table.PoolsKey] = fmt.Appendf(nil, `{"fleetGroups": %d, "pools": [{"name": "p%d", "floor": 0, "slots": 1,
			"maxConnections": 1, "policy": {"falseEjectionEveryHours": 1}, "targets": []}]}`, next, pool)
	}
	maps.Copy(c.current, changed)
	if _, err := c.service.PutAll(changed); err != nil {
		t.Fatal(err)
	}
	for _, raw := range changed {
		c.putRevisions[string(raw)] = next
	}
	if pair, err := table.NewPair(next, maps.Clone(c.current)); err == nil {
		c.digests[next] = pair.Digest
	}
}

// RoundTrip serves a call of a node, possibly after a change and from a stale replica.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	fault := standin.PlatformFault{}
	if !c.faultsDisabled {
		if rapid.IntRange(0, 4).Draw(c.t, "change during the read") == 0 {
			c.edit(c.t)
		}
		if rapid.IntRange(0, 3).Draw(c.t, "stale replica") == 0 {
			fault.StaleReads.Every = 1
			fault.StaleReads.Revision = table.Revision(rapid.Uint64Range(0, uint64(c.service.CurrentRevision())).Draw(c.t, "revision"))
		}
	}
	if err := c.service.SetFault(fault); err != nil {
		return nil, err
	}
	response, err := inProcess{c.service, c.handler}.RoundTrip(r)
	if err == nil && c.alwaysConfirm {
		err = c.forgeSecondIndex(r, response)
	}
	return response, err
}

func (c *cluster) read(t *rapid.T) {
	c.t = t
	c.served = nil
	n := c.drawNode(t, "node")
	_ = n.watcher.PollOnce(t.Context()) // Reads fail if the tables change too often.
}

func (c *cluster) drawNode(t *rapid.T, label string) *node {
	return c.nodes[rapid.IntRange(0, clusterNodes-1).Draw(t, label)]
}

// fetchFromPeer lets a node fetch the pair of a peer that has a higher revision.
func (c *cluster) fetchFromPeer(t *rapid.T) { fetch(c.drawNode(t, "to"), c.drawNode(t, "from")) }

// send makes a copy of a node's pair that is in flight. deliver offers one to a node.
func (c *cluster) send(t *rapid.T) {
	if pair, _ := c.drawNode(t, "from").Active(); pair != nil {
		c.inFlight = append(c.inFlight, table.Snapshot{Revision: pair.Revision, Values: pair.Values})
	}
}

func (c *cluster) deliver(t *rapid.T) {
	if len(c.inFlight) > 0 {
		c.drawNode(t, "to").Offer(time.Time{}, "peer", rapid.SampledFrom(c.inFlight).Draw(t, "pair"))
	}
}

func fetch(to, from *node) {
	theirs, _ := from.Active()
	ours, _ := to.Active()
	if theirs == nil || (ours != nil && ours.Revision >= theirs.Revision) {
		return
	}
	to.Offer(time.Time{}, "peer", table.Snapshot{Revision: theirs.Revision, Values: theirs.Values})
}

// restart replaces a node by a new one, which first fetches the pairs of some of its peers.
func (c *cluster) restart(t *rapid.T) {
	i := rapid.IntRange(0, clusterNodes-1).Draw(t, "node")
	c.nodes[i] = c.newNode()
	for j := range c.nodes {
		if rapid.Bool().Draw(t, "peer responds") {
			fetch(c.nodes[i], c.nodes[j])
		}
	}
}

// check runs after every step. No node may go back to a lower revision, and every active pair must have
// existed at its revision.
func (c *cluster) check(t *rapid.T) {
	for i, n := range c.nodes {
		pair, _ := n.Active()
		if pair == nil {
			continue
		}
		if pair.Revision < n.highest {
			t.Fatalf("node %d went back from revision %d to %d", i, n.highest, pair.Revision)
		}
		n.highest = pair.Revision
		if digest, ok := c.digests[pair.Revision]; !ok || digest != pair.Digest {
			t.Fatalf("node %d has an active pair that never existed at revision %d", i, pair.Revision)
		}
	}
}

// checkConverged disables the faults and checks that all nodes reach the same pair. It must be the
// newest one if that is valid.
func (c *cluster) checkConverged(t *rapid.T) {
	c.faultsDisabled = true
	reader := c.drawNode(t, "reader")
	for range 2 {
		_ = reader.watcher.PollOnce(t.Context())
		for _, to := range c.nodes {
			for _, from := range c.nodes {
				fetch(to, from)
			}
		}
	}
	c.check(t)
	first, _ := c.nodes[0].Active()
	for i, n := range c.nodes {
		pair, _ := n.Active()
		if (pair == nil) != (first == nil) || (pair != nil && (pair.Revision != first.Revision || pair.Digest != first.Digest)) {
			t.Fatalf("nodes 0 and %d have different pairs after the faults have ended", i)
		}
	}
	newest := c.service.CurrentRevision()
	if _, valid := c.digests[newest]; valid && (first == nil || first.Revision != newest) {
		t.Fatalf("the newest revision %d is valid, but not active", newest)
	}
}

// convergenceProperty returns a property that runs random steps on a cluster of the variant.
func convergenceProperty(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		c := newCluster(t, v)
		t.Repeat(map[string]func(*rapid.T){
			"edit": c.edit, "read": c.read, "exchange": c.fetchFromPeer, "send": c.send, "deliver": c.deliver,
			"replace": c.restart, "": c.check,
		})
		c.checkConverged(t)
	}
}

// Nodes that see any subset and order of revisions, stale responses and each other must reach the same
// pair. They must never go back to a lower revision, and never accept tables that did not exist at the
// same time.
func TestConvergence(t *testing.T) {
	rapid.Check(t, convergenceProperty(variant{newAcceptor: func(*cluster) acceptor { return &table.Acceptor{} }}))
}

// Each rule must be necessary: without it the property must fail.
func TestConvergenceNeedsRules(t *testing.T) {
	tests := []struct {
		name string
		variant
	}{
		{"lower revisions are ignored", variant{newAcceptor: func(*cluster) acceptor { return &anyRevision{} }}},
		{"tables are accepted together", variant{newAcceptor: func(c *cluster) acceptor { return &perTable{cluster: c} }}},
		{"the index is read again", variant{newAcceptor: func(*cluster) acceptor { return &table.Acceptor{} }, alwaysConfirm: true}},
	}
	_ = flag.Set("rapid.shrinktime", "0s") // The smallest failing example is not needed.
	defer func() { _ = flag.Set("rapid.shrinktime", "30s") }()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &failureRecorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(r, convergenceProperty(tt.variant))
			}()
			<-done
			if !r.failed {
				t.Fatal("the property holds without this rule")
			}
			t.Log(r.reason)
		})
	}
}

// failureRecorder records failures instead of reporting them.
type failureRecorder struct {
	testing.TB
	failed bool
	reason string
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) FailNow()              { r.failed = true; runtime.Goexit() }

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failed = true
	r.reason += fmt.Sprintf(format, args...)
}
