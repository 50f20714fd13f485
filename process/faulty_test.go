//go:build process

package process

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// program returns the entry program: the product's own, or the one whose rules can be switched off.
func (w *world) program() string {
	if w.faults == "" {
		return "../bin/entry"
	}
	w.check(buildFaulty())
	return "../bin/entry-faults"
}

// buildFaulty builds the program whose rules can be switched off, once for all tests.
var buildFaulty = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-tags", "faults", "-o", "../bin/entry-faults", "../cmd/entry").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// violated reports that an invariant does not hold. With rules switched off it is only noted, for
// mustFind.
func (w *world) violated(invariant, format string, args ...any) {
	w.t.Helper()
	text := invariant + ": " + fmt.Sprintf(format, args...)
	if w.faults == "" {
		w.t.Error(text)
		return
	}
	w.found = append(w.found, text)
}

// holds reports a violation unless a condition of an invariant holds.
func (w *world) holds(condition bool, invariant, format string, args ...any) {
	w.t.Helper()
	if !condition {
		w.violated(invariant, format, args...)
	}
}

// scenario runs a failure in a world whose entries have the given rules switched off.
type scenario func(t *testing.T, faults string) *world

// proof runs a scenario with all rules and then once for each faulty variant, in which the judge must
// find that the invariant does not hold.
func proof(t *testing.T, run scenario, invariant string, variants ...string) {
	t.Run("allRules", func(t *testing.T) { run(t, "") })
	for _, faults := range variants {
		t.Run("without_"+faults, func(t *testing.T) { run(t, faults).mustFind(invariant) })
	}
}

// mustFind fails the test if no violation of the invariant was noted.
func (w *world) mustFind(invariant string) {
	w.t.Helper()
	for _, text := range w.found {
		if strings.HasPrefix(text, invariant+":") {
			w.t.Logf("found %d violations, such as: %.300s", len(w.found), text)
			return
		}
	}
	w.t.Errorf("rules %s are off, but no violation of %s was found", w.faults, invariant)
}
