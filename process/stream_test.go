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

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/caller"
	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// largeBodyBytes is the size of a large sonar survey file.
const largeBodyBytes = 1 << 30

// maxResidentBytes is half of the memory that an entry may use for control; streaming must not need more.
const maxResidentBytes = 128 << 20

// Guards against bodies that are buffered completely. A request body of 1 GiB and a response body of 1
// GiB are streamed by the owner, and by an entry that forwards both over QUIC.
func TestLargeBodiesInConstantMemory(t *testing.T) {
	h := newHarness(t, options{entryCount: 2, serviceTime: time.Millisecond})
	h.routes.Routes[2].TimeoutMs = 120_000
	r := h.publish()
	h.await("the longer timeout is active", func() bool { return h.activeEverywhere(r) })
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded=%v", forwarded), func(t *testing.T) {
			is := is.New(t)
			addressList := h.addresses(h.fleetList[0].CallerAddress, uploads)
			to := addressList.Entries[0]
			if forwarded {
				to = addressList.Entries[1]
			}
			began := time.Now()
			r, err := http.NewRequest(http.MethodPost,
				fmt.Sprintf("http://%s/%s/x?%s=%d", to.Address, uploads, standin.ParamBytes, largeBodyBytes),
				io.LimitReader(zeroReader{}, largeBodyBytes))
			is.NoErr(err)
			r.ContentLength = largeBodyBytes
			r.Header.Set(target.HeaderNonce, "large")
			r.Header.Set(target.HeaderID, caller.NewID(addressList.Entries[0].Binding))
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
			matches, n, err := standin.CheckNonceBody(response.Body, "large", largeBodyBytes)
			is.NoErr(err)
			is.True(matches)
			is.Equal(n, int64(largeBodyBytes))
			for id := range h.entries {
				peak := h.peakMemory(id)
				t.Logf("%s used at most %d MiB", id, peak>>20)
				is.True(peak < maxResidentBytes)
			}
			t.Logf("2 GiB took %v", time.Since(began))
		})
	}
}

// zeroReader is an endless body.
type zeroReader struct{}

// Read implements io.Reader.
func (zeroReader) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// peakMemory returns the peak resident memory of an entry's process, in bytes.
func (h *testHarness) peakMemory(id fleet.EntryID) int64 {
	h.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.entries[id].cmd.Process.Pid))
	h.check(err)
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			h.check(err)
			return kib << 10
		}
	}
	h.t.Fatal("no VmHWM")
	return 0
}

// slowReader delays each read, so that the response to a request overtakes its body.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 8<<10)])
}

// Guards against a target that gets other bytes than the caller sent behind its early response, through an entry that owns
// the pool and through one that forwards the request.
func TestBodyBehindEarlyResponse(t *testing.T) {
	h := newHarness(t, options{entryCount: 2, serviceTime: time.Millisecond})
	addressList := h.addresses(h.fleetList[0].CallerAddress, uploads)
	for i, to := range addressList.Entries[:2] {
		for _, c := range []struct{ size, length int64 }{{200_000, -1}, {1 << 20, -1}, {200_000, 200_000}, {1 << 20, 1 << 20}} {
			t.Run(fmt.Sprintf("entry %d, %d bytes, length %d", i, c.size, c.length), func(t *testing.T) {
				is := is.New(t)
				nonce := fmt.Sprintf("early-%d-%d-%d", i, c.size, c.length)
				sum := xxhash.New()
				r, err := http.NewRequest(http.MethodPost,
					fmt.Sprintf("http://%s/%s/x?%s=1&%s=20000", to.Address, uploads, standin.ParamEarly, standin.ParamBytes),
					slowReader{io.TeeReader(standin.NonceBody(nonce, c.size), sum)})
				is.NoErr(err)
				r.ContentLength = c.length
				r.Header.Set(target.HeaderNonce, nonce)
				r.Header.Set(target.HeaderID, caller.NewID(addressList.Entries[0].Binding))
				response, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				defer response.Body.Close()
				is.Equal(response.StatusCode, http.StatusOK)
				matches, _, err := standin.CheckNonceBody(response.Body, nonce, 20_000)
				is.NoErr(err)
				is.True(matches)
				is.Equal(response.Trailer.Get(standin.HeaderBodySum), strconv.FormatUint(sum.Sum64(), 10))
			})
		}
	}
}
