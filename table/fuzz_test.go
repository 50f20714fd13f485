package table

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/tailscale/hujson"
)

// Bytes from the platform or a peer must either be rejected, with positions inside the text, or decoded to
// exactly what the standard library decodes them to. A panic would crash every entry of the fleet after one
// publication.
func FuzzNewPair(f *testing.F) {
	seeds := []struct {
		raw     string
		inPools bool
	}{
		{smallRoutes, false},
		{smallPools, true},
		{`{"routes": [], /* c */ "accounts": [{"name": "\u0061", "tokenSha256": ""}],} // end`, false},
		{`{"fleetGroups": 1, "pools": [{"name": "p", "floor": 0, "slots": 1, "maxConnections": 1,
			"policy": {"falseEjectionEveryHours": 1.5e2}, "targets": []}]}`, true},
		{`{"fleetGroups": 1, "pools": [{"policy": null, "targets": [[[[{}]]]]}]}`, true},
		{"{\"routes\": [{\"name\": \"\xff\", \"methods\": [null, 1, \"\\n\"]}]}", false},
	}
	for _, s := range seeds {
		f.Add([]byte(s.raw), s.inPools)
	}
	f.Fuzz(func(t *testing.T, raw []byte, inPools bool) {
		v := values(`{"routes": []}`, smallPools)
		if inPools {
			v[PoolsKey] = raw
		} else {
			v[RoutesKey] = raw
		}
		pair, err := NewPair(1, v)
		if err != nil {
			checkPositions(t, err, v)
			return
		}
		checkPair(t, pair)
	})
}

// checkPair compares a pair with the result of the standard library's decoder. It also builds its router
// and diff.
func checkPair(t *testing.T, pair *Pair) {
	var routes Routes
	var pools Pools
	decodeWithStandardLibrary(t, pair.Values[RoutesKey], &routes)
	decodeWithStandardLibrary(t, pair.Values[PoolsKey], &pools)
	for i := range pools.Pools {
		pools.Pools[i].SetDefaults()
	}
	if !equalJSON(t, *pair.Routes, routes) || !equalJSON(t, *pair.Pools, pools) {
		t.Fatalf("decoded %+v %+v, want %+v %+v", pair.Routes, pair.Pools, routes, pools)
	}
	if problems := Check(pair.Routes, pair.Pools); len(problems) > 0 {
		t.Fatal(problems) // The defaults must be valid.
	}
	NewRouter(pair)
	if changes := Diff(pair, pair); len(changes) > 0 {
		t.Fatal(changes)
	}
}

func checkPositions(t *testing.T, err error, values map[string][]byte) {
	var problems Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("error %v is not a list of problems", err)
	}
	for _, p := range problems {
		lines := bytes.Split(values[p.File], []byte("\n"))
		if p.Line < 0 || p.Line > len(lines) || (p.Line > 0 && (p.Column < 1 || p.Column > len(lines[p.Line-1])+1)) {
			t.Fatalf("position of %v is outside the text", p)
		}
	}
}

func decodeWithStandardLibrary(t *testing.T, raw []byte, to any) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		t.Fatal(err)
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		t.Fatal(err)
	}
}

// equalJSON compares the JSON of two values. It treats an empty list like an absent one.
func equalJSON(t *testing.T, a, b any) bool {
	rawA, errA := json.Marshal(a)
	rawB, errB := json.Marshal(b)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	return bytes.Equal(rawA, rawB)
}
