//go:build process

package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// Names of the pools and their routes. They are those of Kiesbank, with fewer targets.
const (
	lookups = "bescheid-info"
	notices = "mengen-buch"
	uploads = "peilung-ablage"
)

// testHarness runs a platform, targets and entries on loopback. The entries are separate processes.
// The targets and the platform are stand-ins in the test process, so that the tests can read their
// records.
type testHarness struct {
	t          *testing.T
	dir        string
	platform   *standin.Platform
	targets    map[string][]*standin.Target
	routes     table.Routes
	pools      table.Pools
	fleetList  []configuration.FleetRow
	localFleet *standin.LocalFleet
	network    *faultyNetwork
	entries    map[fleet.EntryID]*process
	// disabledRules are the rules that are disabled in the entries; violations records what the checks
	// find then.
	disabledRules string
	violations    []string
}

// process is a running entry process.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// options configure a testHarness.
type options struct {
	entryCount     int
	modifySettings func(*settings.Entry)
	modifyPools    func(*table.Pools)
	serviceTime    time.Duration
	// disabledRules names the rules that are disabled in all entries; see entry/faults.go.
	disabledRules string
	// targetSlots is how many requests a target can run at once, if that is more than the slots in the
	// pools table.
	targetSlots int
	// noAutoStart leaves it to the test to start the entries.
	noAutoStart bool
}

func newHarness(t *testing.T, o options) *testHarness {
	t.Helper()
	h := &testHarness{
		t: t, dir: t.TempDir(), targets: map[string][]*standin.Target{},
		entries: map[fleet.EntryID]*process{}, network: newFaultyNetwork(t), disabledRules: o.disabledRules,
	}
	h.startTargets(o)
	if o.modifyPools != nil {
		o.modifyPools(&h.pools)
	}
	h.startPlatform()
	h.writeFleetList(o)
	for _, r := range h.fleetList {
		if !o.noAutoStart {
			h.start(r.ID)
		}
	}
	t.Cleanup(h.close)
	if !o.noAutoStart {
		for _, r := range h.fleetList {
			h.awaitState(r.ID, "serving")
		}
		h.await("all entries see each other", func() bool {
			for _, r := range h.fleetList {
				if h.servingMembers(r.ID) != len(h.fleetList) || h.ownerSeenBy(r.ID, lookups) == "" {
					return false
				}
			}
			return true
		})
		h.await("all entries see the same owners", h.ownersAgree)
	}
	return h
}

func (h *testHarness) startTargets(o options) {
	if o.serviceTime == 0 {
		o.serviceTime = 30 * time.Millisecond
	}
	h.pools.FleetGroups = 1
	for _, p := range []struct {
		name  string
		count int
	}{{lookups, 6}, {notices, 6}, {uploads, 4}} {
		row := table.Pool{
			Name: table.PoolName(p.name), Floor: p.count * 2 / 3, Slots: 4, MaxConnections: 400,
			ProbePath: "/health", LoadPath: "/load", Policy: table.Policy{FalseEjectionEveryHours: 8760},
		}
		for i := range p.count {
			target := &standin.Target{
				Listen: "127.0.0.1:0", ID: fmt.Sprintf("%s-%d", p.name, i), Slots: max(4, o.targetSlots), QueueLimit: 2,
				ServiceTime: o.serviceTime, ServiceTimeSigma: 0.3, Seed: uint64(i + 1),
			}
			h.check(target.Start())
			h.targets[p.name] = append(h.targets[p.name], target)
			row.Targets = append(row.Targets, table.Target{
				ID: table.TargetID(target.ID), Address: target.Address(), FailureDomain: domains[i%len(domains)],
			})
		}
		h.pools.Pools = append(h.pools.Pools, row)
		h.routes.Routes = append(h.routes.Routes, table.Route{
			Name: table.RouteName(p.name), PathPrefix: "/" + p.name, Pool: table.PoolName(p.name),
			Idempotent: p.name == lookups, TimeoutMs: 20_000, MaxBodyBytes: 1 << 30,
		})
	}
}

var domains = []table.FailureDomain{"donau-ost", "vils-tal", "rott-aue"}

func (h *testHarness) startPlatform() {
	h.platform = &standin.Platform{Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0"}
	h.check(h.platform.Start())
	h.publish()
}

// publish writes both tables in one revision.
func (h *testHarness) publish() table.Revision {
	h.t.Helper()
	r, err := h.platform.PutAll(map[string][]byte{
		table.RoutesKey: h.marshal(h.routes), table.PoolsKey: h.marshal(h.pools),
	})
	h.check(err)
	return r
}

func (h *testHarness) marshal(v any) []byte {
	raw, err := json.Marshal(v)
	h.check(err)
	return raw
}

func (h *testHarness) writeFleetList(o options) {
	listen := map[fleet.EntryID]string{}
	for i := range o.entryCount {
		id := fleet.EntryID(fmt.Sprintf("kb-%02d", i+1))
		listen[id] = freePort(h.t, "udp")
		h.fleetList = append(h.fleetList, configuration.FleetRow{
			ID: id, PeerAddress: h.network.addEntry(id, listen[id]), CallerAddress: freePort(h.t, "tcp"),
			FailureDomain: domains[i%len(domains)], State: configuration.EntryLive,
		})
	}
	h.localFleet = &standin.LocalFleet{
		Dir: h.dir, Entries: h.fleetList, Platform: h.platform.URL(),
		ModifySettings: func(s *settings.Entry) {
			s.PeerListen = listen[s.ID]
			s.OperatorAddress = freePort(h.t, "tcp")
			s.AnswerValidMs = 2_000
			if o.modifySettings != nil {
				o.modifySettings(s)
			}
		},
	}
	h.check(h.localFleet.Write())
	h.platform.SetFleet(h.fleetList)
}

// Ports of entries are below the kernel's ephemeral ports, so that no outgoing connection takes a port
// between its choice and the start of the entry.
const (
	firstPort = 10_000
	lastPort  = 30_000
	portRange = lastPort - firstPort
)

// nextPort starts at a value derived from the process ID, so that two test runs on one machine rarely
// choose a port that the other run needs again to restart an entry.
var nextPort = firstPort + os.Getpid()*131%(portRange/2)

// freePort returns a loopback address that is not in use.
func freePort(t *testing.T, network string) string {
	t.Helper()
	for nextPort < lastPort {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		var c io.Closer
		var err error
		if network == "udp" {
			c, err = net.ListenPacket(network, address)
		} else {
			c, err = net.Listen(network, address)
		}
		if err == nil {
			c.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts an entry's process.
func (h *testHarness) start(id fleet.EntryID) {
	h.t.Helper()
	log, err := os.OpenFile(h.logPath(id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	h.check(err)
	p := &process{cmd: exec.Command(h.entryProgram(), "--settings", h.localFleet.SettingsPath(id)), exited: make(chan struct{})}
	if h.disabledRules != "" {
		p.cmd.Env = append(os.Environ(), "BILBERRYWOOD_FAULTS="+h.disabledRules)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	h.check(p.cmd.Start())
	h.entries[id] = p
	go func() {
		defer close(p.exited)
		p.err = p.cmd.Wait()
		log.Close()
	}()
}

func (h *testHarness) logPath(id fleet.EntryID) string {
	return filepath.Join(h.dir, string(id)+".log")
}

// signal sends a signal to an entry's process.
func (h *testHarness) signal(id fleet.EntryID, s syscall.Signal) {
	h.t.Helper()
	h.check(h.entries[id].cmd.Process.Signal(s))
}

// kill kills an entry's process and waits until it has exited.
func (h *testHarness) kill(id fleet.EntryID) {
	h.t.Helper()
	h.signal(id, syscall.SIGKILL)
	<-h.entries[id].exited
	delete(h.entries, id)
}

// stopGracefully performs a planned stop of an entry and waits until its process has exited.
func (h *testHarness) stopGracefully(id fleet.EntryID) {
	h.t.Helper()
	h.signal(id, syscall.SIGTERM)
	p := h.entries[id]
	select {
	case <-p.exited:
	case <-time.After(60 * time.Second):
		h.t.Fatalf("entry %s did not stop within 60 s", id)
	}
	h.check(p.err)
	delete(h.entries, id)
}

func (h *testHarness) close() {
	for _, p := range h.entries {
		// A stopped process handles the signal only when it continues.
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, targets := range h.targets {
		for _, t := range targets {
			_ = t.Close()
		}
	}
	_ = h.platform.Close()
	h.network.close()
	if h.t.Failed() {
		for _, r := range h.fleetList {
			h.printLogTail(r.ID)
		}
	}
}

// printLogTail prints the end of an entry's log.
func (h *testHarness) printLogTail(id fleet.EntryID) {
	raw, err := os.ReadFile(h.logPath(id))
	if err != nil {
		return
	}
	const maxBytes = 6000
	h.t.Logf("end of the log of %s:\n%s", id, raw[max(0, len(raw)-maxBytes):])
}

// get reads a JSON response from an entry's operator endpoint.
func (h *testHarness) get(id fleet.EntryID, path string, into any) error {
	address, err := h.operatorAddress(id)
	if err != nil {
		return err
	}
	return getJSON("http://"+address+path, into)
}

func (h *testHarness) operatorAddress(id fleet.EntryID) (string, error) {
	var s settings.Entry
	err := settings.Read(h.localFleet.SettingsPath(id), &s)
	return s.OperatorAddress, err
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (h *testHarness) status(id fleet.EntryID) entry.Status {
	var s entry.Status
	// An entry that does not respond has the zero status.
	_ = h.get(id, "/v1/status", &s)
	return s
}

// liveMembers returns how many members an entry sees as live.
func (h *testHarness) liveMembers(id fleet.EntryID) int {
	return h.countMembers(id, func(m fleet.Member) bool { return m.Live })
}

// servingMembers returns how many members an entry sees as live and serving. Only such members are
// named to callers.
func (h *testHarness) servingMembers(id fleet.EntryID) int {
	return h.countMembers(id, func(m fleet.Member) bool { return m.Live && m.State == fleet.StateServing })
}

// countMembers returns how many members match in the view of an entry.
func (h *testHarness) countMembers(id fleet.EntryID, match func(fleet.Member) bool) int {
	var members []fleet.Member
	if h.get(id, "/v1/members", &members) != nil {
		return 0
	}
	n := 0
	for _, m := range members {
		if match(m) {
			n++
		}
	}
	return n
}

// ownerSeenBy returns the owner of a pool's only cell in the view of an entry.
func (h *testHarness) ownerSeenBy(asked fleet.EntryID, pool string) fleet.EntryID {
	var x entry.Explanation
	if h.get(asked, "/v1/explain?path=/"+pool, &x) != nil || len(x.Cells) == 0 {
		return ""
	}
	return x.Cells[0].Owner
}

// ownersAgree reports whether all entries see the same owner for each pool.
func (h *testHarness) ownersAgree() bool {
	for _, name := range []string{lookups, notices, uploads} {
		first := h.ownerSeenBy(h.fleetList[0].ID, name)
		for _, r := range h.fleetList {
			if first == "" || h.ownerSeenBy(r.ID, name) != first {
				return false
			}
		}
	}
	return true
}

// cellStatus returns an entry's status of a pool's only cell.
func (h *testHarness) cellStatus(id fleet.EntryID, pool string) (entry.CellStatus, bool) {
	var cells []entry.CellStatus
	if h.get(id, "/v1/cells", &cells) != nil {
		return entry.CellStatus{}, false
	}
	for _, c := range cells {
		if string(c.Cell.Pool) == pool {
			return c, true
		}
	}
	return entry.CellStatus{}, false
}

func (h *testHarness) awaitState(id fleet.EntryID, state string) {
	h.t.Helper()
	h.await(fmt.Sprintf("%s is %s", id, state), func() bool { return h.status(id).State == state })
}

// awaitLimit is the timeout for conditions that have no bound of their own.
const awaitLimit = 30 * time.Second

// await waits until a condition holds, and fails the test after awaitLimit.
func (h *testHarness) await(what string, condition func() bool) {
	h.t.Helper()
	h.within(awaitLimit, what, condition)
}

// within waits until a condition holds and returns how long it took. It fails the test after the
// limit.
func (h *testHarness) within(limit time.Duration, what string, condition func() bool) time.Duration {
	h.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			h.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (h *testHarness) check(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}
