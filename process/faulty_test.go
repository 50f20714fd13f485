//go:build process

package process

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// entryProgram returns the entry program: the product's own, or the one whose rules can be switched off.
func (h *testHarness) entryProgram() string {
	if h.disabledRules == "" {
		return "../bin/entry"
	}
	h.check(buildFaultsProgram())
	return "../bin/entry-faults"
}

// buildFaultsProgram builds the program whose rules can be switched off, once for all tests.
var buildFaultsProgram = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-tags", "faults", "-o", "../bin/entry-faults", "../cmd/entry").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// reportViolation reports that an invariant does not hold. With rules switched off it is only noted, for
// expectViolation.
func (h *testHarness) reportViolation(invariant, format string, args ...any) {
	h.t.Helper()
	text := invariant + ": " + fmt.Sprintf(format, args...)
	if h.disabledRules == "" {
		h.t.Error(text)
		return
	}
	h.violations = append(h.violations, text)
}

// checkInvariant reports a violation unless a condition of an invariant holds.
func (h *testHarness) checkInvariant(condition bool, invariant, format string, args ...any) {
	h.t.Helper()
	if !condition {
		h.reportViolation(invariant, format, args...)
	}
}

// scenario runs a failure in a world whose entries have the given rules switched off.
type scenario func(t *testing.T, disabledRules string) *testHarness

// testInvariant runs a scenario with all rules and then once for each faulty variant, in which the judge must
// find that the invariant does not hold.
func testInvariant(t *testing.T, run scenario, invariant string, ruleSets ...string) {
	t.Run("allRules", func(t *testing.T) { run(t, "") })
	for _, disabledRules := range ruleSets {
		t.Run("without_"+disabledRules, func(t *testing.T) { run(t, disabledRules).expectViolation(invariant) })
	}
}

// expectViolation fails the test if no violation of the invariant was noted.
func (h *testHarness) expectViolation(invariant string) {
	h.t.Helper()
	for _, text := range h.violations {
		if strings.HasPrefix(text, invariant+":") {
			h.t.Logf("found %d violations, such as: %.300s", len(h.violations), text)
			return
		}
	}
	h.t.Errorf("rules %s are off, but no violation of %s was found", h.disabledRules, invariant)
}
