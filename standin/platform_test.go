package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

func startPlatform(t *testing.T) *Platform {
	t.Helper()
	directory := t.TempDir()
	p := &Platform{
		Listen: "127.0.0.1:0", ControlListen: "127.0.0.1:0", Revision: 10,
		Files: map[string]string{
			table.RoutesKey: filepath.Join(directory, "routes.json"), table.PoolsKey: filepath.Join(directory, "pools.json"),
		},
	}
	for _, path := range p.Files {
		if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// postControl sends a control request and returns the status.
func postControl(t *testing.T, p *Platform, path, body string) int {
	t.Helper()
	response, err := http.Post(p.ControlURL()+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if responseBody, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusOK {
		t.Logf("%s: %s", path, responseBody)
	}
	return response.StatusCode
}

// Guards the properties of the platform that the entries rely on; without them, the entries would be
// tested against a different service. These are one revision counter for all values, values up to
// 1 MB, and changes of several files at one revision.
func TestPlatformStore(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	c := &configuration.Client{URL: p.URL()}
	index, err := c.Index(t.Context(), table.KeyPrefix)
	is.NoErr(err)
	is.Equal(index, configuration.Index{Revision: 11, Values: []configuration.IndexRow{
		{Name: table.PoolsKey, Revision: 11}, {Name: table.RoutesKey, Revision: 11},
	}})
	is.NoErr(os.WriteFile(p.Files[table.PoolsKey], []byte("{} "), 0o600))
	is.Equal(postControl(t, p, "/control/reload", ""), http.StatusOK)
	raw, revision, err := c.Value(t.Context(), table.PoolsKey)
	is.NoErr(err)
	is.Equal(string(raw), "{} ")
	is.Equal(revision, table.Revision(12))
	is.Equal(postControl(t, p, "/control/put?name=x", strings.Repeat("x", configuration.MaxValueBytes)), http.StatusOK)
	is.Equal(postControl(t, p, "/control/put?name=x", strings.Repeat("x", configuration.MaxValueBytes+1)), http.StatusBadRequest)
	is.Equal(postControl(t, p, "/control/put", "x"), http.StatusBadRequest)
	is.Equal(postControl(t, p, "/control/delete?name=x", ""), http.StatusOK)
	is.Equal(postControl(t, p, "/control/delete?name=x", ""), http.StatusBadRequest)
	is.Equal(p.CurrentRevision(), table.Revision(14))
}

// Guards against faults that have no effect or outlast their end. A waiting watch must count as one
// operation.
func TestPlatformFaults(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	c := &configuration.Client{URL: p.URL(), HTTP: &http.Client{Timeout: 300 * time.Millisecond}}
	rows := `{"entries": [{"id": "a", "peerAddress": "127.0.0.1:1", "callerAddress": "127.0.0.1:2", "failureDomain": "d", "state": "live"},]} // list` + "\n"
	is.Equal(postControl(t, p, "/control/fleet", rows), http.StatusOK)
	for _, mode := range []PlatformMode{PlatformRefused, PlatformHung, PlatformUnavailable} {
		raw, err := json.Marshal(PlatformFault{Mode: mode})
		is.NoErr(err)
		is.Equal(postControl(t, p, "/control/fault", string(raw)), http.StatusOK)
		_, err = c.Fleet(t.Context())
		is.True(err != nil)
		is.Equal(postControl(t, p, "/control/fault", "{}"), http.StatusOK)
		list, err := c.Fleet(t.Context())
		is.NoErr(err)
		is.Equal(len(list.Entries), 1)
	}
	is.Equal(postControl(t, p, "/control/fault", `{"stale": {"revision": 11, "every": 1}}`), http.StatusOK)
	list, err := c.Fleet(t.Context())
	is.NoErr(err)
	is.Equal(list, configuration.FleetList{Revision: 11, Entries: []configuration.FleetRow{}})
	is.Equal(postControl(t, p, "/control/fault", `{"mode": "gone"}`), http.StatusBadRequest)
	before := p.Operations()
	_, err = c.Watch(t.Context(), table.KeyPrefix, 11, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(p.Operations().Total, before.Total+1)
	is.Equal(p.Operations().Watch, before.Watch+1)
}

// Guards against byte strings that are neither refused as a fleet list nor survive a round trip.
func FuzzParseFleet(f *testing.F) {
	f.Add([]byte("{\"entries\": [{\"id\": \"a\", \"state\": \"live\"}, /* c */]} // end\n"))
	f.Add([]byte(`{"entries": null}`))
	f.Add([]byte(`{"entries": [], "x": 1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rows, err := ParseFleet(raw)
		if err != nil {
			return
		}
		reencoded, err := json.Marshal(configuration.FleetList{Entries: rows})
		if err != nil {
			t.Fatal(err)
		}
		var list configuration.FleetList
		if err := json.Unmarshal(reencoded, &list); err != nil || len(list.Entries) != len(rows) {
			t.Fatal(err, list)
		}
	})
}
