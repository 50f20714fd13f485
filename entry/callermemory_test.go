package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/notice"
)

// listeningEntry returns an entry that serves callers, and the function that connects to it.
func listeningEntry(t *testing.T) (e *Entry, dial func() net.Conn) {
	t.Helper()
	is := is.New(t)
	e = newServingEntry(t, 1, "")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	e.Settings.CallerAddress, e.Settings.OperatorAddress = free.Addr().String(), "127.0.0.1:0"
	is.NoErr(free.Close())
	is.NoErr(e.listen())
	t.Cleanup(func() {
		_ = e.callerServer.Close()
		_ = e.operatorServer.Close()
		e.background.Wait()
	})
	return e, func() net.Conn {
		c, err := net.DialTimeout("tcp", e.Settings.CallerAddress, time.Second)
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// awaitMemory waits until a condition on the memory in use holds.
func awaitMemory(t *testing.T, e *Entry, condition func(used int64) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(int64(e.memory.budget.Used())); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes in use", e.memory.budget.Used())
		}
	}
}

// Guards against an evicted upload that is dropped without the promise that it did not run.
func TestEvictedBodyIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	e, dial := listeningEntry(t)
	e.Settings.ReplayBytes = 512 << 10
	e.memory.budget.Limit = 512 << 10
	const size = 400_000
	head := fmt.Sprintf("POST /pool-0000/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	held := dial()
	_, err := io.WriteString(held, head+strings.Repeat("x", size-1))
	is.NoErr(err)
	awaitMemory(t, e, func(used int64) bool { return used >= size })
	newcomer := dial()
	_, err = io.WriteString(newcomer, head+strings.Repeat("x", size/2))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(held), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(headerOutcome), notice.OutcomeNotRun)
	is.Equal(response.Header.Get(headerReason), string(reasonMemoryShort))
	is.True(response.Close)
	_ = held.Close()
	_ = newcomer.Close()
	awaitMemory(t, e, func(used int64) bool { return used == 0 })
}

// Guards against charges that stay behind when requests are pipelined, read ahead, or over.
func TestChargesEndWithTheirRequests(t *testing.T) {
	is := is.New(t)
	e, dial := listeningEntry(t)
	const requests = 50
	c := dial()
	_, err := io.WriteString(c, strings.Repeat("GET /none HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("a", 1000)+"\r\n\r\n", requests))
	is.NoErr(err)
	r := bufio.NewReader(c)
	for range requests {
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNotFound)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
	awaitMemory(t, e, func(used int64) bool { return used == 0 })
}
