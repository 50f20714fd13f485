package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// Parameters of the addedLatency experiment. All processes run on loopback.
const (
	latencyRate     = 1000 // requests per second on each of the two paths
	latencyDuration = 10 * time.Second
	latencyWarmUp   = 2 * time.Second
	latencyTargets  = 10
	latencySlots    = 64
	// latencyServiceTime is the service time of the targets.
	latencyServiceTime = 5 * time.Millisecond
	// maxAddedLatencyMs is the bound on the difference between the 99th percentiles of the two paths,
	// from the goals for the target size.
	maxAddedLatencyMs = 2.1
	// latencyStartTimeout is how long the entry may take until it serves.
	latencyStartTimeout = 20 * time.Second
)

// Addresses of the addedLatency experiment. The ports are below those of outgoing connections.
const (
	latencyTargetPort      = 20100
	latencyPlatformAddress = "127.0.0.1:20001"
	latencyCallerAddress   = "127.0.0.1:20010"
	latencyPeerAddress     = "127.0.0.1:20011"
	latencyPath            = "/lookup/1?bytes=1024"
)

// runAddedLatency sends the same lookups directly to targets and through an entry, and compares the
// latency quantiles of the two paths. The entry, the targets and the platform are separate processes,
// started from the programs under bin.
func runAddedLatency(o Options) ([]Result, error) {
	b, err := startLatencyBench()
	if err != nil {
		return nil, err
	}
	defer b.close()
	if err := b.run(latencyWarmUp); err != nil {
		return nil, err
	}
	b.direct.Reset()
	b.viaEntry.Reset()
	before, err := cpuTime(b.entry.Process.Pid)
	if err != nil {
		return nil, err
	}
	if err := b.run(latencyDuration); err != nil {
		return nil, err
	}
	after, err := cpuTime(b.entry.Process.Pid)
	if err != nil {
		return nil, err
	}
	return b.results(o.Seed, after-before), nil
}

// latencyBench holds the processes and the measured latencies.
type latencyBench struct {
	dir       string
	processes []*exec.Cmd
	entry     *exec.Cmd
	client    *http.Client

	mu               sync.Mutex
	direct, viaEntry *hdrhistogram.Histogram
	failed           int
}

func startLatencyBench() (*latencyBench, error) {
	dir, err := os.MkdirTemp("", "bilberrywood-latency")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := &latencyBench{
		dir:      dir,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 5 * time.Second},
		direct:   hdrhistogram.New(1, 10_000_000, 3),
		viaEntry: hdrhistogram.New(1, 10_000_000, 3),
	}
	if err := b.start(); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// start writes tables and settings, starts the processes and waits until the entry serves.
func (b *latencyBench) start() error {
	routes, pools := latencyTables()
	for name, t := range map[string]any{"routes.json": routes, "pools.json": pools} {
		raw, err := json.Marshal(t)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(b.dir, name), raw, 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	local := &standin.LocalFleet{Dir: b.dir, Platform: "http://" + latencyPlatformAddress, Entries: []configuration.FleetRow{{
		ID: "kb-01", PeerAddress: latencyPeerAddress, CallerAddress: latencyCallerAddress, FailureDomain: "donau-ost", State: configuration.EntryLive,
	}}}
	if err := local.Write(); err != nil {
		return Error.Wrap(err)
	}
	commands := [][]string{
		{
			"target-standin", "--listen", fmt.Sprintf("127.0.0.1:%d", latencyTargetPort), "--count", strconv.Itoa(latencyTargets),
			"--slots", strconv.Itoa(latencySlots), "--service-ms", strconv.Itoa(int(latencyServiceTime.Milliseconds())),
		},
		{
			"platform-standin", "--listen", latencyPlatformAddress, "--routes", filepath.Join(b.dir, "routes.json"),
			"--pools", filepath.Join(b.dir, "pools.json"), "--fleet", local.FleetPath(),
		},
		{"entry", "--settings", local.SettingsPath("kb-01")},
	}
	for _, c := range commands {
		p := exec.Command(filepath.Join("bin", c[0]), c[1:]...)
		if err := p.Start(); err != nil {
			return Error.Wrap(err)
		}
		b.processes = append(b.processes, p)
		b.entry = p
	}
	for began := time.Now(); b.get(latencyCallerAddress) != nil; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > latencyStartTimeout {
			return Error.New("the entry does not serve after %v", latencyStartTimeout)
		}
	}
	return nil
}

func latencyTables() (table.Routes, table.Pools) {
	p := table.Pool{
		Name: "lookup", Floor: latencyTargets * 2 / 3, Slots: latencySlots, MaxConnections: 400,
		Policy: table.Policy{FalseEjectionEveryHours: 8760},
	}
	for i := range latencyTargets {
		p.Targets = append(p.Targets, table.Target{
			ID: table.TargetID(fmt.Sprintf("lookup-%02d", i)), Address: fmt.Sprintf("127.0.0.1:%d", latencyTargetPort+i),
			FailureDomain: "donau-ost",
		})
	}
	r := table.Route{Name: "lookup", PathPrefix: "/lookup", Pool: "lookup", Idempotent: true, TimeoutMs: 5000, MaxBodyBytes: 1 << 20}
	return table.Routes{Routes: []table.Route{r}}, table.Pools{FleetGroups: 1, Pools: []table.Pool{p}}
}

// get sends one lookup to an address and reads the complete response.
func (b *latencyBench) get(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+latencyPath, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := b.client.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return Error.New("status %d", response.StatusCode)
	}
	return nil
}

// run sends latencyRate requests per second on each of the two paths for the duration d.
func (b *latencyBench) run(d time.Duration) error {
	var active sync.WaitGroup
	ticker := time.NewTicker(time.Second / latencyRate)
	defer ticker.Stop()
	n := int(d.Seconds() * latencyRate)
	for i := range n {
		<-ticker.C
		target := fmt.Sprintf("127.0.0.1:%d", latencyTargetPort+i%latencyTargets)
		active.Go(func() { b.sendTimed(target, b.direct) })
		active.Go(func() { b.sendTimed(latencyCallerAddress, b.viaEntry) })
	}
	active.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed > n/1000 {
		return Error.New("%d of %d requests failed", b.failed, 2*n)
	}
	return nil
}

func (b *latencyBench) sendTimed(address string, h *hdrhistogram.Histogram) {
	began := time.Now()
	err := b.get(address)
	took := time.Since(began)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.failed++
		return
	}
	// A latency beyond the histogram's range would exceed the request's timeout.
	_ = h.RecordValue(took.Microseconds())
}

// results returns the figures; cpu is the processor time that the entry used.
func (b *latencyBench) results(seed uint64, cpu time.Duration) []Result {
	added := func(quantile float64) float64 {
		return float64(b.viaEntry.ValueAtQuantile(quantile)-b.direct.ValueAtQuantile(quantile)) / 1000
	}
	perCore := float64(b.viaEntry.TotalCount()) / cpu.Seconds()
	bound, pass := maxAddedLatencyMs, added(99) <= maxAddedLatencyMs
	return []Result{
		{Name: "addedLatencyRate", Value: latencyRate, Unit: "requests/s", Seed: seed},
		{Name: "directP50", Value: float64(b.direct.ValueAtQuantile(50)) / 1000, Unit: "ms", Seed: seed},
		{Name: "directP99", Value: float64(b.direct.ValueAtQuantile(99)) / 1000, Unit: "ms", Seed: seed},
		{Name: "addedLatencyP50", Value: added(50), Unit: "ms", Seed: seed},
		{Name: "addedLatencyP99", Value: added(99), Unit: "ms", Bound: &bound, Pass: &pass, Seed: seed},
		{Name: "requestsPerCore", Value: perCore, Unit: "requests/s", Seed: seed},
	}
}

// close kills the processes and removes their files.
func (b *latencyBench) close() {
	for _, p := range b.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(b.dir)
}

// clockTicksPerSecond converts the processor times in /proc.
const clockTicksPerSecond = 100

// cpuTime returns the processor time that a process has used so far.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	// The fields after the closing parenthesis of the command are separated by single spaces. User time
	// and system time are the 12th and 13th of them.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	const userField, systemField = 11, 12
	var ticks int64
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}
