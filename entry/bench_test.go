package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

// targetsPerPool is the mean at the size that the system is designed for: 200,000 servers in 9,100 services.
const targetsPerPool = 22

// newServingEntry returns an entry without peers that owns all cells of the given number of pools. Unless address
// is empty, the first pool has one target, at that address. The targets of the other pools get no requests.
func newServingEntry(tb testing.TB, pools int, address string) *Entry {
	tb.Helper()
	e := &Entry{
		Log: zerolog.Nop(),
		Settings: settings.Entry{
			ID: "kb-01", FailureDomain: "donau-ost", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2",
			OperatorAddress: "127.0.0.1:3", Platform: "http://127.0.0.1:4",
			TLS: settings.TLS{CA: "ca", Certificate: "certificate", Key: "key"},
		},
	}
	if err := e.Settings.Check(); err != nil {
		tb.Fatal(err)
	}
	e.prepare()
	routes, poolTable := exampleTables(pools, address)
	e.tables.offer("test", table.Snapshot{Revision: 1, Values: map[string][]byte{
		table.RoutesKey: routes, table.PoolsKey: poolTable,
	}})
	if e.tables.current() == nil {
		tb.Fatalf("the tables were not accepted: %.300v", e.tables.acceptor.Rejections())
	}
	e.setState(fleet.StateServing)
	e.tick()
	tb.Cleanup(func() {
		e.cells.close()
		_ = e.targetClient.Close()
	})
	return e
}

func exampleTables(pools int, address string) (routes, poolTable []byte) {
	var r table.Routes
	p := table.Pools{FleetGroups: 1}
	port := 0
	for i := range pools {
		name := fmt.Sprintf("pool-%04d", i)
		testPool := table.Pool{Name: table.PoolName(name), Floor: 14, Slots: 100, MaxConnections: 400, Policy: table.Policy{FalseEjectionEveryHours: 8760}}
		for j := range targetsPerPool {
			port++
			testPool.Targets = append(testPool.Targets, table.Target{
				ID: table.TargetID(fmt.Sprintf("%s-%02d", name, j)), FailureDomain: "donau-ost",
				Address: fmt.Sprintf("127.%d.%d.%d:80", 1+port>>16, port>>8&255, port&255),
			})
		}
		if i == 0 && address != "" {
			testPool.Targets, testPool.Floor = testPool.Targets[:1], 1
			testPool.Targets[0].Address = address
		}
		p.Pools = append(p.Pools, testPool)
		r.Routes = append(r.Routes, table.Route{
			Name: table.RouteName(name), PathPrefix: "/" + name, Pool: testPool.Name, Idempotent: true, TimeoutMs: 5000, MaxBodyBytes: 1 << 20,
		})
	}
	return mustJSON(r), mustJSON(p)
}

func mustJSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// BenchmarkTick measures one tick of an entry that owns the pools. At the size that the system is designed for,
// an entry owns 2 pools, and up to 96 if it is the last one of its group.
func BenchmarkTick(b *testing.B) {
	for _, pools := range []int{3, 24, 96} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			e := newServingEntry(b, pools, "")
			b.ReportAllocs()
			for b.Loop() {
				e.tick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*pools*targetsPerPool), "ns/target")
		})
	}
}

// BenchmarkAdopt measures the computation of the owners after a change.
func BenchmarkAdopt(b *testing.B) {
	for _, pools := range []int{3, 24, 96} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			e := newServingEntry(b, pools, "")
			for b.Loop() {
				e.cells.lastOwnersKey = ownersKey{}
				e.cells.createOwned(e.tables.current(), e.fleet.view())
			}
		})
	}
}

// BenchmarkRequest measures a GET request through the caller handler to a target on loopback, with tables of
// three sizes. The cost must not grow with the tables.
func BenchmarkRequest(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	defer target.Close()
	for _, pools := range []int{3, 96, 960} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			e := newServingEntry(b, pools, strings.TrimPrefix(target.URL, "http://"))
			handler := e.callerRoutes()
			b.ReportAllocs()
			for b.Loop() {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/pool-0000/x", nil))
				if w.Code != http.StatusOK {
					b.Fatalf("status %d: %s", w.Code, w.Body)
				}
			}
		})
	}
}
