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

// Guards against an id that runs twice or runs after it was reported as not run: copies of each
// notice are sent to all entries at once, while targets lose answers and refuse work.
func TestCopiesAtAllEntries(t *testing.T) {
	proof(t, copiesAtAllEntries, "I4", "runForeign", "forgetIDs")
	t.Run("without_sayNotRun", func(t *testing.T) { copiesAtAllEntries(t, "sayNotRun").mustFind("I3") })
}

func copiesAtAllEntries(t *testing.T, faults string) *world {
	w := newWorld(t, options{entries: 3, faults: faults})
	for i, target := range w.targets[notices] {
		w.check(target.SetFault(standin.TargetFault{LoseResponse: i%3 == 0}))
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string][]caller.Outcome{}
	for n := range 40 {
		id := w.newID()
		for _, row := range w.list {
			for range 2 {
				done.Go(func() {
					o := w.sendCopy(row.CallerAddress, id, fmt.Sprint(n))
					mu.Lock()
					defer mu.Unlock()
					outcomes[id] = append(outcomes[id], o)
				})
			}
		}
	}
	done.Wait()
	runs := w.runs()
	told := 0
	for id, all := range outcomes {
		w.holds(runs[id] <= 1, "I4", "id %s ran %d times", id, runs[id])
		for _, o := range all {
			w.holds(o != caller.OutcomeNotRun || runs[id] == 0, "I3", "id %s ran %d times; outcomes %v", id, runs[id], all)
			if o == caller.OutcomeRun {
				told++
			}
		}
	}
	w.holds(told > 0, "test", "no copy was answered")
	return w
}

// newID makes an id that is bound to the entry which the first entry names first.
func (w *world) newID() string {
	w.t.Helper()
	return caller.NewID(w.addresses(w.list[0].CallerAddress, notices).Entries[0].Binding)
}

// sendCopy sends one copy of a notice and returns the outcome that the entry states.
func (w *world) sendCopy(address, id, nonce string) caller.Outcome {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+notices+"/copies", bytes.NewReader([]byte(nonce)))
	if err != nil {
		return caller.OutcomeUnknown
	}
	r.Header.Set(target.HeaderID, id)
	r.Header.Set(target.HeaderNonce, nonce)
	r.Header.Set(target.HeaderDeadline, target.FormatDeadline(5*time.Second))
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return caller.OutcomeUnknown
	}
	defer answer.Body.Close()
	return caller.ParseOutcome(answer.Header)
}
