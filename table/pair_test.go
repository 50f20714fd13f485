package table

import (
	"errors"
	"strings"
	"testing"
	"unsafe"

	"github.com/matryer/is"
)

// Small valid tables for tests, with one row per line to make positions easy to state.
const (
	smallRoutes = `{"routes": [
  {"name": "lookup", "pathPrefix": "/a", "pool": "p", "idempotent": true, "timeoutMs": 1000, "maxBodyBytes": 0},
  {"name": "order", "pathPrefix": "/a/orders", "methods": ["POST"], "pool": "q", "accounts": ["clerk"], "timeoutMs": 1000, "maxBodyBytes": 9}, // comment
], "accounts": [
  {"name": "clerk", "tokenSha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}, /* "test" */
  {"name": "guest", "tokenSha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
]}`
	smallPools = `{"fleetGroups": 1, "pools": [
  {"name": "p", "floor": 1, "slots": 4, "maxConnections": 400, "policy": {"falseEjectionEveryHours": 100, "retryPercent": 0}, "targets": [
    {"id": "t1", "address": "127.0.0.1:1001", "failureDomain": "d"},
    {"id": "t2", "address": "127.0.0.1:1002", "failureDomain": "d", "leaving": true},
  ]},
  {"name": "q", "floor": 0, "slots": 2, "maxConnections": 400, "policy": {"falseEjectionEveryHours": 100}, "targets": []},
]}`
)

func values(routes, pools string) map[string][]byte {
	return map[string][]byte{RoutesKey: []byte(routes), PoolsKey: []byte(pools)}
}

// edit replaces the first occurrence of from in each table. At least one table must contain it.
func edit(t *testing.T, from, to string) map[string][]byte {
	t.Helper()
	if !strings.Contains(smallRoutes+smallPools, from) {
		t.Fatalf("%q is in neither table", from)
	}
	return values(strings.Replace(smallRoutes, from, to, 1), strings.Replace(smallPools, from, to, 1))
}

// problems returns the problems of the tables, one per line.
func problems(t *testing.T, v map[string][]byte) []string {
	t.Helper()
	_, err := NewPair(1, v)
	var ps Problems
	if err != nil && !errors.As(err, &ps) {
		t.Fatalf("error has type %T", err)
	}
	var lines []string
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return lines
}

// Each invalid table must be rejected with the position that an operator has to fix. A rule that is not
// checked would activate the mistake on the whole fleet.
func TestProblems(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"syntax", `"pathPrefix": "/a",`, `"pathPrefix" "/a",`, "tables/routes:2:35: invalid character"},
		{"unknown field", `"idempotent"`, `"Idempotent"`, `tables/routes:2:55: unknown field "Idempotent"`},
		{"repeated field", `"idempotent": true`, `"pool": "p"`, `tables/routes:2:55: field "pool" appears twice`},
		{"missing field", `"timeoutMs": 1000, `, ``, `tables/routes:2:3: field "timeoutMs" is missing`},
		{"null", `"floor": 1`, `"floor": null`, "tables/pools:2:26: expected an integer, found null"},
		{"fraction", `"floor": 1`, `"floor": 1.5`, "tables/pools:2:26: 1.5 is not an integer of 64 bits"},
		{"large", `"floor": 1`, `"floor": 1e30`, "tables/pools:2:26: 1e30 is not an integer"},
		{"wrong kind", `"targets": []`, `"targets": {}`, "tables/pools:6:119: expected an array, found an object"},
		{"after the end", "\n]}", "\n]} 1", "invalid character '1' after top-level value"},
		{"nesting", `"targets": []`, `"targets": ` + strings.Repeat("[", 100_000), "tables/pools:6:132: nesting is deeper than 16"},
		{"floor", `"floor": 1`, `"floor": 3`, "tables/pools:2:26: floor 3 is not between 0 and the pool's size of 2"},
		{"negative floor", `"floor": 1`, `"floor": -1`, "tables/pools:2:26: floor -1 "},
		{"slots", `"slots": 4`, `"slots": 0`, "tables/pools:2:38: slots 0 is not between 1 and 1000"},
		{"connections", `"maxConnections": 400`, `"maxConnections": 3`, "tables/pools:2:59: maxConnections 3 is below slots 4"},
		{"hours", `"falseEjectionEveryHours": 100`, `"falseEjectionEveryHours": 0.5`, "falseEjectionEveryHours 0.5 is not between 1 and 1e+06"},
		{"percent", `"retryPercent": 0`, `"retryPercent": 101`, "retryPercent 101 is not between 0 and 100"},
		{"groups", `"fleetGroups": 1`, `"fleetGroups": 0`, "tables/pools:1:17: fleetGroups 0 is not between"},
		{"pool twice", `"name": "q"`, `"name": "p"`, `tables/pools:6:12: name "p" is already used at /pools/0`},
		{"id twice", `"id": "t2"`, `"id": "t1"`, `tables/pools:4:12: id "t1" is already used at /pools/0/targets/0`},
		{"address twice", `127.0.0.1:1002`, `[::ffff:127.0.0.1]:1001`, `tables/pools:4:29: address "127.0.0.1:1001" is already used`},
		{"host name", `127.0.0.1:1002`, `localhost:1002`, "is not an IP address with a port"},
		{"port 0", `127.0.0.1:1002`, `127.0.0.1:0`, "has port 0"},
		{"any address", `127.0.0.1:1002`, `0.0.0.0:1002`, "is not the address of one host"},
		{"missing pool", `"pool": "p"`, `"pool": "r"`, `tables/routes:2:50: pool "r" is not in the pools table`},
		{"route twice", `"name": "order"`, `"name": "lookup"`, `tables/routes:3:12: name "lookup" is already used`},
		{"prefix twice", `"/a/orders"`, `"/a"`, `tables/routes:3:35: pathPrefix "/a" is already used`},
		{"prefix end", `"/a"`, `"/a/"`, `must start with "/" and end without one`},
		{"dot segment", `"/a"`, `"/b/../c"`, "has an empty segment or a dot segment"},
		{"method", `"POST"`, `"post"`, `tables/routes:3:60: method "post" is not a word in capital letters`},
		{"unknown account", `["clerk"]`, `["cleric"]`, `tables/routes:3:95: account "cleric" is not in the routes table's accounts`},
		{"timeout", `"timeoutMs": 1000`, `"timeoutMs": 3600001`, "timeoutMs 3600001 is not between 1 and 3600000"},
		{"token", `9f86d0`, `9F86d0`, "tables/routes:5:36: tokenSha256 is not a SHA-256 in 64 lower-case hex digits"},
		{"name", `"guest"`, `"g\nuest"`, `tables/routes:6:12: name "g\nuest" may hold only letters`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lines := problems(t, edit(t, tt.from, tt.to))
			is.True(len(lines) > 0)
			is.True(strings.Contains(strings.Join(lines, "\n"), tt.want)) // The lines contain want.
		})
	}
}

// All problems of both tables must be reported at once. Otherwise operators would have to publish once
// for each fix.
func TestAllProblems(t *testing.T) {
	is := is.New(t)
	v := edit(t, `"floor": 1`, `"floor": 3`)
	v[PoolsKey] = []byte(strings.Replace(string(v[PoolsKey]), `"slots": 2`, `"slots": 0`, 1))
	v[RoutesKey] = []byte(strings.Replace(smallRoutes, `"pool": "q"`, `"pool": "r"`, 1))
	is.Equal(problems(t, v), []string{
		"tables/pools:2:26: floor 3 is not between 0 and the pool's size of 2",
		"tables/pools:6:38: slots 0 is not between 1 and 1000",
		`tables/routes:3:77: pool "r" is not in the pools table`,
	})
	delete(v, PoolsKey)
	v["tables/notes"] = nil
	is.Equal(problems(t, v), []string{
		"tables/notes: unknown value; expected tables/routes and tables/pools", "tables/pools: value is missing",
	})
	is.Equal(len(problems(t, values(strings.Repeat("[", 20), `{"x": 1}`))), 4) // Nesting, unknown, 2 missing.
}

// The length of a report must stay bounded if every row of a table is invalid.
func TestManyProblems(t *testing.T) {
	is := is.New(t)
	lines := problems(t, values(`{"routes": [`+strings.Repeat("1,", 100_000)+`]}`, smallPools))
	is.Equal(len(lines), maxProblems+1)
}

// Optional fields must get their defaults, and a retryPercent of 0 must stay 0.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	pair, err := NewPair(7, values(smallRoutes, smallPools))
	is.NoErr(err)
	p, q := pair.Pools.Pools[0], pair.Pools.Pools[1]
	is.Equal(pair.Revision, Revision(7))
	is.Equal(*p.Policy.RetryPercent, 0.0)
	is.Equal(*q.Policy.RetryPercent, DefaultRetryPercent)
	is.Equal(p.Policy.SlowFactor, DefaultSlowFactor)
	is.Equal(p.Policy.RampMs, DefaultRampMs)
	is.Equal(p.Policy.QueueLimit, 32) // 4 times 4 slots of 2 targets.
	is.Equal(p.CellSize, DefaultCellSize)
	other := values(smallRoutes+" ", smallPools)
	is.True(pair.Digest != Digest(other)) // Any byte changes the digest.
}

// The example tables must stay valid. Local fleets and process tests start with them.
func TestExamples(t *testing.T) {
	tests := []struct {
		example string
		targets map[PoolName]int
	}{
		{"kiesbank", map[PoolName]int{"bescheid-info": 10, "mengen-buch": 20, "peilung-ablage": 6}},
		{"kruzes", map[PoolName]int{"kat-serviss": 12, "pas-serviss": 18, "mak-serviss": 6}},
	}
	for _, tt := range tests {
		t.Run(tt.example, func(t *testing.T) {
			is := is.New(t)
			directory := "../examples/" + tt.example + "/"
			pair, err := ReadFiles(directory+"routes.json", directory+"pools.json")
			is.NoErr(err)
			is.Equal(len(pair.Pools.Pools), len(tt.targets))
			is.Equal(len(pair.Routes.Routes), len(tt.targets))
			for _, p := range pair.Pools.Pools {
				is.Equal(len(p.Targets), tt.targets[p.Name])
				is.Equal(len(Cells(&p)), 1)
			}
		})
	}
}

// Names become keys of maps that outlive the pair. If a name were a substring of a raw value, it would
// retain the whole value, and every change of the tables would leak up to 1 MB.
func TestNamesDoNotRetainRawValues(t *testing.T) {
	is := is.New(t)
	v := values(smallRoutes, smallPools)
	pair, err := NewPair(1, v)
	is.NoErr(err)
	route, pool := pair.Routes.Routes[1], pair.Pools.Pools[0]
	names := []string{
		string(route.Name), string(route.Pool), route.Methods[0], string(route.Accounts[0]), string(pair.Routes.Accounts[0].Name),
		string(pool.Name), string(pool.Targets[0].ID), pool.Targets[0].Address, string(pool.Targets[0].FailureDomain),
	}
	for _, raw := range v {
		first := uintptr(unsafe.Pointer(unsafe.SliceData(raw)))
		for _, name := range names {
			at := uintptr(unsafe.Pointer(unsafe.StringData(name)))
			is.True(at < first || at >= first+uintptr(len(raw))) // The name is outside the raw value.
		}
	}
}
