package target_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/standin"
	"github.com/bilberrywood/bilberrywood/target"
)

// testTimeout limits every wait of the tests, so that a failure ends them.
const testTimeout = 20 * time.Second

// startTarget starts a target stand-in that is closed at the end of the test.
func startTarget(t testing.TB, s *standin.Target) *standin.Target {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// newClient returns a client that is closed before the stand-ins are.
func newClient(t testing.TB) *target.Client {
	c := &target.Client{}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// newGet returns a GET request with a nonce.
func newGet(address, nonce, query string) *target.Request {
	return &target.Request{
		Address: address, Method: http.MethodGet, Path: "/job?" + query, Host: "pool",
		Header: http.Header{target.HeaderNonce: {nonce}}, Idempotent: true,
		Deadline: time.Now().Add(testTimeout),
	}
}

// newPost returns a POST request with a streamed body.
func newPost(address, nonce, query string, body io.Reader) *target.Request {
	r := newGet(address, nonce, query)
	r.Method, r.Idempotent = http.MethodPost, false
	r.Body, r.ContentLength = body, -1
	return r
}

// do sends a request and reads the response; err may come from either. ok reports whether
// the response and its body belong to the nonce of the request.
func do(ctx context.Context, c *target.Client, r *target.Request, size int64) (resp *target.Response, ok bool, err error) {
	resp, err = c.Do(ctx, r)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	ok, _, err = standin.CheckNonceBody(resp.Body, r.Header.Get(target.HeaderNonce), size)
	return resp, ok && resp.Header.Get(target.HeaderNonce) == r.Header.Get(target.HeaderNonce), err
}

// waitFor waits for a condition that another goroutine or a stand-in brings about.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting until: %s", testTimeout, what)
		}
	}
}

// attemptError returns err as an AttemptError and fails the test if it is none.
func attemptError(t testing.TB, err error) *target.AttemptError {
	t.Helper()
	var e *target.AttemptError
	if !errors.As(err, &e) {
		t.Fatalf("error %v is not an AttemptError", err)
	}
	return e
}

// Guards against responses delivered to the wrong request, and against connections that are not reused.
func TestResponsesBelongToRequests(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{Slots: 100})
	c := newClient(t)
	for i := range 200 {
		size := int64(i * 37)
		r := newGet(s.Address(), "n"+strconv.Itoa(i), "bytes="+strconv.FormatInt(size, 10))
		switch i % 4 {
		case 1:
			r.Path += "&chunked=1"
		case 2:
			r.Method, r.Body, r.ContentLength = http.MethodPost, strings.NewReader("held"), 4
		case 3:
			r.Method, r.Body, r.ContentLength = http.MethodPost, strings.NewReader("streamed"), -1
		}
		resp, ok, err := do(t.Context(), c, r, size)
		is.NoErr(err)
		is.True(ok) // the body belongs to the nonce
		is.Equal(resp.Status, http.StatusOK)
		is.Equal(resp.Reused, i > 0) // one connection serves all requests in turn
	}
	open, idle := c.Connections(s.Address())
	is.Equal(open, 1)
	is.Equal(idle, 1)
}

// Guards against a truncated response that is taken for a complete one.
func TestTruncatedResponses(t *testing.T) {
	is := is.New(t)
	s := startTarget(t, &standin.Target{})
	is.NoErr(s.SetFault(standin.TargetFault{Truncate: true}))
	for _, query := range []string{"bytes=1000", "bytes=1000&chunked=1", "bytes=100000", "bytes=100000&chunked=1"} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			c := newClient(t)
			_, ok, err := do(t.Context(), c, newGet(s.Address(), "n", query), 1000)
			is.True(!ok)
			e := attemptError(t, err)
			is.Equal(e.Kind, pool.OutcomeTruncated)
			is.True(e.Written)
			open, _ := c.Connections(s.Address())
			is.Equal(open, 0) // the connection is not reused
		})
	}
}

// scriptedTarget starts a server that runs a script on each connection, for responses that no
// correct server gives. The script gets the connection and its number, from 1; the connection is
// closed afterwards.
func scriptedTarget(t testing.TB, script func(c net.Conn, number int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, n)
			}()
		}
	}()
	return l.Addr().String()
}

// readRequestHeader reads a request without a body.
func readRequestHeader(c net.Conn) string {
	var got []byte
	b := make([]byte, 4096)
	for !bytes.Contains(got, []byte("\r\n\r\n")) {
		n, err := c.Read(b)
		if err != nil {
			return string(got)
		}
		got = append(got, b[:n]...)
	}
	return string(got)
}

// Guards against malformed responses that are passed on or leave their connection in use.
func TestMalformedResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		kind     pool.OutcomeKind
	}{
		"nothing":            {"", pool.OutcomeConnectionLost},
		"partial header":     {"HTTP/1.1 200 OK\r\nContent-Le", pool.OutcomeTruncated},
		"no length":          {"HTTP/1.1 200 OK\r\n\r\nbody", pool.OutcomeTruncated},
		"not HTTP":           {"SSH-2.0-x\r\n\r\n", pool.OutcomeTruncated},
		"switch":             {"HTTP/1.1 101 Switching Protocols\r\n\r\n", pool.OutcomeTruncated},
		"two lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", pool.OutcomeTruncated},
		"short":              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", pool.OutcomeTruncated},
		"no last chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", pool.OutcomeTruncated},
		"unfinished trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", pool.OutcomeTruncated},
		"large header":       {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), pool.OutcomeTruncated},
		"only early hints":   {"HTTP/1.1 103 Early Hints\r\n\r\n", pool.OutcomeTruncated},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := scriptedTarget(t, func(c net.Conn, _ int) {
				readRequestHeader(c)
				_, _ = io.WriteString(c, test.response)
			})
			_, ok, err := do(t.Context(), newClient(t), newGet(address, "n", ""), 2)
			is.True(!ok)
			e := attemptError(t, err)
			is.Equal(e.Kind, test.kind)
			is.True(e.Written)
		})
	}
}
