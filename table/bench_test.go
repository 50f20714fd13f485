package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// benchmarkSizes are the tables of one operator today, a tenth of the target size, and the target size.
var benchmarkSizes = []struct {
	name                             string
	routes, pools, targets, accounts int
}{
	{"firm", 100, 17, 360, 2_500},
	{"tenth", 5_500, 910, 20_000, 140_000},
	{"target", 55_000, 9_100, 200_000, 1_400_000},
}

func benchToken(i int) string { return fmt.Sprintf("token-%d", i) }

// benchValues returns raw tables like those of the examples.
func benchValues(routes, pools, targets, accounts int) map[string][]byte {
	var r, p strings.Builder
	r.WriteString("{\n  \"routes\": [\n")
	for i := range routes {
		fmt.Fprintf(&r, "    {\"name\": \"route-%d\", \"pathPrefix\": \"/firm-%d/service-%d\", \"methods\": [\"GET\", \"POST\"], "+
			"\"pool\": \"pool-%d\", \"timeoutMs\": 10000, \"maxBodyBytes\": 65536", i, i%100, i, i%pools)
		if accounts > 0 && i%2 == 0 {
			fmt.Fprintf(&r, ", \"accounts\": [\"account-%d\", \"account-%d\"]", i%accounts, (i+1)%accounts)
		}
		r.WriteString("}, // of the firm\n")
	}
	r.WriteString("  ],\n  \"accounts\": [\n")
	for i := range accounts {
		sum := sha256.Sum256([]byte(benchToken(i)))
		fmt.Fprintf(&r, "    {\"name\": \"account-%d\", \"tokenSha256\": \"%s\"},\n", i, hex.EncodeToString(sum[:]))
	}
	r.WriteString("  ]\n}\n")
	p.WriteString("{\n  \"fleetGroups\": 96,\n  \"pools\": [\n")
	for i := range pools {
		fmt.Fprintf(&p, "    {\"name\": \"pool-%d\", \"floor\": 1, \"slots\": 4, \"maxConnections\": 400, "+
			"\"policy\": {\"falseEjectionEveryHours\": 8760}, \"targets\": [\n", i)
		for j := i; j < targets; j += pools {
			fmt.Fprintf(&p, "      {\"id\": \"target-%d\", \"address\": \"10.%d.%d.%d:8080\", \"failureDomain\": \"domain-%d\"},\n",
				j, j>>16, j>>8&255, j&255, j%26)
		}
		p.WriteString("    ]},\n")
	}
	p.WriteString("  ]\n}\n")
	return map[string][]byte{RoutesKey: []byte(r.String()), PoolsKey: []byte(p.String())}
}

func benchPair(b *testing.B, routes, pools, targets, accounts int) *Pair {
	b.Helper()
	pair, err := NewPair(1, benchValues(routes, pools, targets, accounts))
	if err != nil {
		b.Fatal(err)
	}
	return pair
}

// BenchmarkDecode measures parsing and decoding without checks, per byte of each table.
func BenchmarkDecode(b *testing.B) {
	for _, size := range benchmarkSizes {
		v := benchValues(size.routes, size.pools, size.targets, 0)
		b.Run("routes/"+size.name, func(b *testing.B) { benchDecode(b, RoutesKey, v, routesSchema) })
		b.Run("pools/"+size.name, func(b *testing.B) { benchDecode(b, PoolsKey, v, poolsSchema) })
	}
}

func benchDecode[T any](b *testing.B, name string, v map[string][]byte, schema []field[T]) {
	b.ReportAllocs()
	b.SetBytes(int64(len(v[name])))
	for b.Loop() {
		if _, _, problems := parseTable(name, v, schema); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(v[name])), "ns/byte")
}

// BenchmarkCheck measures Check per row: routes, pools and targets.
func BenchmarkCheck(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(size.name, func(b *testing.B) {
			pair := benchPair(b, size.routes, size.pools, size.targets, 0)
			for b.Loop() {
				if problems := Check(pair.Routes, pair.Pools); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
			rows := float64(size.routes + size.pools + size.targets)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/rows, "ns/row")
		})
	}
}

// BenchmarkMemory measures the memory of a pair and its router, per row of each kind.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchmarkSizes {
		kinds := []struct {
			name                             string
			routes, pools, targets, accounts int
		}{
			{"route", size.routes, 1, 1, 0},
			{"target", 1, size.pools, size.targets, 0},
			{"account", 1, 1, 1, size.accounts},
		}
		for _, k := range kinds {
			b.Run(k.name+"/"+size.name, func(b *testing.B) {
				rows := max(k.routes, k.targets, k.accounts)
				for b.Loop() {
					v := benchValues(k.routes, k.pools, k.targets, k.accounts)
					raw := len(v[RoutesKey]) + len(v[PoolsKey])
					before := heapBytes()
					pair, err := NewPair(1, v)
					if err != nil {
						b.Fatal(err)
					}
					router := NewRouter(pair)
					retained := heapBytes() - before
					runtime.KeepAlive(router)
					b.ReportMetric(float64(retained)/float64(rows), "B/row")
					b.ReportMetric(float64(raw)/float64(rows), "rawB/row")
				}
			})
		}
	}
}

// heapBytes returns the bytes of the heap that are in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRouter measures Route for a request with an account, and find alone. The time must not grow with
// the size of the tables.
func BenchmarkRouter(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(size.name, func(b *testing.B) {
			router := NewRouter(benchPair(b, size.routes, size.pools, size.targets, size.accounts))
			paths, accounts, tokens := make([]string, 64), make([]AccountName, 64), make([]string, 64)
			for i := range paths {
				route := i * (size.routes / 64) / 2 * 2 // Routes with even numbers require an account.
				paths[i] = fmt.Sprintf("/firm-%d/service-%d/permits/%d", route%100, route, i)
				accounts[i] = AccountName(fmt.Sprintf("account-%d", route%size.accounts))
				tokens[i] = benchToken(route % size.accounts)
			}
			b.Run("account", func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, err := router.Route("GET", "", paths[i%64], accounts[i%64], tokens[i%64]); err != nil {
						b.Fatal(err)
					}
				}
			})
			b.Run("prefix", func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, err := router.find("", paths[i%64]); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}

// BenchmarkDiff measures the comparison of two pairs, per row.
func BenchmarkDiff(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(size.name, func(b *testing.B) {
			pair := benchPair(b, size.routes, size.pools, size.targets, 0)
			other := benchPair(b, size.routes, size.pools, size.targets, 0)
			for b.Loop() {
				if changes := Diff(pair, other); len(changes) > 0 {
					b.Fatal(changes)
				}
			}
			rows := float64(size.routes + size.pools + size.targets)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/rows, "ns/row")
		})
	}
}

// BenchmarkNewRouter measures the construction of a router, per row. A router is built for each accepted
// pair.
func BenchmarkNewRouter(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(size.name, func(b *testing.B) {
			pair := benchPair(b, size.routes, size.pools, size.targets, size.accounts)
			for b.Loop() {
				NewRouter(pair)
			}
			rows := float64(size.routes + size.pools + size.accounts)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/rows, "ns/row")
		})
	}
}

// BenchmarkCells measures the partition of a pool into cells, per target.
func BenchmarkCells(b *testing.B) {
	for _, targets := range []int{20, 640, 5_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			p := newPool(targets, DefaultCellSize, targets*7/10)
			for b.Loop() {
				Cells(p)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(targets), "ns/target")
		})
	}
}

// BenchmarkOffer measures Offer from raw values to the active pair, for a value of 1 MB, half of it and
// a tenth.
func BenchmarkOffer(b *testing.B) {
	for _, pools := range []int{45, 225, 450} {
		v := benchValues(pools, pools, pools*22, 0)
		b.Run(fmt.Sprintf("%dKB", (len(v[RoutesKey])+len(v[PoolsKey]))/1000), func(b *testing.B) {
			var a Acceptor
			for revision := Revision(1); b.Loop(); revision++ {
				if r := a.Offer(time.Time{}, "", Snapshot{revision, v}); r.Verdict != Accepted {
					b.Fatal(r.Problems)
				}
			}
		})
	}
}
