package configuration

import (
	"sync"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Status is the state of a Watcher or StoreWatcher, for operators.
type Status struct {
	Active bool `json:"active"`
	// LastResponse is the time of the last usable response of the platform, stale or not. It is zero if
	// there was none.
	LastResponse time.Time `json:"lastAnswer"`
	// LastError is empty if the last call of any kind succeeded.
	LastError string `json:"lastError,omitempty"`
	// Stale counts the responses that were ignored because of their lower revision.
	Stale uint64 `json:"stale"`
	// Revision is the revision of the tables that were read last.
	Revision table.Revision `json:"revision"`
	Calls    Counts         `json:"calls"`
}

type statusState struct {
	mu           sync.Mutex
	lastResponse time.Time
	lastError    string
	stale        uint64
	// revision is the revision of the last snapshot of a StoreWatcher.
	revision table.Revision
}

// Status returns the state of the watcher.
func (w *Watcher) Status() Status {
	w.init()
	active, _ := w.runState.get()
	s := &w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Active: active, LastResponse: s.lastResponse, LastError: s.lastError, Stale: s.stale,
		Revision: table.Revision(w.tables.revision.Load()), Calls: w.Client.Counts(),
	}
}

// recordResult records the error of a read, or its success if err is nil, and returns err.
func (w *Watcher) recordResult(err error) error {
	s := &w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lastError = err.Error()
		return err
	}
	s.lastError = ""
	s.lastResponse = time.Now()
	return nil
}

func (w *Watcher) recordStaleResponse(got, have table.Revision) {
	s := &w.status
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale++
	w.Log.Debug().Stringer("revision", got).Stringer("highest", have).Msg("ignored a stale response of the platform")
}
