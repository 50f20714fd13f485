package peer

import (
	"os"
	"testing"
)

var testDir string

// tempDir returns a directory that lasts for all tests of the package.
func tempDir() (string, error) {
	var err error
	testDir, err = os.MkdirTemp("", "peer")
	return testDir, err
}

func TestMain(m *testing.M) {
	code := m.Run()
	if testDir != "" {
		_ = os.RemoveAll(testDir)
	}
	os.Exit(code)
}
