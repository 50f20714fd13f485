package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxWatchWait is the longest wait that a watch may request.
const maxWatchWait = time.Minute

// platformCall is one call of the service, after its faults have been applied.
type platformCall struct {
	w http.ResponseWriter
	r *http.Request
	// number is the sequence number of the call; it selects the calls with a stale response.
	number uint64
}

func (p *Platform) serviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+configuration.PathIndex, p.handleOperation(operationIndex, p.getIndex))
	mux.Handle("GET "+configuration.PathValues+"{name...}", p.handleOperation(operationValue, p.getValue))
	mux.Handle("GET "+configuration.PathWatch, p.handleOperation(operationWatch, p.getWatch))
	mux.Handle("GET "+configuration.PathFleet, p.handleOperation(operationFleet, p.getFleet))
	mux.Handle("/control/", p.controlHandler())
	return mux
}

// handleOperation returns a handler that counts a call and applies the faults before it calls respond.
func (p *Platform) handleOperation(kind string, respond func(platformCall)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callNumber := p.operations.begin(kind, time.Now())
		defer p.operations.end()
		if !p.applyFault(w, r) {
			return
		}
		respond(platformCall{w, r, callNumber})
	})
}

func (p *Platform) getIndex(c platformCall) {
	snapshot, _ := p.snapshotFor(c.number)
	writePlatformJSON(c.w, snapshot.index(c.r.URL.Query().Get(configuration.ParamPrefix)))
}

func (p *Platform) getValue(c platformCall) {
	snapshot, _ := p.snapshotFor(c.number)
	value, ok := snapshot.values[c.r.PathValue("name")]
	if !ok {
		http.Error(c.w, "no such value", http.StatusNotFound)
		return
	}
	c.w.Header().Set(configuration.HeaderRevision, strconv.FormatUint(uint64(value.revision), 10))
	c.w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = c.w.Write(value.raw) // A client that has disconnected needs no response.
}

func (p *Platform) getFleet(c platformCall) {
	snapshot, _ := p.snapshotFor(c.number)
	rows := snapshot.fleet
	if rows == nil {
		rows = []configuration.FleetRow{}
	}
	writePlatformJSON(c.w, configuration.FleetList{Revision: snapshot.revision, Entries: rows})
}

func (p *Platform) getWatch(c platformCall) {
	query := c.r.URL.Query()
	after, err := strconv.ParseUint(query.Get(configuration.ParamAfter), 10, 64)
	if err != nil {
		http.Error(c.w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get(configuration.ParamWait))
	if err != nil || wait < 0 || wait > maxWatchWait {
		http.Error(c.w, "wait is not a duration up to "+maxWatchWait.String(), http.StatusBadRequest)
		return
	}
	prefix := query.Get(configuration.ParamPrefix)
	if snapshot := p.waitForChange(c, prefix, table.Revision(after), wait); snapshot != nil {
		writePlatformJSON(c.w, snapshot.index(prefix))
	}
}

// waitForChange waits until a value under prefix has changed after the given revision, and returns
// the snapshot with the change. At the end of wait it returns the current snapshot, and nil if the
// call can't get a response any more.
func (p *Platform) waitForChange(c platformCall, prefix string, after table.Revision, wait time.Duration) *platformSnapshot {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed := p.snapshotFor(c.number)
		if snapshot.changedAt(prefix) > after {
			return snapshot
		}
		select {
		case <-timer.C:
			return snapshot
		case <-c.r.Context().Done():
			return nil
		case <-p.closed:
			return nil
		case <-changed:
		}
		if !p.applyFault(c.w, c.r) {
			return nil
		}
	}
}

// writePlatformJSON responds with v in JSON.
func writePlatformJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A client that has disconnected needs no response.
}
