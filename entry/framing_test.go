package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against request smuggling on a connection that stays open after a request with a length and a chunked body, and
// against connections that are closed after requests with one of them.
func TestConflictingFramingEndsConnection(t *testing.T) {
	const (
		length  = "POST /pool-0000/length HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
		chunked = "POST /pool-0000/chunked HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		last    = "GET /pool-0000/last HTTP/1.1\r\nHost: x\r\n\r\n"
	)
	both := func(first, second string) string {
		return "POST /pool-0000/both HTTP/1.1\r\nHost: x\r\n" + first + "\r\n" + second + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	}
	for _, c := range []struct {
		name string
		// served are sent one by one, each after the response to the one before it, and behind with the last one. If closes
		// is true, the connection ends after their responses, and behind is not run.
		served []string
		behind string
		closes bool
	}{
		{"length first", []string{both("Content-Length: 13", "Transfer-Encoding: chunked")}, last, true},
		{"length last", []string{both("Transfer-Encoding: chunked", "Content-Length: 13")}, last, true},
		{"other case", []string{both("transfer-encoding: Chunked", "CONTENT-LENGTH:13")}, last, true},
		{"behind others", []string{length, chunked, last, both("Content-Length: 3", "Transfer-Encoding: chunked")}, last, true},
		{"one of them", []string{length, chunked, last, chunked, length, chunked, last}, "", false},
	} {
		for _, bytewise := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s bytewise=%v", c.name, bytewise), func(t *testing.T) {
				is := is.New(t)
				conn, runs := dialThroughCallerListener(t)
				r := bufio.NewReader(conn)
				receive := func() *http.Response {
					response, err := http.ReadResponse(r, nil)
					is.NoErr(err)
					_, err = io.Copy(io.Discard, response.Body)
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					return response
				}
				for i, request := range c.served {
					isLast := i == len(c.served)-1
					if isLast {
						request += c.behind
					}
					step := len(request)
					if bytewise {
						step = 1
					}
					for ; request != ""; request = request[step:] {
						_, err := io.WriteString(conn, request[:step])
						is.NoErr(err)
					}
					is.Equal(receive().Close, isLast && c.closes)
				}
				if c.closes {
					_, err := r.ReadByte()
					is.Equal(err, io.EOF)
					is.Equal(runs(), len(c.served))
				}
			})
		}
	}
}

// dialThroughCallerListener returns a connection to an entry, and a function that returns how many requests its targets got.
func dialThroughCallerListener(t *testing.T) (net.Conn, func() int) {
	t.Helper()
	is := is.New(t)
	var mu sync.Mutex
	n := 0
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		n++
	}))
	t.Cleanup(target.Close)
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewUnstartedServer(e.callerRoutes())
	server.Listener = callerListener{Listener: server.Listener, lingering: new(atomic.Int64)}
	server.Config.ConnContext = withCallerConn
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	return conn, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// Guards against a Content-Length field that is missed because its line is read in pieces, or behind a partial match.
func TestLengthCounter(t *testing.T) {
	for _, c := range []struct {
		stream string
		count  int
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 1},
		{"\ncontent-length:\nCONTENT-LENGTH:", 2},
		{"\n\ncontent-\ncontent-lengt\ncOnTeNt-LeNgTh:", 1},
		{"Content-Length: 3\r\nX-Content-Length: 3\r\n Content-Length: 3\r\nContent-Length2: 3", 0},
		{"\ncontent-length", 0},
	} {
		t.Run(c.stream, func(t *testing.T) {
			is := is.New(t)
			for i := range len(c.stream) + 1 {
				var two, bytewise lengthCounter
				two.add([]byte(c.stream[:i]))
				two.add([]byte(c.stream[i:]))
				is.Equal(two.count, c.count)
				for _, b := range []byte(c.stream) {
					bytewise.add([]byte{b})
				}
				is.Equal(bytewise.count, c.count)
			}
		})
	}
}
