package table

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tailscale/hujson"
)

// Keys of the values that hold the tables, and the key prefix that is read and watched.
const (
	KeyPrefix = "tables/"
	RoutesKey = KeyPrefix + "routes"
	PoolsKey  = KeyPrefix + "pools"
)

// PathMatching says how the path of a request is compared with the prefixes of routes.
type PathMatching uint8

// Ways of comparing paths.
const (
	// MatchSegments compares decoded paths by whole segments: the prefix /a matches /a and /a/b, and not /ab.
	MatchSegments PathMatching = iota
	// MatchLiteral compares paths byte by byte with prefixes that end with a slash: the prefix /a/ matches /a/b,
	// and neither /a nor /ab. The tables may leave out the slash.
	MatchLiteral
)

// NewPair parses and checks the tables. values holds the raw values by key. The Pair retains them, so
// they must not be modified afterwards. The error is of type Problems and holds every problem found,
// including a missing value and a value with an unknown key. Paths are matched by MatchSegments.
func NewPair(revision Revision, values map[string][]byte) (*Pair, error) {
	return newPair(revision, values, MatchSegments)
}

func newPair(revision Revision, values map[string][]byte, paths PathMatching) (*Pair, error) {
	problems := checkKeys(values)
	routes, routesSource, more := parseTable(RoutesKey, values, routesSchema)
	problems = append(problems, more...)
	pools, poolsSource, more := parseTable(PoolsKey, values, poolsSchema)
	problems = append(problems, more...)
	for _, p := range check(routes, pools, paths) {
		s := routesSource
		if p.File == PoolsKey {
			s = poolsSource
		}
		problems = append(problems, s.problem(s.locate(p.Pointer), p.Pointer, p.Reason))
	}
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	for i := range pools.Pools {
		pools.Pools[i].SetDefaults()
	}
	return &Pair{
		Revision: revision, Routes: routes, Pools: pools, Paths: paths,
		Digest: Digest(values), Values: values,
	}, nil
}

// Digest returns the xxhash of the values in the order of their keys.
func Digest(values map[string][]byte) uint64 {
	h := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(values)) {
		_, _ = h.Write(values[key]) // A hash's Write never fails.
	}
	return h.Sum64()
}

// ReadFiles builds a pair from two files, for checks before the tables are published. The problems
// contain the paths of the files.
func ReadFiles(routesPath, poolsPath string) (*Pair, error) {
	paths := map[string]string{RoutesKey: routesPath, PoolsKey: poolsPath}
	values := make(map[string][]byte, len(paths))
	for key, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		values[key] = raw
	}
	pair, err := NewPair(0, values)
	var problems Problems
	if errors.As(err, &problems) {
		for i := range problems {
			problems[i].File = paths[problems[i].File]
		}
	}
	return pair, err
}

// checkKeys reports missing and unknown values. A table that no entry reads would let operators believe
// that it is active.
func checkKeys(values map[string][]byte) Problems {
	var problems Problems
	for _, key := range []string{RoutesKey, PoolsKey} {
		if _, ok := values[key]; !ok {
			problems = append(problems, Problem{File: key, Reason: "value is missing"})
		}
	}
	for key := range values {
		if key != RoutesKey && key != PoolsKey {
			reason := fmt.Sprintf("unknown value; expected %s and %s", RoutesKey, PoolsKey)
			problems = append(problems, Problem{File: key, Reason: reason})
		}
	}
	return problems
}

// parseTable parses the value of the key, if present, into a table of type T. The table is nil if there
// are problems. Checking an incomplete table would report a misspelled field a second time, as an empty
// one.
func parseTable[T any](key string, values map[string][]byte, schema []field[T]) (*T, *source, Problems) {
	raw, ok := values[key]
	if !ok {
		return nil, nil, nil
	}
	s, problems := parseSource(key, raw)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	t := new(T)
	d := decoder{source: s}
	decodeObject(&d, &s.root, schema, t)
	// The tree takes several times the memory of the text. locate parses the text again if it is needed.
	s.root = hujson.Value{}
	if len(d.problems) > 0 {
		return nil, nil, d.problems
	}
	return t, s, nil
}
