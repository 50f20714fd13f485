package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberrywood/bilberrywood/fleet"
)

// simulateCopies simulates callers that send copies of IDs in any order, with restarts of the entry. It returns
// the first violation: an ID that runs twice, or that runs although it was reported as not run.
func simulateCopies(t *rapid.T, disabled rule) string {
	limits := Limits{MaxIDs: 4, MaxTotalResponseBytes: 1 << 10, MaxResponseBytes: 256, ResponseTTL: time.Minute}
	incarnation := fleet.Incarnation(1)
	d := &Deduplicator{Entry: "kb-01", Incarnation: incarnation, Limits: limits, disabled: disabled}
	var (
		now, start time.Duration
		ids        []ID
		running    []*Run
		runCount   = map[ID]int{}
		notRun     = map[ID]bool{}
	)
	for step := range 60 {
		switch rapid.SampledFrom([]string{"new", "copy", "copy", "time", "finish", "restart"}).Draw(t, "step") {
		case "new":
			b := d.Binding(now - start)
			ids = append(ids, ID{Entry: b.Entry, Incarnation: b.Incarnation, Epoch: b.Epoch, Random: fmt.Sprintf("random%03d", step)})
		case "copy":
			if len(ids) == 0 {
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			r, v := d.Admit(now-start, id, 1)
			switch v {
			case VerdictRun:
				runCount[id]++
				running = append(running, r)
			case VerdictNotRun:
				notRun[id] = true
			}
		case "time":
			now += time.Duration(rapid.SampledFrom([]int{1, 20, 60, 240}).Draw(t, "seconds")) * time.Second
		case "finish":
			if len(running) == 0 {
				continue
			}
			outcome := rapid.SampledFrom([]string{OutcomeRun, OutcomeUnknown, OutcomeNotRun}).Draw(t, "outcome")
			if outcome == OutcomeNotRun {
				// The entry reports "not run" only before the first byte was written.
				runCount[running[0].id]--
				notRun[running[0].id] = true
			}
			d.Finish(now-start, running[0], Response{Outcome: outcome})
			running = running[1:]
		case "restart":
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				incarnation++
				d = &Deduplicator{Entry: "kb-01", Incarnation: incarnation, Limits: limits, disabled: disabled}
				running, start = nil, now
			}
		}
		for id, n := range runCount {
			if n > 1 {
				return fmt.Sprintf("%v ran %d times", id, n)
			}
			if n > 0 && notRun[id] {
				return fmt.Sprintf("%v ran although its caller was told that it was not run", id)
			}
		}
	}
	return ""
}

// Guards against a second run of an ID, and against "not run" for an ID that runs.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := simulateCopies(t, 0); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Guards against a check that can't fail: without each rule the property must be violated.
func TestRunsAtMostOnceNeedsEachRule(t *testing.T) {
	for name, disabled := range map[string]rule{
		"memory": ruleRetain, "close": ruleCloseEpoch, "burn": ruleKeepNotRun, "incarnation": ruleIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := range 20_000 {
				// Example is deterministic for a seed.
				if rapid.Custom(func(t *rapid.T) string { return simulateCopies(t, disabled) }).Example(seed) != "" {
					found = true
					break
				}
			}
			is.New(t).True(found) // a violation without the rule
		})
	}
}

// Guards against replaying a response to a copy with other content, and against unbounded memory for responses.
func TestStoredResponses(t *testing.T) {
	is := is.New(t)
	d := &Deduplicator{Entry: "kb-01", Incarnation: 7, Limits: Limits{MaxIDs: 100, MaxTotalResponseBytes: 100, MaxResponseBytes: 60, ResponseTTL: time.Minute}}
	id := func(n int) ID { return ID{Entry: "kb-01", Incarnation: 7, Random: fmt.Sprintf("random%03d", n)} }
	for n := range 4 {
		r, v := d.Admit(0, id(n), uint64(n))
		is.Equal(v, VerdictRun)
		_, v = d.Admit(0, id(n), uint64(n))
		is.Equal(v, VerdictWait)
		d.Finish(0, r, Response{Outcome: OutcomeRun, Body: make([]byte, 20*n)})
	}
	verdict := func(at time.Duration, n int, content uint64) Verdict {
		_, v := d.Admit(at, id(n), content)
		return v
	}
	is.Equal(verdict(0, 3, 3), VerdictReplay)
	is.Equal(verdict(0, 1, 1), VerdictResponseLost) // evicted by newer responses
	is.Equal(verdict(0, 3, 9), VerdictConflict)
	is.Equal(verdict(2*time.Minute, 3, 3), VerdictResponseLost)
	is.Equal(verdict(11*time.Minute, 3, 3), VerdictUnknown)
	_, storedBytes := d.Size()
	is.Equal(storedBytes, 0)
	_, v := d.Admit(0, ID{Entry: "kb-02", Incarnation: 7, Random: "random000"}, 0)
	is.Equal(v, VerdictBoundElsewhere)
}

// Guards against IDs with two spellings, and against panics of the parser.
func FuzzParseID(f *testing.F) {
	for _, s := range []string{"kb-01.1f.3.abcdefgh", "a.b.c.ff.0.12345678", "....", "kb.0.0.abcdefgh", "kb.01.1.abcdefgh"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil && id.String() != s {
			t.Fatalf("%q read as %q", s, id.String())
		}
	})
}

func BenchmarkAdmitFinish(b *testing.B) {
	for _, ids := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(ids), func(b *testing.B) {
			d := &Deduplicator{Entry: "kb-01", Incarnation: 7, Limits: Limits{MaxIDs: ids + b.N, MaxTotalResponseBytes: 1 << 20, MaxResponseBytes: 1 << 10, ResponseTTL: time.Minute}}
			for n := range ids {
				d.Admit(0, ID{Entry: "kb-01", Incarnation: 7, Random: fmt.Sprintf("fill%08d", n)}, 0)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				r, _ := d.Admit(0, ID{Entry: "kb-01", Incarnation: 7, Random: fmt.Sprintf("random%08d", n)}, 0)
				d.Finish(0, r, Response{Outcome: OutcomeRun, Body: make([]byte, 100)})
			}
		})
	}
}
