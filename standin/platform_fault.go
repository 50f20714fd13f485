package standin

import (
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// PlatformMode states whether the service responds.
type PlatformMode string

// Modes of the service.
const (
	PlatformUp PlatformMode = ""
	// PlatformRefused closes the listener and all connections.
	PlatformRefused PlatformMode = "refused"
	// PlatformHung accepts calls and responds to them only when the mode ends.
	PlatformHung PlatformMode = "hung"
	// PlatformUnavailable responds to every call with status 503.
	PlatformUnavailable PlatformMode = "unavailable"
)

// PlatformFault is the fault of the service. The zero value is a healthy service.
type PlatformFault struct {
	Mode PlatformMode `json:"mode"`
	// DelayMs is the delay of each response in milliseconds.
	DelayMs    int64              `json:"delayMs"`
	StaleReads PlatformStaleReads `json:"stale"`
}

// PlatformStaleReads makes responses show an older state of the tables and of the fleet list.
type PlatformStaleReads struct {
	// Revision is the revision to show. If it is above the current one, the current one is shown.
	Revision table.Revision `json:"revision"`
	// Every makes every nth response stale, as if a load balancer had chosen a stale replica: 1
	// makes all responses stale, 0 none.
	Every int `json:"every"`
}

// SetFault replaces the fault. It applies to pending watches immediately.
func (p *Platform) SetFault(f PlatformFault) error {
	p.init()
	switch f.Mode {
	case PlatformUp, PlatformRefused, PlatformHung, PlatformUnavailable:
	default:
		return PlatformError.New("unknown mode %q", f.Mode)
	}
	if f.DelayMs < 0 || f.StaleReads.Every < 0 {
		return PlatformError.New("delayMs and stale.every must not be negative")
	}
	p.mu.Lock()
	previous := p.fault.Mode
	p.fault = f
	err := p.switchListenerLocked(previous, f.Mode)
	p.mu.Unlock()
	p.store.notifyWatches()
	return err
}

func (p *Platform) switchListenerLocked(previous, mode PlatformMode) error {
	switch {
	case p.serviceServer == nil: // Handler is used without Start.
	case previous != PlatformRefused && mode == PlatformRefused:
		return PlatformError.Wrap(p.serviceServer.Close())
	case previous == PlatformRefused && mode != PlatformRefused:
		return p.listenLocked()
	}
	return nil
}

// Fault returns the current fault.
func (p *Platform) Fault() PlatformFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// applyFault applies the fault to a call and reports whether the handler should respond. If it
// returns false, it has written the response itself, or the call or the service has ended.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) bool {
	if !p.waitWhileHung(r) {
		return false
	}
	f := p.Fault()
	if f.Mode == PlatformUnavailable {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return false
	}
	return p.sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
}

// waitWhileHung waits while the mode is PlatformHung. It returns false if the call or the service
// ends first.
func (p *Platform) waitWhileHung(r *http.Request) bool {
	for {
		_, changed := p.store.latest()
		if p.Fault().Mode != PlatformHung {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		case <-p.closed:
			return false
		}
	}
}
