package standin

import (
	"net/http"
	"sync"
	"time"
)

// maxRuns bounds the memory of a record; the oldest runs are forgotten first.
const maxRuns = 200_000

// RunState is how a run ended.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunCompleted RunState = "completed"
	// RunFailed is a run that was answered with a failure of the target.
	RunFailed    RunState = "failed"
	RunCancelled RunState = "cancelled"
	RunCrashed   RunState = "crashed"
)

// TargetRun is one run of a request.
type TargetRun struct {
	// ID is the request's run id; empty if it had none.
	ID string `json:"id,omitempty"`
	// Sequence counts the runs of this target from 1.
	Sequence uint64 `json:"sequence"`
	// RunsWithID counts the runs of this id at this target so far, with this one; 0 without an id.
	RunsWithID int      `json:"runs,omitempty"`
	Nonce      string   `json:"nonce,omitempty"`
	Method     string   `json:"method"`
	Path       string   `json:"path"`
	State      RunState `json:"state"`
	Status     int      `json:"status,omitempty"`
	// StartNs and EndNs are times of the wall clock in nanoseconds since 1970.
	StartNs int64 `json:"startNs"`
	EndNs   int64 `json:"endNs,omitempty"`
	// BodyBytes and BodySum are the length and the xxhash of the request's body as far as read.
	BodyBytes int64  `json:"bodyBytes"`
	BodySum   uint64 `json:"bodySum,string"`
	// Draining says that the run began after the target had announced that it is leaving.
	Draining bool `json:"draining,omitempty"`
}

// TargetRecord is what a target ran.
type TargetRecord struct {
	Target string `json:"target"`
	// Shed counts requests that were refused and not run.
	Shed uint64 `json:"shed"`
	// PeakConcurrency is the most runs at one time.
	PeakConcurrency int `json:"peak"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// Runs is in the order of starts.
	Runs []TargetRun `json:"runs"`
}

// targetRecord keeps the runs of a Target.
type targetRecord struct {
	mu       sync.Mutex
	sequence uint64
	shed     uint64
	running  int
	peak     int
	runs     []*TargetRun
	perID    map[string]int
}

// begin notes that a run starts.
func (t *targetRecord) begin(run *TargetRun, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	run.Sequence = t.sequence
	run.StartNs = now.UnixNano()
	run.State = RunRunning
	if run.ID != "" {
		if t.perID == nil {
			t.perID = make(map[string]int)
		}
		t.perID[run.ID]++
		run.RunsWithID = t.perID[run.ID]
	}
	t.running++
	t.peak = max(t.peak, t.running)
	t.runs = append(t.runs, run)
	if len(t.runs) > maxRuns {
		t.runs = append([]*TargetRun(nil), t.runs[maxRuns/10:]...)
	}
}

// end notes how a run ended, unless it is noted already.
func (t *targetRecord) end(run *TargetRun, state RunState, status int, body *bodySum, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.State != RunRunning {
		return
	}
	run.State = state
	run.Status = status
	run.EndNs = now.UnixNano()
	run.BodyBytes, run.BodySum = body.bytes, body.digest.Sum64()
	t.running--
}

// crash ends all runs.
func (t *targetRecord) crash(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range t.runs {
		if run.State == RunRunning {
			run.State = RunCrashed
			run.EndNs = now.UnixNano()
		}
	}
	t.running = 0
}

// refuse counts a request that was shed.
func (t *targetRecord) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed++
}

// Record returns what the target ran, in the order of starts. A non-empty id selects its runs.
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
