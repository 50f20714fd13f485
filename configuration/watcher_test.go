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

func (w *harness) recordFleet(l configuration.FleetList) {
	w.locked(func() {
		w.lists++
		if w.lists > 1 && slices.Equal(l.Entries, w.lastList) {
			return
		}
		w.lastList = l.Entries
		w.fleets = append(w.fleets, len(l.Entries))
	})
}

// runWithWatcher runs f with an active watcher in virtual time.
func runWithWatcher(t *testing.T, f func(w *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &harness{T: t, is: is.New(t), service: &standin.Platform{}}
		client := &configuration.Client{
			URL:  "http://platform",
			HTTP: &http.Client{Transport: inProcess{w.service, w.service.Handler()}},
		}
		w.watcher = &configuration.Watcher{
			Client:     client,
			Random:     func() float64 { return 0.5 },
			OnSnapshot: func(s table.Snapshot) { w.locked(func() { w.tables = append(w.tables, s.Revision) }) },
			OnFleet:    w.recordFleet,
		}
		w.putTables()
		go w.watcher.Run(t.Context())
		w.watcher.SetActive(true)
		synctest.Wait()
		f(w)
		_ = w.watcher.Close()
		_ = w.service.Close()
	})
}

func (w *harness) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// putTables puts both tables at one revision.
func (w *harness) putTables() table.Revision {
	revision, err := w.service.PutAll(map[string][]byte{table.RoutesKey: []byte("{}"), table.PoolsKey: []byte("{}")})
	w.is.NoErr(err)
	return revision
}

func (w *harness) putValue(name string) table.Revision {
	revision, err := w.service.Put(name, []byte("{}"))
	w.is.NoErr(err)
	return revision
}

func (w *harness) setFault(f standin.PlatformFault) { w.is.NoErr(w.service.SetFault(f)) }

// advance sleeps for d and returns the revisions delivered so far.
func (w *harness) advance(d time.Duration) []table.Revision {
	time.Sleep(d)
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tables
}

// A change must be delivered at once, and cost one watch, one value and one index.
func TestWatch(t *testing.T) {
	runWithWatcher(t, func(w *harness) {
		w.is.Equal(w.advance(time.Second), []table.Revision{1})
		before := w.service.Operations()
		w.putValue(table.PoolsKey)
		w.is.Equal(w.advance(time.Millisecond), []table.Revision{1, 2})
		after := w.service.Operations()
		w.is.Equal(after.Value-before.Value, uint64(1))
		w.is.Equal(after.Index-before.Index, uint64(1))
		w.putValue("certificates/x") // Another part of the store does not affect the tables.
		w.is.Equal(w.advance(time.Hour), []table.Revision{1, 2})
		w.putValue(table.RoutesKey)
		w.is.Equal(w.advance(time.Millisecond), []table.Revision{1, 2, 4})
		w.service.Delete(table.RoutesKey) // The deletion must be reported. It must not look like revision 2.
		w.is.Equal(w.advance(time.Second), []table.Revision{1, 2, 4, 5})
		w.putValue(table.RoutesKey)
		w.advance(time.Second)
		w.putValue(table.KeyPrefix + "notes") // An operator's mistake. The tables must be delivered again after its repair.
		w.advance(time.Second)
		w.service.Delete(table.KeyPrefix + "notes")
		w.is.Equal(w.advance(time.Second)[4:], []table.Revision{6, 7, 6})
		w.is.Equal(w.service.Operations().Total, w.watcher.Status().Calls.Total())
	})
}

// Calls per second of each reader if 52 readers share the service's limit of 2,000 calls per second.
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
			runWithWatcher(t, func(w *harness) {
				w.setFault(standin.PlatformFault{Mode: tt.mode})
				const seconds = 600
				time.Sleep(time.Minute) // The backoff reaches its maximum.
				before := w.service.Operations().Total
				for range seconds {
					for d := time.Duration(0); tt.interval > 0 && d < time.Second; d += tt.interval {
						w.putValue(table.PoolsKey)
						time.Sleep(tt.interval)
					}
					if tt.interval == 0 {
						time.Sleep(time.Second)
					}
				}
				rate := float64(w.service.Operations().Total-before) / seconds
				t.Logf("%.2f calls per second", rate)
				w.is.True(rate <= tt.maxRate)
			})
		})
	}
}

// After any outage the newest tables must be read within a few seconds, without a restart.
func TestOutage(t *testing.T) {
	for _, mode := range []standin.PlatformMode{standin.PlatformRefused, standin.PlatformHung, standin.PlatformUnavailable} {
		t.Run(string(mode), func(t *testing.T) {
			runWithWatcher(t, func(w *harness) {
				w.setFault(standin.PlatformFault{Mode: mode})
				w.putValue(table.PoolsKey)
				w.is.Equal(w.advance(3*time.Hour), []table.Revision{1})
				w.is.True(w.watcher.Status().LastError != "")
				w.is.True(time.Since(w.watcher.Status().LastResponse) > 2*time.Hour)
				w.setFault(standin.PlatformFault{})
				w.is.Equal(w.advance(4*time.Second), []table.Revision{1, 2})
				w.is.True(time.Since(w.watcher.Status().LastResponse) < 4*time.Second)
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
			runWithWatcher(t, func(w *harness) {
				w.service.SetFleet([]configuration.FleetRow{newRow("a", "127.0.0.1:1", "live")})
				w.putTables()
				w.is.Equal(w.advance(time.Minute), []table.Revision{1, 3})
				w.setFault(standin.PlatformFault{StaleReads: standin.PlatformStaleReads{Revision: 1, Every: every}})
				w.is.Equal(w.advance(time.Hour), []table.Revision{1, 3})
				w.is.True(w.watcher.Status().Stale > 0)
				w.is.Equal(w.fleets, []int{0, 1}) // The stale list is empty.
				newest := w.putTables()
				if every == 1 {
					w.is.Equal(w.advance(time.Hour), []table.Revision{1, 3})
					w.setFault(standin.PlatformFault{})
				}
				w.is.Equal(w.advance(30*time.Second), []table.Revision{1, 3, newest})
			})
		})
	}
}

// An entry that is no reader must make no calls, except those of PollOnce.
func TestSetActive(t *testing.T) {
	runWithWatcher(t, func(w *harness) {
		time.Sleep(500 * time.Millisecond) // A watch is pending.
		w.watcher.SetActive(false)
		synctest.Wait()
		w.is.Equal(w.service.Operations().Pending, 0)
		before := w.service.Operations().Total
		newest := w.putTables()
		w.is.Equal(w.advance(time.Hour), []table.Revision{1})
		w.is.Equal(w.service.Operations().Total, before)
		w.is.NoErr(w.watcher.PollOnce(w.Context()))
		w.is.Equal(w.advance(0), []table.Revision{1, newest})
		w.putTables()
		w.watcher.SetActive(true)
		w.is.Equal(w.advance(time.Second), []table.Revision{1, newest, newest + 1})
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
	runWithWatcher(t, func(w *harness) {
		lists := [][]configuration.FleetRow{
			{newRow("a", "127.0.0.1:1", "live")},
			{newRow("a", "localhost:1", "live")},
			{newRow("a", "127.0.0.1:1", "gone")},
			{newRow("a", "127.0.0.1:1", "live"), newRow("a", "127.0.0.1:2", "live")},
			{newRow("a", "127.0.0.1:1", "leaving")},
			{},
		}
		for _, l := range lists {
			w.service.SetFleet(l)
			w.advance(20 * time.Second)
		}
		w.is.Equal(w.fleets, []int{0, 1, 1, 0})
		w.is.True(w.lists > 2*len(lists)) // Unchanged lists count too.
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
