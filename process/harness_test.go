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

// Names of the pools and routes of the world; as at Kiesbank, with fewer targets.
const (
	lookups = "bescheid-info"
	notices = "mengen-buch"
	uploads = "peilung-ablage"
)

// world is a platform, targets and entries on loopback. Entries are processes of their own; targets
// and the platform are stand-ins in the test's process, so that their records can be read.
type world struct {
	t        *testing.T
	dir      string
	platform *standin.Platform
	targets  map[string][]*standin.Target
	routes   table.Routes
	pools    table.Pools
	list     []configuration.FleetRow
	local    *standin.LocalFleet
	relays   *relays
	entries  map[fleet.EntryID]*process
	// faults are the rules that are switched off in the entries; found has what the judges say then.
	faults string
	found  []string
}

// process is one run of an entry.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// options change a world before it starts.
type options struct {
	entries int
	adjust  func(*settings.Entry)
	pools   func(*table.Pools)
	service time.Duration
	// faults names rules that are switched off in all entries; see entry/faults.go.
	faults string
	// targetSlots is how many requests a target can run, if that is more than the tables say.
	targetSlots int
	// idle leaves the entries to be started by the test.
	idle bool
}

func newWorld(t *testing.T, o options) *world {
	t.Helper()
	w := &world{
		t: t, dir: t.TempDir(), targets: map[string][]*standin.Target{},
		entries: map[fleet.EntryID]*process{}, relays: newRelays(t), faults: o.faults,
	}
	w.startTargets(o)
	if o.pools != nil {
		o.pools(&w.pools)
	}
	w.startPlatform()
	w.listEntries(o)
	for _, r := range w.list {
		if !o.idle {
			w.start(r.ID)
		}
	}
	t.Cleanup(w.close)
	if !o.idle {
		for _, r := range w.list {
			w.awaitState(r.ID, "serving")
		}
		w.await("all entries see each other", func() bool {
			for _, r := range w.list {
				if w.serving(r.ID) != len(w.list) || w.owner(r.ID, lookups) == "" {
					return false
				}
			}
			return true
		})
		w.await("all entries name the same owners", w.sameOwners)
	}
	return w
}

func (w *world) startTargets(o options) {
	if o.service == 0 {
		o.service = 30 * time.Millisecond
	}
	w.pools.FleetGroups = 1
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
				ServiceTime: o.service, ServiceTimeSigma: 0.3, Seed: uint64(i + 1),
			}
			w.check(target.Start())
			w.targets[p.name] = append(w.targets[p.name], target)
			row.Targets = append(row.Targets, table.Target{
				ID: table.TargetID(target.ID), Address: target.Address(), FailureDomain: domains[i%len(domains)],
			})
		}
		w.pools.Pools = append(w.pools.Pools, row)
		w.routes.Routes = append(w.routes.Routes, table.Route{
			Name: table.RouteName(p.name), PathPrefix: "/" + p.name, Pool: table.PoolName(p.name),
			Idempotent: p.name == lookups, TimeoutMs: 20_000, MaxBodyBytes: 1 << 30,
		})
	}
}

var domains = []table.FailureDomain{"donau-ost", "vils-tal", "rott-aue"}

func (w *world) startPlatform() {
	w.platform = &standin.Platform{Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0"}
	w.check(w.platform.Start())
	w.publish()
}

// publish writes both tables at one revision.
func (w *world) publish() table.Revision {
	w.t.Helper()
	r, err := w.platform.PutAll(map[string][]byte{
		table.RoutesKey: w.raw(w.routes), table.PoolsKey: w.raw(w.pools),
	})
	w.check(err)
	return r
}

func (w *world) raw(v any) []byte {
	raw, err := json.Marshal(v)
	w.check(err)
	return raw
}

func (w *world) listEntries(o options) {
	listen := map[fleet.EntryID]string{}
	for i := range o.entries {
		id := fleet.EntryID(fmt.Sprintf("kb-%02d", i+1))
		listen[id] = freePort(w.t, "udp")
		w.list = append(w.list, configuration.FleetRow{
			ID: id, PeerAddress: w.relays.add(id, listen[id]), CallerAddress: freePort(w.t, "tcp"),
			FailureDomain: domains[i%len(domains)], State: configuration.EntryLive,
		})
	}
	w.local = &standin.LocalFleet{
		Dir: w.dir, Entries: w.list, Platform: w.platform.URL(),
		ModifySettings: func(s *settings.Entry) {
			s.PeerListen = listen[s.ID]
			s.OperatorAddress = freePort(w.t, "tcp")
			s.AnswerValidMs = 2_000
			if o.adjust != nil {
				o.adjust(s)
			}
		},
	}
	w.check(w.local.Write())
	w.platform.SetFleet(w.list)
}

// Ports for entries lie below those that the kernel gives to outgoing connections, so that none of
// them is taken between the choice of a port and the start of its entry.
const (
	firstPort = 10_000
	lastPort  = 30_000
	portRange = lastPort - firstPort
)

// nextPort starts at a place that depends on the process, so that two runs on one machine rarely choose
// the ports of an entry that the other run is about to start again.
var nextPort = firstPort + os.Getpid()*131%(portRange/2)

// freePort returns a loopback address that nobody listens on.
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

// start starts the process of an entry.
func (w *world) start(id fleet.EntryID) {
	w.t.Helper()
	log, err := os.OpenFile(w.logPath(id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.check(err)
	p := &process{command: exec.Command(w.program(), "--settings", w.local.SettingsPath(id)), done: make(chan struct{})}
	if w.faults != "" {
		p.command.Env = append(os.Environ(), "BILBERRYWOOD_FAULTS="+w.faults)
	}
	p.command.Stdout, p.command.Stderr = log, log
	w.check(p.command.Start())
	w.entries[id] = p
	go func() {
		defer close(p.done)
		p.err = p.command.Wait()
		log.Close()
	}()
}

func (w *world) logPath(id fleet.EntryID) string { return filepath.Join(w.dir, string(id)+".log") }

// signal sends a signal to an entry's process.
func (w *world) signal(id fleet.EntryID, s syscall.Signal) {
	w.t.Helper()
	w.check(w.entries[id].command.Process.Signal(s))
}

// kill ends an entry at once and waits for its process.
func (w *world) kill(id fleet.EntryID) {
	w.t.Helper()
	w.signal(id, syscall.SIGKILL)
	<-w.entries[id].done
	delete(w.entries, id)
}

// leave stops an entry as planned and returns when its process has ended.
func (w *world) leave(id fleet.EntryID) {
	w.t.Helper()
	w.signal(id, syscall.SIGTERM)
	p := w.entries[id]
	select {
	case <-p.done:
	case <-time.After(60 * time.Second):
		w.t.Fatalf("entry %s did not stop within 60 s", id)
	}
	w.check(p.err)
	delete(w.entries, id)
}

func (w *world) close() {
	for _, p := range w.entries {
		// A stopped process takes the signal only when it continues.
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, targets := range w.targets {
		for _, t := range targets {
			_ = t.Close()
		}
	}
	_ = w.platform.Close()
	w.relays.close()
	if w.t.Failed() {
		for _, r := range w.list {
			w.showLog(r.ID)
		}
	}
}

// showLog prints the lines of an entry's log that are not about single requests.
func (w *world) showLog(id fleet.EntryID) {
	raw, err := os.ReadFile(w.logPath(id))
	if err != nil {
		return
	}
	const shown = 6000
	w.t.Logf("end of the log of %s:\n%s", id, raw[max(0, len(raw)-shown):])
}

// get reads a JSON answer of an entry's operators' endpoint.
func (w *world) get(id fleet.EntryID, path string, into any) error {
	var s settings.Entry
	if err := settings.Read(w.local.SettingsPath(id), &s); err != nil {
		return err
	}
	return getJSON("http://"+s.OperatorAddress+path, into)
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func (w *world) status(id fleet.EntryID) entry.Status {
	var s entry.Status
	// An entry that does not answer has the zero status.
	_ = w.get(id, "/v1/status", &s)
	return s
}

// live returns how many members an entry counts as live.
func (w *world) live(id fleet.EntryID) int {
	return w.members(id, func(m fleet.Member) bool { return m.Live })
}

// serving returns how many members an entry counts as live and serving; callers are named only such ones.
func (w *world) serving(id fleet.EntryID) int {
	return w.members(id, func(m fleet.Member) bool { return m.Live && m.State == fleet.StateServing })
}

// members counts the members that fit in the view of an entry.
func (w *world) members(id fleet.EntryID, fits func(fleet.Member) bool) int {
	var members []fleet.Member
	if w.get(id, "/v1/members", &members) != nil {
		return 0
	}
	n := 0
	for _, m := range members {
		if fits(m) {
			n++
		}
	}
	return n
}

// owner returns the owner of a pool's only cell in the view of an entry.
func (w *world) owner(asked fleet.EntryID, pool string) fleet.EntryID {
	var x entry.Explanation
	if w.get(asked, "/v1/explain?path=/"+pool, &x) != nil || len(x.Cells) == 0 {
		return ""
	}
	return x.Cells[0].Owner
}

// sameOwners says that all entries name the same owner for each pool.
func (w *world) sameOwners() bool {
	for _, name := range []string{lookups, notices, uploads} {
		first := w.owner(w.list[0].ID, name)
		for _, r := range w.list {
			if first == "" || w.owner(r.ID, name) != first {
				return false
			}
		}
	}
	return true
}

// cell returns the report of a pool's only cell at an entry.
func (w *world) cell(id fleet.EntryID, pool string) (entry.CellStatus, bool) {
	var cells []entry.CellStatus
	if w.get(id, "/v1/cells", &cells) != nil {
		return entry.CellStatus{}, false
	}
	for _, c := range cells {
		if string(c.Cell.Pool) == pool {
			return c, true
		}
	}
	return entry.CellStatus{}, false
}

func (w *world) awaitState(id fleet.EntryID, state string) {
	w.t.Helper()
	w.await(fmt.Sprintf("%s is %s", id, state), func() bool { return w.status(id).State == state })
}

// awaitLimit bounds the wait for a condition that has no bound of its own.
const awaitLimit = 30 * time.Second

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	w.within(awaitLimit, what, holds)
}

// within fails the test if a condition does not hold in time, and returns how long it took.
func (w *world) within(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *world) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}
