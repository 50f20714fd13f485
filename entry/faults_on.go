//go:build faults

package entry

import (
	"os"
	"strings"
)

// faultsEnv is the environment variable with the names of the faults to inject, separated by commas.
const faultsEnv = "BILBERRYWOOD_FAULTS"

// readFaults returns the faults that the environment variable names.
func readFaults() (faults, error) {
	var f faults
	switches := map[string]*bool{
		"runForeign": &f.runForeign, "forgetIDs": &f.forgetIDs, "skipAnswerWait": &f.skipAnswerWait,
		"platformFirst": &f.platformFirst, "ignoreDrain": &f.ignoreDrain,
		"passTruncated": &f.passTruncated, "cutOnStop": &f.cutOnStop, "sayNotRun": &f.sayNotRun,
		"alwaysSole": &f.alwaysSole,
	}
	names := os.Getenv(faultsEnv)
	if names == "" {
		return f, nil
	}
	for _, name := range strings.Split(names, ",") {
		s, ok := switches[name]
		if !ok {
			return f, Error.New("%s: %q is not a known fault", faultsEnv, name)
		}
		*s = true
	}
	return f, nil
}
