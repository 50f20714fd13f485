package target_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// large raises the size of the streamed body to that of the largest files in use.
var large = flag.Bool("large", false, "stream 1 GiB instead of 128 MiB")

// Guards against bodies that are buffered in memory: client and stand-in together must allocate far
// less than the size of the body. It also guards against a response that waits for the end of the
// request, because the echoing target has no space to buffer the body.
func TestStreamInConstantMemory(t *testing.T) {
	size := int64(128 << 20)
	if *large {
		size = 1 << 30
	}
	const maxAllocation = 16 << 20
	s := startTarget(t, &standin.Target{})
	for name, length := range map[string]int64{"counted": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t)
			r := newPost(s.Address(), name, "echo=1", standin.NonceBody(name, size))
			r.ContentLength = length
			r.Deadline = time.Now().Add(time.Minute)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp, ok, err := do(t.Context(), c, r, size)
			runtime.ReadMemStats(&after)
			is.NoErr(err)
			is.True(ok)                                                 // the response echoes the body
			is.True(resp.Trailer.Get(standin.HeaderBodySum) != "")      // the response is complete
			is.True(after.TotalAlloc-before.TotalAlloc < maxAllocation) // not buffered in memory
			_, idle := c.Connections(s.Address())
			is.Equal(idle, 1)
		})
	}
}

// Guards against a response that is passed on only after the end of the request body, and against a
// body that is read after StopBody has returned.
func TestEarlyResponse(t *testing.T) {
	for _, finish := range []bool{true, false} {
		t.Run(strconv.FormatBool(finish), func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, &standin.Target{})
			c := newClient(t)
			body, feed := io.Pipe()
			r := newPost(s.Address(), "n", "early=1&bytes=1000", body)
			r.StopBody = func() { body.CloseWithError(http.ErrBodyReadAfterClose) }
			resp, err := c.Do(t.Context(), r)
			is.NoErr(err)
			start := make([]byte, 1000)
			_, err = io.ReadFull(resp.Body, start) // arrives before the end of the request body
			is.NoErr(err)
			if !finish {
				is.NoErr(resp.Body.Close())
				_, err = feed.Write([]byte("x"))
				is.True(err != nil) // the body is not read any more
				waitFor(t, "run canceled", func() bool { return s.Record("").Runs[0].State == standin.RunCanceled })
				return
			}
			_, err = feed.Write([]byte("late body"))
			is.NoErr(err)
			is.NoErr(feed.Close())
			remainder, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(remainder), 0)
			want := strconv.FormatUint(xxhash.Sum64String("late body"), 10)
			is.Equal(resp.Trailer.Get(standin.HeaderBodySum), want) // the target received the rest of the body
		})
	}
}

// Guards against an early response that is held back, in whole or its last bytes, until the request body has been sent.
func TestEarlyResponseIsNotHeldBack(t *testing.T) {
	for _, size := range []int{0, 1, 1000, 100_000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			is := is.New(t)
			address := scriptedTarget(t, func(c net.Conn, _ int) {
				readRequestHeader(c)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
				_, _ = io.Copy(io.Discard, c)
			})
			c := newClient(t)
			body, feed := io.Pipe()
			defer func() { _ = feed.Close() }()
			r := newPost(address, "", "", body)
			r.Deadline = time.Now().Add(5 * time.Second)
			resp, err := c.Do(t.Context(), r)
			is.NoErr(err)
			n, err := io.ReadFull(resp.Body, make([]byte, size))
			is.NoErr(err)
			is.Equal(n, size)
			is.True(time.Now().Before(r.Deadline.Add(-3 * time.Second)))
			is.NoErr(feed.Close())
			rest, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(len(rest), 0)
		})
	}
}

// Guards against a refusal that is lost because the target stops reading the body.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	address := scriptedTarget(t, func(c net.Conn, _ int) {
		readRequestHeader(c)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	c := newClient(t)
	body, feed := io.Pipe()
	defer func() { _ = feed.Close() }()
	r := newPost(address, "", "", body)
	r.StopBody = func() { _ = body.Close() }
	resp, _, err := do(t.Context(), c, r, 0)
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusRequestEntityTooLarge)
	open, _ := c.Connections(address)
	is.Equal(open, 0)
}

// Guards against hop-by-hop fields that are passed on, against lost trailers, and against a
// deadline that isn't passed on.
func TestHeadersAndTrailers(t *testing.T) {
	is := is.New(t)
	requests := make(chan *http.Request, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		requests <- r
		for name, value := range map[string]string{
			"Connection": "X-Private", "X-Private": "1", "Keep-Alive": "9", "X-Public": "2",
			"Trailer": "X-Sum", target.HeaderDraining: "1", target.HeaderShed: "1", "Retry-After": "7",
		} {
			w.Header().Set(name, value)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Header().Set("X-Sum", "3")
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()

	r := newPost(l.Addr().String(), "n", "a=%2F&b=1", bytes.NewReader([]byte("body")))
	for name, value := range map[string]string{
		"Connection": "close, X-Secret", "X-Secret": "1", "Te": "trailers", "Upgrade": "websocket",
		"Proxy-Authorization": "x", "Transfer-Encoding": "gzip", "Content-Length": "99", "Host": "evil",
		"X-Kept": "2", "X-Split": "a\r\nX-Injected: 1", "Bad Name": "x", target.HeaderDeadline: "1",
	} {
		r.Header[name] = []string{value}
	}
	r.Trailer = http.Header{"X-Check": {"4"}, "Content-Length": {"5"}}
	resp, _, err := do(t.Context(), newClient(t), r, 0)
	is.NoErr(err)

	received := <-requests
	for _, name := range []string{"X-Secret", "Te", "Upgrade", "Proxy-Authorization", "X-Injected", "Bad Name"} {
		is.Equal(received.Header.Values(name), []string(nil)) // must not reach the target
	}
	is.Equal(received.Header.Get("X-Kept"), "2")
	is.Equal(received.Host, "pool")
	is.Equal(received.RequestURI, "/job?a=%2F&b=1")
	is.Equal(received.Trailer, http.Header{"X-Check": {"4"}})
	remaining, ok := target.ParseDeadline(received.Header)
	is.True(ok && remaining > testTimeout/2 && remaining <= testTimeout)

	for _, name := range []string{"Connection", "X-Private", "Keep-Alive", "Trailer", "Transfer-Encoding"} {
		is.Equal(resp.Header.Get(name), "") // must not reach the caller
	}
	is.Equal(resp.Header.Get("X-Public"), "2")
	is.Equal(resp.Trailer, http.Header{"X-Sum": {"3"}})
	is.True(resp.Draining)
	is.Equal(resp.Outcome().Kind, pool.OutcomeShed)
	is.Equal(resp.RetryAfter, 7*time.Second)
}

// Guards against request lines that a target could read as two requests.
func TestRequestLineIsChecked(t *testing.T) {
	is := is.New(t)
	c := newClient(t)
	for _, change := range []func(r *target.Request){
		func(r *target.Request) { r.Path = "/a HTTP/1.1\r\nHost: x\r\n\r\n" },
		func(r *target.Request) { r.Path = "a" },
		func(r *target.Request) { r.Method = "GET /" },
		func(r *target.Request) { r.Method = "" },
		func(r *target.Request) { r.Host = "a\nb" },
		func(r *target.Request) { r.ContentLength = 3 },
	} {
		r := newGet("127.0.0.1:1", "", "")
		change(r)
		_, err := c.Do(t.Context(), r)
		is.Equal(attemptError(t, err).Kind, pool.OutcomeNotStarted)
	}
}

// Guards against more connections than a target accepts, against idle connections that are never
// closed, and against a non-idempotent request on a connection that may be silent.
func TestConnectionRules(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{Slots: 10})
	c := newClient(t)
	c.MaxConnections, c.IdleTimeout, c.NonIdempotentReuseWindow = 2, 100*time.Millisecond, time.Nanosecond
	responses := make([]*target.Response, 2)
	for i := range responses {
		resp, err := c.Do(t.Context(), newGet(s.Address(), "n", ""))
		is.NoErr(err)
		responses[i] = resp
	}
	_, err := c.Do(t.Context(), newGet(s.Address(), "n", ""))
	is.Equal(attemptError(t, err).Cause, target.ErrConnectionLimit)
	for _, resp := range responses {
		_, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	r := newGet(s.Address(), "n", "")
	r.Method, r.Idempotent, r.Body, r.ContentLength = http.MethodPost, false, strings.NewReader("notice"), 6
	resp, ok, err := do(t.Context(), c, r, 64)
	is.NoErr(err)
	is.True(ok)
	is.True(!resp.Reused) // the idle connections are too old for it, so one is replaced by a new one
	waitFor(t, "idle connections closed", func() bool { open, _ := c.Connections(s.Address()); return open == 0 })
}
