//go:build process

package process

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// Guards against an ID that runs twice, or that runs after it was reported as not run. Copies of each
// notice are sent to all entries at once, while targets lose responses and shed requests.
func TestCopiesAtAllEntries(t *testing.T) {
	testInvariant(t, copiesAtAllEntries, "I4", "runForeign", "forgetIDs")
	t.Run("without_sayNotRun", func(t *testing.T) { copiesAtAllEntries(t, "sayNotRun").expectViolation("I3") })
}

func copiesAtAllEntries(t *testing.T, disabledRules string) *testHarness {
	h := newHarness(t, options{entryCount: 3, disabledRules: disabledRules})
	for i, target := range h.targets[notices] {
		h.check(target.SetFault(standin.TargetFault{LoseResponse: i%3 == 0}))
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string][]caller.Outcome{}
	for n := range 40 {
		id := h.newID()
		for _, row := range h.fleetList {
			for range 2 {
				done.Go(func() {
					o := h.sendCopy(row.CallerAddress, id, fmt.Sprint(n))
					mu.Lock()
					defer mu.Unlock()
					outcomes[id] = append(outcomes[id], o)
				})
			}
		}
	}
	done.Wait()
	runs := h.runsByID()
	reportedRun := 0
	for id, all := range outcomes {
		h.checkInvariant(runs[id] <= 1, "I4", "id %s ran %d times", id, runs[id])
		for _, o := range all {
			h.checkInvariant(o != caller.OutcomeNotRun || runs[id] == 0, "I3", "id %s ran %d times; outcomes %v", id, runs[id], all)
			if o == caller.OutcomeRun {
				reportedRun++
			}
		}
	}
	h.checkInvariant(reportedRun > 0, "test", "no copy was reported as run")
	return h
}

// newID returns a new ID that is bound to the first entry in the address list of the first entry.
func (h *testHarness) newID() string {
	h.t.Helper()
	return caller.NewID(h.addresses(h.fleetList[0].CallerAddress, notices).Entries[0].Binding)
}

// sendCopy sends one copy of a notice and returns the outcome that the entry reports.
func (h *testHarness) sendCopy(address, id, nonce string) caller.Outcome {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+notices+"/copies", bytes.NewReader([]byte(nonce)))
	if err != nil {
		return caller.OutcomeUnknown
	}
	r.Header.Set(target.HeaderID, id)
	r.Header.Set(target.HeaderNonce, nonce)
	r.Header.Set(target.HeaderDeadline, target.FormatDeadline(5*time.Second))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return caller.OutcomeUnknown
	}
	defer response.Body.Close()
	return caller.ParseOutcome(response.Header)
}
