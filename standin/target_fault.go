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
	// FailAll answers all work with a status of 500. FailRatio does so for a part, from 0 to 1.
	FailAll   bool    `json:"failAll,omitempty"`
	FailRatio float64 `json:"failRatio,omitempty"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Hang takes work and never answers it.
	Hang bool `json:"hang,omitempty"`
	// Truncate ends answers in the middle of the body.
	Truncate bool `json:"truncate,omitempty"`
	// LoseResponse runs requests and closes the connection without an answer.
	LoseResponse bool `json:"loseAnswer,omitempty"`
	// CrashOnHeader crashes the target at a request with the field, given as "Name: value";
	// CrashOnPath at a request with the path.
	CrashOnHeader string `json:"crashOnHeader,omitempty"`
	CrashOnPath   string `json:"crashOnPath,omitempty"`
	// RestartMs is how long a crash lasts; 0 means for ever.
	RestartMs int64 `json:"restartMs,omitempty"`
	// SilentConnections makes the connections that are open when it is set go silent for good.
	// Connections that are opened later work.
	SilentConnections bool `json:"silentConnections,omitempty"`
	// BlackholeMs cuts the path to the target for a time: the kernel drops all that arrives for it, and
	// sends what the target still has to say.
	BlackholeMs int64 `json:"cutMs,omitempty"`
	// ForcedProbe forces the probe's answer: "ok" or "fail". Empty means the truth.
	ForcedProbe string `json:"lyingProbe,omitempty"`
	// ForcedLoad forces the reported load.
	ForcedLoad *int `json:"lyingLoad,omitempty"`
	// Drain announces in every answer and probe that the target is leaving. It still runs what it
	// is sent, so that the record shows who ignores the signal.
	Drain bool `json:"drain,omitempty"`
	// LateResponses ignores cancellation and deadlines, and sends every answer a second time on its
	// connection, LateMs later.
	LateResponses bool  `json:"lateAnswers,omitempty"`
	LateMs        int64 `json:"lateMs,omitempty"`
}

// SetFault replaces the faults. Errors are of class TargetError.
func (t *Target) SetFault(f TargetFault) error { return t.setFault(f, nil) }

// setFault replaces the faults on an order that came on the connection by, which stays usable.
func (t *Target) setFault(f TargetFault, by *targetConn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	if f.SilentConnections {
		t.conns.silence(by)
	}
	if f.BlackholeMs > 0 {
		return t.cutLocked(time.Duration(f.BlackholeMs) * time.Millisecond)
	}
	return nil
}

// Fault returns the faults in force.
func (t *Target) Fault() TargetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

func (t *Target) getFault(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Fault()) }

func (t *Target) postFault(w http.ResponseWriter, r *http.Request) {
	const maxOrder = 64 << 10
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder))
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
	if err := t.setFault(f, connOf(r)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, f)
}

// crashes says whether a request makes the target crash.
func (f *TargetFault) crashes(r *http.Request) bool {
	if f.CrashOnPath != "" && r.URL.Path == f.CrashOnPath {
		return true
	}
	name, value, ok := strings.Cut(f.CrashOnHeader, ":")
	return ok && r.Header.Get(name) == strings.TrimSpace(value)
}

// health answers a probe.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
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

// load answers with the number of requests in service.
func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	f := t.Fault()
	time.Sleep(t.ProbeDelay)
	report := target.LoadReport{InFlight: len(t.slots)}
	if f.ForcedLoad != nil {
		report.InFlight = *f.ForcedLoad
	}
	writeJSON(w, report)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has gone
}
