package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bilberrywood/bilberrywood/target"
)

// TargetFault is the set of faults of a Target; the zero value is a healthy target.
type TargetFault struct {
	// FailAll responds to all requests with status 500. FailRatio does so for a fraction of them,
	// from 0 to 1.
	FailAll   bool    `json:"failAll,omitempty"`
	FailRatio float64 `json:"failRatio,omitempty"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Hang accepts requests and never responds.
	Hang bool `json:"hang,omitempty"`
	// Truncate ends responses in the middle of the body.
	Truncate bool `json:"truncate,omitempty"`
	// LoseResponse runs requests and closes the connection without a response.
	LoseResponse bool `json:"loseAnswer,omitempty"`
	// CrashOnHeader crashes the target on a request with this header field, given as "Name: value";
	// CrashOnPath on a request with this path.
	CrashOnHeader string `json:"crashOnHeader,omitempty"`
	CrashOnPath   string `json:"crashOnPath,omitempty"`
	// RestartMs is how long the target stays down after a crash, in milliseconds; 0 means forever.
	RestartMs int64 `json:"restartMs,omitempty"`
	// SilentConnections makes the currently open connections silent until they are closed. New
	// connections work.
	SilentConnections bool `json:"silentConnections,omitempty"`
	// BlackholeMs breaks the path to the target for this many milliseconds: the kernel drops
	// everything that arrives for the target, and still sends what the target writes.
	BlackholeMs int64 `json:"cutMs,omitempty"`
	// ForcedProbe replaces the probe result: "ok" or "fail". Empty means the actual result.
	ForcedProbe string `json:"lyingProbe,omitempty"`
	// ForcedLoad replaces the reported load.
	ForcedLoad *int `json:"lyingLoad,omitempty"`
	// Drain announces in every response and probe that the target is draining. The target still
	// runs requests, so that its record shows who ignores the announcement.
	Drain bool `json:"drain,omitempty"`
	// LateResponses ignores cancellation and deadlines, and sends every response a second time on
	// its connection after LateMs milliseconds.
	LateResponses bool  `json:"lateAnswers,omitempty"`
	LateMs        int64 `json:"lateMs,omitempty"`
}

// SetFault replaces the faults. Errors are of class TargetError.
func (t *Target) SetFault(f TargetFault) error { return t.setFault(f, nil) }

// setFault replaces the faults. via is the connection of the control request; it stays usable.
func (t *Target) setFault(f TargetFault, via *targetConn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	if f.SilentConnections {
		t.conns.silence(via)
	}
	if f.BlackholeMs > 0 {
		return t.blackholeLocked(time.Duration(f.BlackholeMs) * time.Millisecond)
	}
	return nil
}

// Fault returns the current faults.
func (t *Target) Fault() TargetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

func (t *Target) getFault(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Fault()) }

func (t *Target) postFault(w http.ResponseWriter, r *http.Request) {
	const maxBodyBytes = 64 << 10
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	var f TargetFault
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.ForcedProbe != "" && f.ForcedProbe != "ok" && f.ForcedProbe != "fail" {
		http.Error(w, fmt.Sprintf("lyingProbe: %q is neither ok nor fail", f.ForcedProbe), http.StatusBadRequest)
		return
	}
	if err := t.setFault(f, requestConn(r)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, f)
}

// crashesOn reports whether a request makes the target crash.
func (f *TargetFault) crashesOn(r *http.Request) bool {
	if f.CrashOnPath != "" && r.URL.Path == f.CrashOnPath {
		return true
	}
	name, value, ok := strings.Cut(f.CrashOnHeader, ":")
	return ok && r.Header.Get(name) == strings.TrimSpace(value)
}

// serveHealth responds to a probe.
func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f := t.Fault()
	time.Sleep(t.ProbeDelay)
	healthy := !f.FailAll && !f.Hang && !f.Truncate && !f.LoseResponse
	if f.ForcedProbe != "" {
		healthy = f.ForcedProbe == "ok"
	}
	if f.Drain {
		w.Header().Set(target.HeaderDraining, "1")
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveLoad responds with the number of active requests.
func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f := t.Fault()
	time.Sleep(t.ProbeDelay)
	loadReport := target.LoadReport{InFlight: len(t.slots)}
	if f.ForcedLoad != nil {
		loadReport.InFlight = *f.ForcedLoad
	}
	writeJSON(w, loadReport)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
