package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/notice"
	"github.com/bilberrywood/bilberrywood/target"
)

// fakeEntry responds to requests by a script with one step per request. Its address response has
// one address per step.
type fakeEntry struct {
	server        *httptest.Server
	closedAddress string
	steps         []string

	mu sync.Mutex
	// ids are the IDs of the received requests, in order.
	ids             []string
	addressRequests int
}

// startEntry starts an entry with a script. A step is "dead" for an address that nobody listens on,
// "drop" for a connection closed after the request has arrived, "hang" for no response, "cut" for
// half a response, or an outcome and a status.
func startEntry(t testing.TB, steps ...string) *fakeEntry {
	f := &fakeEntry{steps: steps}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.closedAddress = l.Addr().String()
	_ = l.Close()
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeEntry) address() string { return f.server.Listener.Addr().String() }

// ServeHTTP implements http.Handler.
func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == addressPath {
		f.addressRequests++
		_ = json.NewEncoder(w).Encode(f.addresses())
		return
	}
	f.ids = append(f.ids, r.Header.Get(target.HeaderID))
	step := "drop"
	for len(f.steps) > 0 && f.steps[0] == "dead" {
		f.steps = f.steps[1:]
	}
	if len(f.steps) > 0 {
		step, f.steps = f.steps[0], f.steps[1:]
	}
	f.respond(w, r, step)
}

func (f *fakeEntry) respond(w http.ResponseWriter, r *http.Request, step string) {
	switch step {
	case "drop":
		panic(http.ErrAbortHandler)
	case "hang":
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
		panic(http.ErrAbortHandler)
	case "cut":
		w.Header().Set(HeaderOutcome, string(OutcomeRun))
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	}
	var outcome string
	var status int
	_, _ = fmt.Sscan(step, &outcome, &status)
	w.Header().Set(HeaderOutcome, outcome)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, step)
}

// addresses returns an address response with one entry per step.
func (f *fakeEntry) addresses() *Addresses {
	a := &Addresses{ValidForMs: 15_000, Revision: 1}
	for i, step := range f.steps {
		address := f.address()
		if step == "dead" {
			address = f.closedAddress
		}
		binding := notice.Binding{Entry: fleet.EntryID(fmt.Sprintf("e%d", i+1)), Incarnation: 255, Epoch: 3}
		a.Entries = append(a.Entries, Address{Binding: binding, Address: address})
	}
	return a
}

// Guards against giving up although a retry is safe, against unsafe retries, against a new ID while
// the request with the previous one may have run, and against a wrong "not run".
func TestAttempts(t *testing.T) {
	tests := []struct {
		steps string
		want  Outcome
		// lookup is the number of attempts of an idempotent request; 0 skips it.
		lookup int
		// ids lists the entries that the IDs of a non-idempotent request are bound to, in order of
		// arrival; equal names mean equal IDs.
		ids string
	}{
		{"run 200", OutcomeRun, 1, "e1"},
		{"run 500", OutcomeRun, 1, "e1"},
		{"drop,run 200", OutcomeRun, 2, "e1 e1"},
		{"cut,run 200", OutcomeRun, 2, "e1 e1"},
		{"dead,run 200", OutcomeRun, 2, "e2"},
		{"dead,dead", OutcomeNotRun, 8, ""},
		{"notRun 503,run 200", OutcomeRun, 2, "e1 e2"},
		{"notRun 404,run 200", OutcomeNotRun, 1, "e1"},
		{"unknown 504,run 200", OutcomeRun, 2, "e1 e1"},
		{"drop,notRun 503,run 200", OutcomeRun, 3, "e1 e1 e1"},
		{"drop,notRun 403,run 200", OutcomeUnknown, 2, "e1 e1"},
		{"drop,dead,notRun 503,drop", OutcomeUnknown, 0, "e1 e1 e1"},
		{"bad 200,run 200", OutcomeRun, 2, "e1 e1"},
	}
	for _, test := range tests {
		t.Run(test.steps, func(t *testing.T) {
			is := is.New(t)
			if test.lookup > 0 {
				c := &Caller{Entries: []string{startEntry(t, strings.Split(test.steps, ",")...).address()}, InitialBackoff: time.Millisecond}
				r := c.Do(t.Context(), &Request{Route: "r", Method: http.MethodGet, Path: "/a"})
				is.Equal(r.Outcome, test.want)
				is.Equal(len(r.Attempts), test.lookup)
				is.Equal(r.ID, "")
			}
			f := startEntry(t, strings.Split(test.steps, ",")...)
			c := &Caller{Entries: []string{f.address()}, InitialBackoff: time.Millisecond}
			r := c.Do(t.Context(), newNotice())
			is.Equal(r.Outcome, test.want)
			is.Equal(boundEntries(t, f.ids), test.ids)
			is.Equal(len(r.Attempts) > 0 && r.ID == "", len(f.ids) == 0 || r.Outcome == OutcomeNotRun && r.Response == nil)
		})
	}
}

func newNotice() *Request {
	return &Request{
		Route: "r", Method: http.MethodPost, Path: "/a", ContentLength: 1,
		GetBody: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader("x")), nil },
	}
}

// boundEntries returns the entries that ids are bound to. It fails the test if one entry has two IDs.
func boundEntries(t *testing.T, ids []string) string {
	t.Helper()
	var names []string
	seen := make(map[string]string)
	for _, id := range ids {
		name, rest, _ := strings.Cut(id, ".")
		if old, ok := seen[name]; ok && old != id || !strings.HasPrefix(rest, "ff.3.") {
			t.Errorf("entry %s has the ids %s and %s", name, old, id)
		}
		seen[name] = id
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// Guards the rule that a refusal means "not run" only if no attempt was lost before it. With the
// rule disabled, a request that may have run gets a second ID.
func TestNotRunAfterLostAttempt(t *testing.T) {
	is := is.New(t)
	f := startEntry(t, "drop", "notRun 503", "run 200")
	c := &Caller{Entries: []string{f.address()}, InitialBackoff: time.Millisecond, trustNotRun: true}
	is.Equal(c.Do(t.Context(), newNotice()).Outcome, OutcomeRun)
	is.Equal(boundEntries(t, f.ids), "e1 e1 e3") // the faulty variant is detected
}

// Guards against waiting for an entry that doesn't respond, against closing the connection of a
// non-idempotent request early, and against a retry with a new ID.
func TestWaiting(t *testing.T) {
	is := is.New(t)
	f := startEntry(t, "hang", "run 200")
	c := &Caller{Entries: []string{f.address()}, ResponseHeaderTimeout: 20 * time.Millisecond}
	is.Equal(c.Do(t.Context(), &Request{Route: "r", Method: http.MethodGet, Path: "/"}).Outcome, OutcomeRun)

	f = startEntry(t, "hang", "run 200")
	c = &Caller{Entries: []string{f.address()}, ResponseHeaderTimeout: 20 * time.Millisecond}
	request := newNotice()
	request.Deadline = time.Now().Add(200 * time.Millisecond)
	result := c.Do(t.Context(), request)
	is.Equal(result.Outcome, OutcomeUnknown)
	is.Equal(len(result.Attempts), 1) // closing the connection earlier would have canceled the run
	is.True(result.ID != "")

	request = newNotice()
	request.ID = result.ID
	is.Equal(c.Do(t.Context(), request).Outcome, OutcomeRun)
	is.Equal(boundEntries(t, f.ids), "e1 e1") // the retry has the same ID
}

// Guards against requesting addresses for each request, and against storing them forever.
func TestAddressesAreStored(t *testing.T) {
	is := is.New(t)
	f := startEntry(t, "run 200", "run 200", "run 200", "run 200")
	c := &Caller{Entries: []string{f.closedAddress, f.address()}}
	for range 3 {
		is.Equal(c.Do(t.Context(), &Request{Route: "r", Method: http.MethodGet, Path: "/"}).Outcome, OutcomeRun)
	}
	is.Equal(f.addressRequests, 1)
	c.expireAddresses("r")
	is.Equal(c.Do(t.Context(), &Request{Route: "r", Method: http.MethodGet, Path: "/"}).Outcome, OutcomeRun)
	is.Equal(f.addressRequests, 2)
}

// Guards against address responses and outcome fields that crash the caller or exceed its limits.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte(`{"entries":[{"entry":"e1","incarnation":1,"epoch":2,"address":"10.0.0.1:80"}],"validForMs":15000}`), "run")
	f.Add([]byte(`{"entries":[]}`), "notRun")
	f.Add([]byte(`{"entries":[{"entry":"a b","address":"host:80"}],"validForMs":-1}`), "x, run")
	f.Fuzz(func(t *testing.T, body []byte, outcome string) {
		if a, err := ParseAddresses(body); err == nil {
			if len(a.Entries) == 0 || len(a.Entries) > maxAddresses || a.ValidForMs < 0 || a.ValidForMs > maxAddressTTL.Milliseconds() {
				t.Errorf("%+v is out of bounds", a)
			}
			if id := NewID(a.Entries[0].Binding); strings.ContainsAny(id, "\r\n ") {
				t.Errorf("id %q breaks a header", id)
			}
		}
		switch ParseOutcome(http.Header{HeaderOutcome: {outcome}}) {
		case Outcome(outcome), OutcomeUnknown:
		default:
			t.Errorf("%q counts as another outcome", outcome)
		}
	})
}
