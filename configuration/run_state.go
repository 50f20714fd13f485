package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// runState switches a Watcher or StoreWatcher on and off, and holds the state of its Run.
type runState struct {
	mu     sync.Mutex
	active bool
	// changed is closed and replaced when active changes.
	changed chan struct{}
	running bool
	closed  bool
}

func (s *runState) set(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == active {
		return
	}
	s.active = active
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *runState) get() (active bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, s.changed
}

// whileActive calls run while active is set, with a context that is canceled when active is cleared. It
// returns when ctx ends.
func (s *runState) whileActive(ctx context.Context, run func(context.Context)) {
	for ctx.Err() == nil {
		active, changed := s.get()
		if !active {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		inner, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			run(inner)
		}()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
		<-done
	}
}

// backoff doubles the delay after each consecutive failure. The upper half of each delay is random, so
// that readers do not all call a recovering service at the same moment.
type backoff struct {
	minDelay, maxDelay time.Duration
	random             func() float64
	current            time.Duration
}

func (w *Watcher) newBackoff() *backoff {
	return &backoff{minDelay: w.MinBackoff, maxDelay: w.MaxBackoff, random: w.random}
}

func (b *backoff) next() time.Duration {
	b.current = min(max(2*b.current, b.minDelay), b.maxDelay)
	half := b.current / 2
	return half + time.Duration(b.random()*float64(half))
}

func (b *backoff) reset() { b.current = 0 }

func (w *Watcher) random() float64 {
	if w.Random != nil {
		return w.Random()
	}
	return rand.Float64()
}

// sleep returns after d, or earlier when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
