package configuration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// cannedResponse is a transport that returns the same response to every call.
type cannedResponse struct {
	status int
	header http.Header
	body   io.Reader
}

func (c cannedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: c.status, Header: c.header, Body: io.NopCloser(c.body)}, nil
}

func newClient(transport http.RoundTripper) *configuration.Client {
	return &configuration.Client{URL: "http://platform", HTTP: &http.Client{Transport: transport}}
}

// An invalid response must be an error and count as failed. It must never be taken for a shorter table.
func TestInvalidResponses(t *testing.T) {
	revision := http.Header{configuration.HeaderRevision: {"7"}}
	truncated := io.MultiReader(strings.NewReader("{"), truncatedBody{})
	tests := []struct {
		name     string
		response cannedResponse
	}{
		{"status", cannedResponse{http.StatusServiceUnavailable, revision, strings.NewReader("{}")}},
		{"not found", cannedResponse{http.StatusNotFound, revision, strings.NewReader("{}")}},
		{"no revision", cannedResponse{http.StatusOK, nil, strings.NewReader("{}")}},
		{"negative revision", cannedResponse{http.StatusOK, http.Header{configuration.HeaderRevision: {"-1"}}, strings.NewReader("{}")}},
		{"cut short", cannedResponse{http.StatusOK, revision, truncated}},
		{"too large", cannedResponse{http.StatusOK, revision, strings.NewReader(strings.Repeat(" ", configuration.MaxValueBytes+1))}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(tt.response)
			_, _, err := c.Value(t.Context(), table.RoutesKey)
			is.True(configuration.Error.Has(err))
			is.Equal(c.Counts().Value, uint64(1))
			is.Equal(c.Counts().Failed, uint64(1))
		})
	}
}

// truncatedBody is a body whose connection was lost.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// The client and a real HTTP server must agree on keys, lengths and revisions.
func TestClientOverTCP(t *testing.T) {
	is := is.New(t)
	p := newService(t)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	c := &configuration.Client{URL: server.URL, HTTP: server.Client()}
	raw := []byte(strings.Repeat("x", configuration.MaxValueBytes))
	_, err := p.PutAll(map[string][]byte{table.RoutesKey: raw, table.PoolsKey: []byte("p"), "other/a b?": []byte("o")})
	is.NoErr(err)
	s, index, err := c.ReadSnapshot(t.Context())
	is.NoErr(err)
	is.Equal(s.Revision, index.TablesRevision())
	is.Equal(len(s.Values[table.RoutesKey]), configuration.MaxValueBytes)
	is.Equal(len(s.Values), 2)
	other, revision, err := c.Value(t.Context(), "other/a b?")
	is.NoErr(err)
	is.Equal(string(other)+fmt.Sprint(revision), "o1")
}

// If a load balancer sends every second call to a stale replica, a reader must still get snapshots.
func TestSnapshotOfMixedReplicas(t *testing.T) {
	is := is.New(t)
	p := newService(t)
	for revision := range table.Revision(3) {
		for _, name := range []string{table.PoolsKey, table.RoutesKey} {
			_, err := p.Put(name, fmt.Append(nil, revision))
			is.NoErr(err)
		}
	}
	is.NoErr(p.SetFault(standin.PlatformFault{StaleReads: standin.PlatformStaleReads{Revision: 2, Every: 2}}))
	c := newClient(inProcess{p, p.Handler()})
	for range 4 { // Each read starts at the other replica.
		s, _, err := c.ReadSnapshot(t.Context())
		is.NoErr(err)
		is.Equal(s.Revision, p.CurrentRevision())
		_, _ = c.Fleet(t.Context())
	}
}

// Bytes that are not an index or a fleet list must be rejected without a panic. What is accepted must be
// complete.
func FuzzAnswers(f *testing.F) {
	seeds := []string{
		`{"revision": 7, "values": [{"name": "tables/routes", "revision": 7}, {"name": "tables/pools", "revision": 3}]}`,
		`{"revision": 7, "entries": [{"id": "a", "peerAddress": "127.0.0.1:1", "callerAddress": "[::1]:2", "failureDomain": "d", "state": "live"}]}`,
		`{"entries": [{"id": "", "peerAddress": "x", "state": "gone"}, {}], "more": null}`,
		`[]`, ``, `{"revision": -1}`, `{"revision": 18446744073709551616}`, strings.Repeat(`{"values":[`, 100),
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		client := func() *configuration.Client {
			return newClient(cannedResponse{http.StatusOK, nil, strings.NewReader(string(raw))})
		}
		if index, err := client().Index(t.Context(), ""); err == nil && index.TablesRevision() > index.Revision && len(index.Values) < 2 {
			t.Fatal(index)
		}
		list, err := client().Fleet(t.Context())
		if err != nil {
			return
		}
		for _, e := range list.Entries {
			if e.ID == "" || e.FailureDomain == "" || (e.State != configuration.EntryLive && e.State != configuration.EntryLeaving) {
				t.Fatal(e)
			}
		}
		if _, err := json.Marshal(list); err != nil {
			t.Fatal(err)
		}
	})
}
