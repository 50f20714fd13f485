package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against changed exit codes, which scripts and monitoring rely on.
func TestExitCodes(t *testing.T) {
	kiesbank := []string{"--routes", "../../examples/kiesbank/routes.json", "--pools", "../../examples/kiesbank/pools.json"}
	kruzes := []string{"--to-routes", "../../examples/kruzes/routes.json", "--to-pools", "../../examples/kruzes/pools.json"}
	mixed := []string{"--routes", "../../examples/kiesbank/routes.json", "--pools", "../../examples/kruzes/pools.json"}
	// Port 1 on the loopback interface has no listener.
	unreachable := []string{"--entries", "127.0.0.1:1"}
	tests := []struct {
		args []string
		code int
	}{
		{append([]string{"check"}, kiesbank...), exitOK},
		{append([]string{"check", "--json"}, kiesbank...), exitOK},
		{append([]string{"check"}, mixed...), exitFailed},
		{[]string{"check", "--routes", "missing", "--pools", "missing"}, exitFailed},
		{[]string{"check"}, exitUsage},
		{append(append([]string{"diff"}, kiesbank...), kruzes...), exitFailed},
		{[]string{"settings"}, exitUsage},
		{[]string{"settings", "missing"}, exitFailed},
		{append([]string{"force"}, unreachable...), exitFailed},
		{append([]string{"fleet"}, unreachable...), exitFailed},
		{append([]string{"log"}, unreachable...), exitFailed},
		{append(append([]string{"audit"}, unreachable...), kiesbank...), exitFailed},
		{append([]string{"explain", "--path", "/", "--entry", "e1"}, unreachable...), exitUsage},
		{append([]string{"force", "more"}, unreachable...), exitUsage},
		{[]string{"force"}, exitUsage},
		{[]string{"force", "--entries", "127.0.0.1:1", "--settings-dir", "."}, exitUsage},
		{[]string{"force", "--entries", "entry-1"}, exitUsage},
		{[]string{"unknown"}, exitUsage},
		{nil, exitUsage},
		{[]string{"completion"}, exitOK},
	}
	for _, test := range tests {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			is := is.New(t)
			var out, errOut strings.Builder
			is.Equal(run(t.Context(), test.args, &out, &errOut), test.code)
			is.Equal(errOut.Len() > 0 && test.code == exitOK, false)
			is.Equal(errOut.Len() == 0 && test.code == exitUsage, false)
		})
	}
}

// Guards against a command whose help text lacks an example or the exit codes.
func TestHelp(t *testing.T) {
	for name := range help {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut strings.Builder
			is.Equal(run(t.Context(), []string{name, "--help"}, &out, &errOut), exitOK)
			is.True(strings.Contains(out.String(), "Example"))
			is.True(strings.Contains(out.String(), "Exit codes: 0 fine"))
		})
	}
}
