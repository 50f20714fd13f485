//go:build process

package process

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// largeBody is the size of a large sonar survey file.
const largeBody = 1 << 30

// memoryLimit is half of what an entry may use for control; a stream must not need more.
const memoryLimit = 128 << 20

// Guards against bodies that are buffered whole: 1 GiB goes up and 1 GiB comes down, at the owner and
// through an entry that forwards both ways over QUIC.
func TestLargeBodiesInConstantMemory(t *testing.T) {
	w := newWorld(t, options{entries: 2, service: time.Millisecond})
	w.routes.Routes[2].TimeoutMs = 120_000
	r := w.publish()
	w.await("the longer timeout is in force", func() bool { return w.inForceEverywhere(r) })
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded=%v", forwarded), func(t *testing.T) {
			is := is.New(t)
			answer := w.addresses(w.list[0].CallerAddress, uploads)
			to := answer.Entries[0]
			if forwarded {
				to = answer.Entries[1]
			}
			began := time.Now()
			r, err := http.NewRequest(http.MethodPost,
				fmt.Sprintf("http://%s/%s/x?%s=%d", to.Address, uploads, standin.ParamBytes, largeBody),
				io.LimitReader(zeros{}, largeBody))
			is.NoErr(err)
			r.ContentLength = largeBody
			r.Header.Set(target.HeaderNonce, "large")
			r.Header.Set(target.HeaderID, caller.NewID(answer.Entries[0].Binding))
			reply, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer reply.Body.Close()
			is.Equal(reply.StatusCode, http.StatusOK)
			whole, n, err := standin.CheckNonceBody(reply.Body, "large", largeBody)
			is.NoErr(err)
			is.True(whole)
			is.Equal(n, int64(largeBody))
			for id := range w.entries {
				peak := w.peakMemory(id)
				t.Logf("%s used at most %d MiB", id, peak>>20)
				is.True(peak < memoryLimit)
			}
			t.Logf("2 GiB took %v", time.Since(began))
		})
	}
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// peakMemory returns the most resident memory that an entry's process has used, in bytes.
func (w *world) peakMemory(id fleet.EntryID) int64 {
	w.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.entries[id].command.Process.Pid))
	w.check(err)
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			w.check(err)
			return kib << 10
		}
	}
	w.t.Fatal("no VmHWM")
	return 0
}
