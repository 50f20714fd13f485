package target_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// signalRecorder records the last signal of each kind and the number of signals for each target.
type signalRecorder struct {
	mu     sync.Mutex
	last   map[target.ProbeTarget]map[pool.SignalKind]pool.Signal
	counts map[target.ProbeTarget]int
}

func (s *signalRecorder) add(t target.ProbeTarget, signal pool.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last[t] == nil {
		s.last[t] = make(map[pool.SignalKind]pool.Signal)
	}
	s.last[t][signal.Kind] = signal
	s.counts[t]++
}

// has reports whether a signal came since the last call of clear.
func (s *signalRecorder) has(t target.ProbeTarget, want pool.Signal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	got, ok := s.last[t][want.Kind]
	return ok && got == want
}

func (s *signalRecorder) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.last)
}

func (s *signalRecorder) count(t target.ProbeTarget) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[t]
}

// Guards against signals that are lost, assigned to the wrong target, or delivered after the target
// has left the set, and against a slow endpoint that delays the others.
func TestProber(t *testing.T) {
	is := is.New(t)
	a := startTarget(t, &standin.Target{ID: "a"})
	b := startTarget(t, &standin.Target{ID: "b"})
	slow := startTarget(t, &standin.Target{ID: "slow", ProbeDelay: time.Second})
	got := &signalRecorder{last: make(map[target.ProbeTarget]map[pool.SignalKind]pool.Signal), counts: make(map[target.ProbeTarget]int)}
	p := &target.Prober{Interval: 10 * time.Millisecond, Timeout: 200 * time.Millisecond, OnSignal: got.add}
	defer func() { _ = p.Close() }()
	newProbe := func(s *standin.Target, loadPath string) target.ProbeTarget {
		return target.ProbeTarget{ID: "x", Address: s.Address(), ProbePath: "/health", LoadPath: loadPath}
	}
	probes := []target.ProbeTarget{newProbe(a, "/load"), newProbe(b, ""), newProbe(slow, "")}
	p.SetTargets(probes)
	waitFor(t, "signals of healthy targets", func() bool {
		return got.has(probes[0], pool.Signal{Kind: pool.SignalProbeOK}) &&
			got.has(probes[0], pool.Signal{Kind: pool.SignalLoad}) && got.has(probes[1], pool.Signal{Kind: pool.SignalProbeOK})
	})
	waitFor(t, "slow probe fails", func() bool { return got.has(probes[2], pool.Signal{Kind: pool.SignalProbeFailed}) })

	forcedLoad := 7
	is.NoErr(a.SetFault(standin.TargetFault{Drain: true, ForcedLoad: &forcedLoad}))
	is.NoErr(b.SetFault(standin.TargetFault{ForcedProbe: "fail"}))
	got.clear()
	waitFor(t, "signals of faulty targets", func() bool {
		return got.has(probes[0], pool.Signal{Kind: pool.SignalDraining}) &&
			got.has(probes[0], pool.Signal{Kind: pool.SignalLoad, Load: 7}) &&
			got.has(probes[1], pool.Signal{Kind: pool.SignalProbeFailed})
	})

	p.SetTargets(probes[1:])
	lastCount := got.count(probes[0]) + 1 // one may have been in delivery
	otherCount := got.count(probes[1])
	waitFor(t, "the other targets are still polled", func() bool { return got.count(probes[1]) > otherCount+5 })
	is.True(got.count(probes[0]) <= lastCount)
	is.NoErr(p.Close())
	is.Equal(slow.Record("").Runs, []standin.TargetRun{}) // probes don't count as runs
}

// Guards against a crash that leaves the target half started, and against a record that loses a
// run: the failure tests rely on it.
func TestStandinCrash(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{})
	is.NoErr(s.SetFault(standin.TargetFault{CrashOnHeader: "X-Poison: 1", RestartMs: 50}))
	c := newClient(t)
	r := newGet(s.Address(), "n", "")
	r.Header.Set("X-Poison", "1")
	r.Header.Set(target.HeaderID, "e.1.2.abc")
	_, err := c.Do(t.Context(), r)
	e := attemptError(t, err)
	is.Equal(e.Kind, pool.OutcomeConnectionLost)
	is.True(e.Written)
	waitFor(t, "restart", func() bool {
		_, ok, err := do(t.Context(), c, newGet(s.Address(), "m", ""), 64)
		return err == nil && ok
	})
	runs := s.Record("e.1.2.abc").Runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].State, standin.RunCrashed)
	is.Equal(runs[0].RunsWithID, 1)
}

// Guards against a stand-in that runs more requests than it has slots or doesn't mark the ones that
// it refuses.
func TestStandinSheds(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{Slots: 2, QueueLimit: 1, ServiceTime: 50 * time.Millisecond})
	c := newClient(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	kinds := make(map[pool.OutcomeKind]int)
	for range 10 {
		wg.Go(func() {
			resp, err := c.Do(t.Context(), newGet(s.Address(), "n", ""))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			kinds[resp.Outcome().Kind]++
			if resp.Shed && (resp.RetryAfter == 0 || resp.Status != http.StatusServiceUnavailable) {
				t.Errorf("shed with status %d and Retry-After %v", resp.Status, resp.RetryAfter)
			}
		})
	}
	wg.Wait()
	record := s.Record("")
	is.Equal(kinds[pool.OutcomeSuccess]+kinds[pool.OutcomeShed], 10)
	is.Equal(kinds[pool.OutcomeSuccess], len(record.Runs))
	is.True(record.PeakConcurrency <= 2)
	is.Equal(int(record.Shed), kinds[pool.OutcomeShed])
}

// Guards against a refusal that costs a connection because nobody reads its body.
func TestShedKeepsConnection(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{Slots: 1})
	c := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = do(ctx, c, newGet(s.Address(), "n", "serviceMs=60000"), 64) })
	waitFor(t, "the slot is taken", func() bool { return len(s.Record("").Runs) == 1 })
	for i := range 3 {
		resp, err := c.Do(t.Context(), newGet(s.Address(), "n", ""))
		is.NoErr(err)
		is.True(resp.Shed)
		is.Equal(resp.Reused, i > 0)
		is.NoErr(resp.Body.Close())
	}
	cancel()
	wg.Wait()
}
