package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/entry"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
)

// Tables of the fake entries.
const (
	routesText = `{"routes": [{"name": "lookup", "pathPrefix": "/lookup", "pool": "info", "timeoutMs": 1000, "maxBodyBytes": 0}]}`
	poolsText  = `{"fleetGroups": 1, "pools": [{"name": "info", "floor": 1, "slots": 4, "maxConnections": 40,
		"policy": {"falseEjectionEveryHours": 100},
		"targets": [{"id": "info-1", "address": "10.0.0.1:80", "failureDomain": "a"}]}]}`
)

var started = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

// fakeEntry stands in for the operators' endpoint of an entry.
type fakeEntry struct {
	status        entry.Status
	members       []fleet.Member
	cells         []entry.CellStatus
	routes, pools string
	explanation   entry.Explanation
	metrics       string
	log           []string
	// streams holds the bodies of successive responses to requests that follow the log. Later responses stay
	// open without a byte.
	streams []string
	// hang leaves every request without a response; flapping raises the revision at every read of a table.
	hang, flapping bool
}

// newFakeEntry returns an entry with active tables that have one cell, which the entry does not own.
func newFakeEntry(id fleet.EntryID) *fakeEntry {
	digest := table.Digest(map[string][]byte{table.RoutesKey: []byte(routesText), table.PoolsKey: []byte(poolsText)})
	return &fakeEntry{
		status: entry.Status{Entry: id, State: "serving", Revision: 7, Digest: digest, InForceSince: started, Started: started},
		routes: routesText, pools: poolsText, metrics: `{"refused.noRoute": {"count": 2}, "tick": {"mean": 1.5}}`,
		cells: []entry.CellStatus{{
			Cell: fleet.CellKey{Pool: "info"}, Ownership: "notOwner",
			Report: pool.Report{Targets: []pool.TargetReport{{ID: "info-1", State: pool.TargetServing}}},
		}},
		explanation: entry.Explanation{
			Route: "lookup", Pool: "info", Revision: 7,
			Cells: []entry.CellOwner{{Cell: fleet.CellKey{Pool: "info"}, Owner: "e1"}},
		},
	}
}

// ServeHTTP implements http.Handler.
func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, isTable := strings.CutPrefix(r.URL.Path, "/v1/tables/")
	if f.flapping && isTable {
		f.status.Revision++
	}
	responses := map[string]any{
		"/v1/status": f.status, "/v1/members": f.members, "/v1/cells": f.cells,
		"/v1/explain": f.explanation, "/metrics": json.RawMessage(f.metrics),
	}
	switch {
	case isTable && f.status.Revision == 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"message": "no tables are in force yet"}`)
	case isTable:
		_, _ = io.WriteString(w, map[string]string{"routes": f.routes, "pools": f.pools}[name])
	case r.URL.Path == "/v1/log":
		_, _ = io.WriteString(w, strings.Join(f.log, ""))
	default:
		_ = json.NewEncoder(w).Encode(responses[r.URL.Path])
	}
}

// fakeNetwork maps addresses to fake entries. It passes requests on without sockets, so that tests can run in
// virtual time. Other addresses refuse connections.
type fakeNetwork map[string]*fakeEntry

// RoundTrip implements http.RoundTripper.
func (n fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	f := n[r.URL.Host]
	switch {
	case f == nil:
		return nil, errors.New("connection refused")
	case f.hang:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case r.URL.Query().Get("follow") != "":
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(f.stream(r))}, nil
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w.Result(), nil
}

// stream returns the body of the next response to a request that follows the log.
func (f *fakeEntry) stream(r *http.Request) io.Reader {
	if len(f.streams) == 0 {
		return blockingBody{r}
	}
	s := f.streams[0]
	f.streams = f.streams[1:]
	return strings.NewReader(s)
}

// blockingBody is a response body without a byte that stays open until the request is canceled.
type blockingBody struct{ r *http.Request }

// Read implements io.Reader.
func (b blockingBody) Read([]byte) (int, error) {
	<-b.r.Context().Done()
	return 0, b.r.Context().Err()
}

// client returns a client for the addresses, given as "entry@address" or "address".
func (n fakeNetwork) client(addresses ...string) *Client {
	c := &Client{HTTP: &http.Client{Transport: n}}
	for _, text := range addresses {
		id, address, ok := strings.Cut(text, "@")
		if !ok {
			id, address = "", text
		}
		c.Addresses = append(c.Addresses, Address{Entry: fleet.EntryID(id), Address: address})
	}
	return c
}

// renderText returns the result as text.
func renderText(r Result) string {
	var b strings.Builder
	if err := Write(&b, r, false); err != nil {
		return "error: " + err.Error()
	}
	return b.String()
}

// writeFiles writes files into a directory; contents maps their names to their texts.
func writeFiles(dir string, contents map[string]string) error {
	for name, text := range contents {
		if err := os.WriteFile(dir+"/"+name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
