//go:build process

package process

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"testing"
)

// entryProgram returns the path of the entry program: the production build, or the build whose rules
// can be disabled.
func (h *testHarness) entryProgram() string {
	if h.disabledRules == "" {
		return "../bin/entry"
	}
	h.check(buildFaultsProgram())
	return "../bin/entry-faults"
}

// buildFaultsProgram builds the entry program whose rules can be disabled, once for all tests.
var buildFaultsProgram = sync.OnceValue(func() error {
	out, err := exec.Command("go", "build", "-tags", "faults", "-o", "../bin/entry-faults", "../cmd/entry").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// reportViolation fails the test because an invariant is violated. With disabled rules it only records
// the violation for expectViolation.
func (h *testHarness) reportViolation(invariant, format string, args ...any) {
	h.t.Helper()
	text := invariant + ": " + fmt.Sprintf(format, args...)
	if h.disabledRules == "" {
		h.t.Error(text)
		return
	}
	h.violations = append(h.violations, text)
}

// checkInvariant reports a violation of the invariant if the condition is false.
func (h *testHarness) checkInvariant(condition bool, invariant, format string, args ...any) {
	h.t.Helper()
	if !condition {
		h.reportViolation(invariant, format, args...)
	}
}

// scenario runs a failure scenario on entries with the given rules disabled.
type scenario func(t *testing.T, disabledRules string) *testHarness

// testInvariant runs a scenario with all rules enabled, and then once for each set of disabled rules.
// Each of these runs must detect a violation of the invariant, which shows that the checks work.
func testInvariant(t *testing.T, run scenario, invariant string, faultSets ...string) {
	t.Run("allRules", func(t *testing.T) { run(t, "") })
	for _, disabledRules := range faultSets {
		t.Run("without_"+disabledRules, func(t *testing.T) { run(t, disabledRules).expectViolation(invariant) })
	}
}

// expectViolation fails the test if no violation of the invariant was recorded.
func (h *testHarness) expectViolation(invariant string) {
	h.t.Helper()
	for _, text := range h.violations {
		if strings.HasPrefix(text, invariant+":") {
			h.t.Logf("found %d violations, such as: %.300s", len(h.violations), text)
			return
		}
	}
	h.t.Errorf("rules %s are disabled, but no violation of %s was found", h.disabledRules, invariant)
}
