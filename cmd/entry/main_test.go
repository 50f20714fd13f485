package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{
  "id": "kb-01", "failureDomain": "donau-ost", "callerAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2",
  "operatorAddress": "127.0.0.1:3", "platform": "http://127.0.0.1:4", "tls": {"unauthenticated": true}
}`

// Guards against a process that is ended by a SIGHUP which arrives while it starts: the operators of a deployment announce
// changed settings to all processes, also to those that have just been started.
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	program, pipe := filepath.Join(dir, "entry"), filepath.Join(dir, "settings")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(output), "")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program, "--check", "--settings", pipe)
	is.NoErr(cmd.Start())
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // waits until the process reads its settings
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString(validSettings)
	is.NoErr(err)
	is.NoErr(settings.Close())
	is.NoErr(cmd.Wait())
}
