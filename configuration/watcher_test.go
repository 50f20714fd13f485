package configuration_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/table"
)

// inProcess calls the stand-in without a network, so that tests can use virtual time.
type inProcess struct {
	service *standin.Platform
	handler http.Handler
}

func (t inProcess) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.service.Fault().Mode == standin.PlatformRefused {
		return nil, syscall.ECONNREFUSED
	}
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// harness is a stand-in and a watcher, with everything that the watcher delivered.
type harness struct {
	*testing.T
	is      *is.I
	service *standin.Platform
	watcher *configuration.Watcher
	mu      sync.Mutex
	tables  []table.Revision
	fleets  []int
	// lists is the number of fleet lists delivered. fleets has the lengths of those that differ from the
	// previous one, in order.
	lists    int
	lastList []configuration.FleetRow
}

func (h *harness) recordFleet(l configuration.FleetList) {
	h.locked(func() {
		h.lists++
		if h.lists > 1 && slices.Equal(l.Entries, h.lastList) {
			return
		}
		h.lastList = l.Entries
		h.fleets = append(h.fleets, len(l.Entries))
	})
}

// runWithWatcher runs f with an active watcher in virtual time.
func runWithWatcher(t *testing.T, f func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{T: t, is: is.New(t), service: &standin.Platform{}}
		client := &configuration.Client{
			URL:  "http://platform",
			HTTP: &http.Client{Transport: inProcess{h.service, h.service.Handler()}},
		}
		h.watcher = &configuration.Watcher{
			Client:     client,
			Random:     func() float64 { return 0.5 },
			OnSnapshot: func(s table.Snapshot) { h.locked(func() { h.tables = append(h.tables, s.Revision) }) },
			OnFleet:    h.recordFleet,
		}
		h.putTables()
		go h.watcher.Run(t.Context())
		h.watcher.SetActive(true)
		synctest.Wait()
		f(h)
		_ = h.watcher.Close()
		_ = h.service.Close()
	})
}

func (h *harness) locked(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// putTables puts both tables at one revision.
func (h *harness) putTables() table.Revision {
	revision, err := h.service.PutAll(map[string][]byte{table.RoutesKey: []byte("{}"), table.PoolsKey: []byte("{}")})
	h.is.NoErr(err)
	return revision
}

func (h *harness) putValue(name string) table.Revision {
	revision, err := h.service.Put(name, []byte("{}"))
	h.is.NoErr(err)
	return revision
}

func (h *harness) setFault(f standin.PlatformFault) { h.is.NoErr(h.service.SetFault(f)) }

// advance sleeps for d and returns the revisions delivered so far.
func (h *harness) advance(d time.Duration) []table.Revision {
	time.Sleep(d)
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tables
}

// A change must be delivered at once, and cost one watch, one value and one index.
func TestWatch(t *testing.T) {
	runWithWatcher(t, func(h *harness) {
		h.is.Equal(h.advance(time.Second), []table.Revision{1})
		before := h.service.Operations()
		h.putValue(table.PoolsKey)
		h.is.Equal(h.advance(time.Millisecond), []table.Revision{1, 2})
		after := h.service.Operations()
		h.is.Equal(after.Value-before.Value, uint64(1))
		h.is.Equal(after.Index-before.Index, uint64(1))
		h.putValue("certificates/x") // Another part of the store does not affect the tables.
		h.is.Equal(h.advance(time.Hour), []table.Revision{1, 2})
		h.putValue(table.RoutesKey)
		h.is.Equal(h.advance(time.Millisecond), []table.Revision{1, 2, 4})
		h.service.Delete(table.RoutesKey) // The deletion must be reported. It must not look like revision 2.
		h.is.Equal(h.advance(time.Second), []table.Revision{1, 2, 4, 5})
		h.putValue(table.RoutesKey)
		h.advance(time.Second)
		h.putValue(table.KeyPrefix + "notes") // An operator's mistake. The tables must be delivered again after its repair.
		h.advance(time.Second)
		h.service.Delete(table.KeyPrefix + "notes")
		h.is.Equal(h.advance(time.Second)[4:], []table.Revision{6, 7, 6})
		h.is.Equal(h.service.Operations().Total, h.watcher.Status().Calls.Total())
	})
}

// maxCallsPerReader is the number of calls per second of each reader if 52 readers share the service's limit
// of 2,000 calls per second.
const maxCallsPerReader = 2000.0 / 52

// A reader must not exceed its part of the rate limit while the tables change all the time, and a tenth
// of it otherwise. The remaining capacity lets the service recover from an outage.
func TestCallRate(t *testing.T) {
	tests := []struct {
		name     string
		mode     standin.PlatformMode
		interval time.Duration // Between changes; 0 means none.
		maxRate  float64       // Calls per second.
	}{
		{"quiet", standin.PlatformUp, 0, maxCallsPerReader / 10},
		{"changing", standin.PlatformUp, 10 * time.Millisecond, maxCallsPerReader},
		{"refused", standin.PlatformRefused, 0, 0},
		{"unavailable", standin.PlatformUnavailable, 0, maxCallsPerReader / 10},
		{"hung", standin.PlatformHung, 0, maxCallsPerReader / 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithWatcher(t, func(h *harness) {
				h.setFault(standin.PlatformFault{Mode: tt.mode})
				const seconds = 600
				time.Sleep(time.Minute) // The backoff reaches its maximum.
				before := h.service.Operations().Total
				for range seconds {
					for d := time.Duration(0); tt.interval > 0 && d < time.Second; d += tt.interval {
						h.putValue(table.PoolsKey)
						time.Sleep(tt.interval)
					}
					if tt.interval == 0 {
						time.Sleep(time.Second)
					}
				}
				rate := float64(h.service.Operations().Total-before) / seconds
				t.Logf("%.2f calls per second", rate)
				h.is.True(rate <= tt.maxRate)
			})
		})
	}
}

// After any outage the newest tables must be read within a few seconds, without a restart.
func TestOutage(t *testing.T) {
	for _, mode := range []standin.PlatformMode{standin.PlatformRefused, standin.PlatformHung, standin.PlatformUnavailable} {
		t.Run(string(mode), func(t *testing.T) {
			runWithWatcher(t, func(h *harness) {
				h.setFault(standin.PlatformFault{Mode: mode})
				h.putValue(table.PoolsKey)
				h.is.Equal(h.advance(3*time.Hour), []table.Revision{1})
				h.is.True(h.watcher.Status().LastError != "")
				h.is.True(time.Since(h.watcher.Status().LastResponse) > 2*time.Hour)
				h.setFault(standin.PlatformFault{})
				h.is.Equal(h.advance(4*time.Second), []table.Revision{1, 2})
				h.is.True(time.Since(h.watcher.Status().LastResponse) < 4*time.Second)
			})
		})
	}
}

// Tables and fleet lists of a lower revision must not be delivered, whether all responses are stale or
// every third one. (If every second one were stale, every watch would reach the stale replica, because
// the watch alternates with the read of the fleet list.)
func TestStale(t *testing.T) {
	for _, every := range []int{1, 3} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			runWithWatcher(t, func(h *harness) {
				h.service.SetFleet([]configuration.FleetRow{newRow("a", "127.0.0.1:1", "live")})
				h.putTables()
				h.is.Equal(h.advance(time.Minute), []table.Revision{1, 3})
				h.setFault(standin.PlatformFault{StaleReads: standin.PlatformStaleReads{Revision: 1, Every: every}})
				h.is.Equal(h.advance(time.Hour), []table.Revision{1, 3})
				h.is.True(h.watcher.Status().Stale > 0)
				h.is.Equal(h.fleets, []int{0, 1}) // The stale list is empty.
				newest := h.putTables()
				if every == 1 {
					h.is.Equal(h.advance(time.Hour), []table.Revision{1, 3})
					h.setFault(standin.PlatformFault{})
				}
				h.is.Equal(h.advance(30*time.Second), []table.Revision{1, 3, newest})
			})
		})
	}
}

// An entry that is no reader must make no calls, except those of PollOnce.
func TestSetActive(t *testing.T) {
	runWithWatcher(t, func(h *harness) {
		time.Sleep(500 * time.Millisecond) // A watch is pending.
		h.watcher.SetActive(false)
		synctest.Wait()
		h.is.Equal(h.service.Operations().Pending, 0)
		before := h.service.Operations().Total
		newest := h.putTables()
		h.is.Equal(h.advance(time.Hour), []table.Revision{1})
		h.is.Equal(h.service.Operations().Total, before)
		h.is.NoErr(h.watcher.PollOnce(h.Context()))
		h.is.Equal(h.advance(0), []table.Revision{1, newest})
		h.putTables()
		h.watcher.SetActive(true)
		h.is.Equal(h.advance(time.Second), []table.Revision{1, newest, newest + 1})
	})
}

func newRow(id fleet.EntryID, peerAddress string, state configuration.EntryState) configuration.FleetRow {
	return configuration.FleetRow{
		ID: id, PeerAddress: peerAddress, CallerAddress: "127.0.0.1:1", FailureDomain: "d", State: state,
	}
}

// The fleet list must be delivered after every read, since an unchanged list is new evidence of which
// entries are absent. An invalid list must not be delivered.
func TestFleetList(t *testing.T) {
	runWithWatcher(t, func(h *harness) {
		lists := [][]configuration.FleetRow{
			{newRow("a", "127.0.0.1:1", "live")},
			{newRow("a", "localhost:1", "live")},
			{newRow("a", "127.0.0.1:1", "gone")},
			{newRow("a", "127.0.0.1:1", "live"), newRow("a", "127.0.0.1:2", "live")},
			{newRow("a", "127.0.0.1:1", "leaving")},
			{},
		}
		for _, l := range lists {
			h.service.SetFleet(l)
			h.advance(20 * time.Second)
		}
		h.is.Equal(h.fleets, []int{0, 1, 1, 0})
		h.is.True(h.lists > 2*len(lists)) // Unchanged lists count too.
	})
}

// Close must end pending calls. It must also work before Run.
func TestClose(t *testing.T) {
	is := is.New(t)
	w := &configuration.Watcher{Client: &configuration.Client{}}
	is.NoErr(w.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	w.Run(ctx)
	is.NoErr(ctx.Err()) // Run returned at once.
}

func newService(t *testing.T) *standin.Platform {
	t.Helper()
	p := &standin.Platform{}
	t.Cleanup(func() { _ = p.Close() })
	return p
}
