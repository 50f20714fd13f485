package standin

import (
	"net/http"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// PlatformMode says whether the service answers.
type PlatformMode string

// Modes of the service.
const (
	PlatformUp PlatformMode = ""
	// PlatformRefused closes the listener and all connections.
	PlatformRefused PlatformMode = "refused"
	// PlatformHung accepts calls and answers them when the mode ends.
	PlatformHung PlatformMode = "hung"
	// PlatformUnavailable answers every call with status 503.
	PlatformUnavailable PlatformMode = "unavailable"
)

// PlatformFault is what is wrong with the service. The zero value is a healthy service.
type PlatformFault struct {
	Mode PlatformMode `json:"mode"`
	// DelayMs is how long each answer is delayed, in milliseconds.
	DelayMs    int64              `json:"delayMs"`
	StaleReads PlatformStaleReads `json:"stale"`
}

// PlatformStaleReads makes answers show an older state of the tables and of the fleet list.
type PlatformStaleReads struct {
	// Revision is the revision shown; above the current one it means the current one.
	Revision table.Revision `json:"revision"`
	// Every makes each nth answer stale, as if a load balancer reached a stale replica: 1 makes all
	// of them stale, 0 none.
	Every int `json:"every"`
}

// SetFault replaces the service's fault. Pending watches see it at once.
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
	was := p.fault.Mode
	p.fault = f
	err := p.switchListenerLocked(was, f.Mode)
	p.mu.Unlock()
	p.store.wake()
	return err
}

func (p *Platform) switchListenerLocked(was, mode PlatformMode) error {
	switch {
	case p.service == nil: // Handler is used without Start.
	case was != PlatformRefused && mode == PlatformRefused:
		return PlatformError.Wrap(p.service.Close())
	case was == PlatformRefused && mode != PlatformRefused:
		return p.listenLocked()
	}
	return nil
}

// Fault returns the service's fault.
func (p *Platform) Fault() PlatformFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// applyFault reports whether the call shall be answered. It has answered the call itself otherwise, or
// the call has ended.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) bool {
	if !p.awaitUp(r) {
		return false
	}
	f := p.Fault()
	if f.Mode == PlatformUnavailable {
		http.Error(w, "service is down", http.StatusServiceUnavailable)
		return false
	}
	return p.sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
}

// awaitUp waits while the service is hung; false means that the call or the service ended.
func (p *Platform) awaitUp(r *http.Request) bool {
	for {
		_, changed := p.store.newest()
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
