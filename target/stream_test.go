package target_test

import (
	"bytes"
	"flag"
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

// large raises the streamed size to that of the largest files of the users.
var large = flag.Bool("large", false, "stream 1 GiB instead of 128 MiB")

// Guards against bodies that are collected in memory: the allocation of client and stand-in together
// must stay far below the size that is sent and received. Also guards against an answer that waits
// for the end of the request: the echo has no room to keep the body.
func TestStreamInConstantMemory(t *testing.T) {
	size := int64(128 << 20)
	if *large {
		size = 1 << 30
	}
	const bound = 16 << 20
	s := startTarget(t, &standin.Target{})
	for name, length := range map[string]int64{"counted": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t)
			r := post(s.Address(), name, "echo=1", standin.NonceBody(name, size))
			r.ContentLength = length
			r.Deadline = time.Now().Add(time.Minute)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a, ok, err := do(t.Context(), c, r, size)
			runtime.ReadMemStats(&after)
			is.NoErr(err)
			is.True(ok)                                         // the echo is the body
			is.True(a.Trailer.Get(standin.HeaderBodySum) != "") // and it is whole
			is.True(after.TotalAlloc-before.TotalAlloc < bound) // not collected in memory
			_, idle := c.Connections(s.Address())
			is.Equal(idle, 1)
		})
	}
}

// Guards against an answer that is only passed on when the request's body has ended, and against a
// body that is read after StopBody returned.
func TestEarlyAnswer(t *testing.T) {
	for _, finish := range []bool{true, false} {
		t.Run(strconv.FormatBool(finish), func(t *testing.T) {
			is := is.New(t)
			s := startTarget(t, &standin.Target{})
			c := newClient(t)
			body, feed := io.Pipe()
			r := post(s.Address(), "n", "early=1&bytes=1000", body)
			r.StopBody = func() { body.CloseWithError(http.ErrBodyReadAfterClose) }
			a, err := c.Do(t.Context(), r)
			is.NoErr(err)
			head := make([]byte, 1000)
			_, err = io.ReadFull(a.Body, head) // arrives before the request's body has ended
			is.NoErr(err)
			if !finish {
				is.NoErr(a.Body.Close())
				_, err = feed.Write([]byte("x"))
				is.True(err != nil) // nobody reads the body any more
				wait(t, "run cancelled", func() bool { return s.Record("").Runs[0].State == standin.RunCancelled })
				return
			}
			_, err = feed.Write([]byte("late body"))
			is.NoErr(err)
			is.NoErr(feed.Close())
			rest, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.Equal(len(rest), 0)
			want := strconv.FormatUint(xxhash.Sum64String("late body"), 10)
			is.Equal(a.Trailer.Get(standin.HeaderBodySum), want) // the target got the rest
		})
	}
}

// Guards against a refusal that is lost because the target stops reading the body.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	address := rawTarget(t, func(c net.Conn, _ int) {
		readHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	c := newClient(t)
	body, feed := io.Pipe()
	defer func() { _ = feed.Close() }()
	r := post(address, "", "", body)
	r.StopBody = func() { _ = body.Close() }
	a, _, err := do(t.Context(), c, r, 0)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusRequestEntityTooLarge)
	open, _ := c.Connections(address)
	is.Equal(open, 0)
}

// Guards against fields of one connection that leak to the other side, against lost trailers, and
// against a deadline that isn't passed on.
func TestHeadersAndTrailers(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r
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

	r := post(l.Addr().String(), "n", "a=%2F&b=1", bytes.NewReader([]byte("body")))
	for name, value := range map[string]string{
		"Connection": "close, X-Secret", "X-Secret": "1", "Te": "trailers", "Upgrade": "websocket",
		"Proxy-Authorization": "x", "Transfer-Encoding": "gzip", "Content-Length": "99", "Host": "evil",
		"X-Kept": "2", "X-Split": "a\r\nX-Injected: 1", "Bad Name": "x", target.HeaderDeadline: "1",
	} {
		r.Header[name] = []string{value}
	}
	r.Trailer = http.Header{"X-Check": {"4"}, "Content-Length": {"5"}}
	a, _, err := do(t.Context(), newClient(t), r, 0)
	is.NoErr(err)

	seen := <-got
	for _, name := range []string{"X-Secret", "Te", "Upgrade", "Proxy-Authorization", "X-Injected", "Bad Name"} {
		is.Equal(seen.Header.Values(name), []string(nil)) // must not reach the target
	}
	is.Equal(seen.Header.Get("X-Kept"), "2")
	is.Equal(seen.Host, "pool")
	is.Equal(seen.RequestURI, "/job?a=%2F&b=1")
	is.Equal(seen.Trailer, http.Header{"X-Check": {"4"}})
	remaining, ok := target.ParseDeadline(seen.Header)
	is.True(ok && remaining > limit/2 && remaining <= limit)

	for _, name := range []string{"Connection", "X-Private", "Keep-Alive", "Trailer", "Transfer-Encoding"} {
		is.Equal(a.Header.Get(name), "") // must not reach the caller
	}
	is.Equal(a.Header.Get("X-Public"), "2")
	is.Equal(a.Trailer, http.Header{"X-Sum": {"3"}})
	is.True(a.Draining)
	is.Equal(a.Outcome().Kind, pool.OutcomeShed)
	is.Equal(a.RetryAfter, 7*time.Second)
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
		r := get("127.0.0.1:1", "", "")
		change(r)
		_, err := c.Do(t.Context(), r)
		is.Equal(attemptError(t, err).Kind, pool.OutcomeNotStarted)
	}
}

// Guards against more connections than a target takes, idle ones that stay, and non-idempotent work
// on a connection that may have gone silent.
func TestConnectionRules(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{Slots: 10})
	c := newClient(t)
	c.MaxConnections, c.IdleTimeout, c.NonIdempotentReuseWindow = 2, 100*time.Millisecond, time.Nanosecond
	held := make([]*target.Response, 2)
	for i := range held {
		a, err := c.Do(t.Context(), get(s.Address(), "n", ""))
		is.NoErr(err)
		held[i] = a
	}
	_, err := c.Do(t.Context(), get(s.Address(), "n", ""))
	is.Equal(attemptError(t, err).Cause, target.ErrConnectionLimit)
	for _, a := range held {
		_, err := io.Copy(io.Discard, a.Body)
		is.NoErr(err)
	}
	r := get(s.Address(), "n", "")
	r.Method, r.Idempotent, r.Body, r.ContentLength = http.MethodPost, false, strings.NewReader("notice"), 6
	a, ok, err := do(t.Context(), c, r, 64)
	is.NoErr(err)
	is.True(ok)
	is.True(!a.Reused) // idle connections are too old for it, one makes room for a new one
	wait(t, "idle connections closed", func() bool { open, _ := c.Connections(s.Address()); return open == 0 })
}
