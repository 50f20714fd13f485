package standin

import (
	"net/http"
	"sync"
	"time"
)

// maxRuns limits the memory of a record; the oldest runs are removed first.
const maxRuns = 200_000

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunCompleted RunState = "completed"
	// RunFailed means that the target responded with a failure of its own.
	RunFailed   RunState = "failed"
	RunCanceled RunState = "cancelled"
	RunCrashed  RunState = "crashed"
)

// TargetRun is one run of a request.
type TargetRun struct {
	// ID is the request ID; empty if the request has none.
	ID string `json:"id,omitempty"`
	// Sequence is the number of this run at this target, from 1.
	Sequence uint64 `json:"sequence"`
	// RunsWithID is the number of runs with this ID at this target so far, including this one; 0
	// without an ID.
	RunsWithID int      `json:"runs,omitempty"`
	Nonce      string   `json:"nonce,omitempty"`
	Method     string   `json:"method"`
	Path       string   `json:"path"`
	State      RunState `json:"state"`
	Status     int      `json:"status,omitempty"`
	// StartNs and EndNs are wall-clock times in nanoseconds since 1970.
	StartNs int64 `json:"startNs"`
	EndNs   int64 `json:"endNs,omitempty"`
	// BodyBytes and BodySum are the length and the xxhash of the request body as far as it was read.
	BodyBytes int64  `json:"bodyBytes"`
	BodySum   uint64 `json:"bodySum,string"`
	// Draining reports that the run started after the target had announced that it is draining.
	Draining bool `json:"draining,omitempty"`
}

// TargetRecord is the record of the requests that a target ran or refused.
type TargetRecord struct {
	Target string `json:"target"`
	// Shed is the number of requests that were refused and not run.
	Shed uint64 `json:"shed"`
	// PeakConcurrency is the maximum number of concurrent runs.
	PeakConcurrency int `json:"peak"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Runs is ordered by start.
	Runs []TargetRun `json:"runs"`
}

// runRecorder records the runs of a Target.
type runRecorder struct {
	mu       sync.Mutex
	sequence uint64
	shed     uint64
	running  int
	peak     int
	runs     []*TargetRun
	runsByID map[string]int
}

// begin records the start of a run.
func (r *runRecorder) begin(run *TargetRun, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	run.Sequence = r.sequence
	run.StartNs = now.UnixNano()
	run.State = RunRunning
	if run.ID != "" {
		if r.runsByID == nil {
			r.runsByID = make(map[string]int)
		}
		r.runsByID[run.ID]++
		run.RunsWithID = r.runsByID[run.ID]
	}
	r.running++
	r.peak = max(r.peak, r.running)
	r.runs = append(r.runs, run)
	if len(r.runs) > maxRuns {
		r.runs = append([]*TargetRun(nil), r.runs[maxRuns/10:]...)
	}
}

// end records the end of a run, unless it has been recorded already.
func (r *runRecorder) end(run *TargetRun, state RunState, status int, body *bodyHasher, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.State != RunRunning {
		return
	}
	run.State = state
	run.Status = status
	run.EndNs = now.UnixNano()
	run.BodyBytes, run.BodySum = body.length, body.digest.Sum64()
	r.running--
}

// crash ends all active runs.
func (r *runRecorder) crash(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.State == RunRunning {
			run.State = RunCrashed
			run.EndNs = now.UnixNano()
		}
	}
	r.running = 0
}

// countShed counts a request that was shed.
func (r *runRecorder) countShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shed++
}

// Record returns the record of the target, with runs ordered by start. A non-empty id selects the
// runs with this ID.
func (t *Target) Record(id string) TargetRecord {
	t.mu.Lock()
	connections := t.conns.count()
	t.mu.Unlock()
	r := &t.record
	r.mu.Lock()
	defer r.mu.Unlock()
	out := TargetRecord{
		Target: t.ID, Shed: r.shed, PeakConcurrency: r.peak, Connections: connections,
		Runs: make([]TargetRun, 0, len(r.runs)),
	}
	for _, run := range r.runs {
		if id == "" || run.ID == id {
			out.Runs = append(out.Runs, *run)
		}
	}
	return out
}

func (t *Target) getRecord(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, t.Record(r.URL.Query().Get("id")))
}
