package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywood/bilberrywood/configuration"
	"github.com/bilberrywood/bilberrywood/table"
)

// maxWatchWait bounds how long a watch may wait.
const maxWatchWait = time.Minute

// platformCall is one call of the service after its faults were applied.
type platformCall struct {
	w http.ResponseWriter
	r *http.Request
	// nth counts all calls; it decides which of them get a stale answer.
	nth uint64
}

func (p *Platform) serviceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+configuration.PathIndex, p.operation(operationIndex, p.getIndex))
	mux.Handle("GET "+configuration.PathValues+"{name...}", p.operation(operationValue, p.getValue))
	mux.Handle("GET "+configuration.PathWatch, p.operation(operationWatch, p.getWatch))
	mux.Handle("GET "+configuration.PathFleet, p.operation(operationFleet, p.getFleet))
	mux.Handle("/control/", p.controlHandler())
	return mux
}

// operation counts a call and applies the faults before it is answered.
func (p *Platform) operation(kind string, answer func(platformCall)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nth := p.count.begin(kind, time.Now())
		defer p.count.end()
		if !p.applyFault(w, r) {
			return
		}
		answer(platformCall{w, r, nth})
	})
}

func (p *Platform) getIndex(c platformCall) {
	view, _ := p.view(c.nth)
	platformJSON(c.w, view.index(c.r.URL.Query().Get(configuration.ParamPrefix)))
}

func (p *Platform) getValue(c platformCall) {
	view, _ := p.view(c.nth)
	value, ok := view.values[c.r.PathValue("name")]
	if !ok {
		http.Error(c.w, "no such value", http.StatusNotFound)
		return
	}
	c.w.Header().Set(configuration.HeaderRevision, strconv.FormatUint(uint64(value.revision), 10))
	c.w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = c.w.Write(value.raw) // A client that has gone away needs no answer.
}

func (p *Platform) getFleet(c platformCall) {
	view, _ := p.view(c.nth)
	rows := view.fleet
	if rows == nil {
		rows = []configuration.FleetRow{}
	}
	platformJSON(c.w, configuration.FleetList{Revision: view.revision, Entries: rows})
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
	if view := p.await(c, prefix, table.Revision(after), wait); view != nil {
		platformJSON(c.w, view.index(prefix))
	}
}

// await returns the view in which a value under prefix has changed after the revision, or the view at
// the end of wait; nil if the call can't be answered any more.
func (p *Platform) await(c platformCall, prefix string, after table.Revision, wait time.Duration) *platformView {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		view, changed := p.view(c.nth)
		if view.changedAt(prefix) > after {
			return view
		}
		select {
		case <-limit.C:
			return view
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

// platformJSON answers with v in JSON.
func platformJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A client that has gone away needs no answer.
}
