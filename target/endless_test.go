package target_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/target"
)

// maxEndlessBytes bounds what a target can send of a header before the connection is closed: the limit of the header and
// what the socket buffers hold.
const maxEndlessBytes = 16 << 20

// endlessTarget starts a target that sends a prefix and then repeats a part until the connection is closed. sent gets
// the number of bytes that it wrote.
func endlessTarget(t *testing.T, prefix, repeated string) (address string, sent <-chan int) {
	t.Helper()
	done := make(chan int, 1)
	part := strings.Repeat(repeated, 1+4096/len(repeated))
	return scriptedTarget(t, func(c net.Conn, _ int) {
		readRequestHeader(c)
		total, err := io.WriteString(c, prefix)
		for n := 0; err == nil; total += n {
			n, err = io.WriteString(c, part)
		}
		done <- total
	}), done
}

// Guards against a target whose response header never ends: it must not occupy the attempt until its deadline, nor fill
// the memory.
func TestEndlessHeaders(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ prefix, repeated string }{
		"no bytes of the protocol":   {"", "\x00\xff"},
		"status line":                {"HTTP/1.1 200 ", "OK"},
		"field name":                 {ok, "x"},
		"field value":                {ok + "Field: ", "value"},
		"fields":                     {ok, "Field: value\r\n"},
		"informational responses":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body of an earlier request": {ok + target.HeaderNonce + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := endlessTarget(t, c.prefix, c.repeated)
			started := time.Now()
			_, err := newClient(t).Do(t.Context(), newGet(address, "n", ""))
			e := attemptError(t, err)
			is.True(e.Written) // the request may have run
			is.True(time.Since(started) < testTimeout/2)
			is.True(<-sent < maxEndlessBytes)
		})
	}
}

// Guards against a response whose body never ends and that looks complete, or that is read on after the caller has left
// or the deadline has passed.
func TestEndlessBodies(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\n" + target.HeaderNonce + ": n\r\nTransfer-Encoding: chunked\r\n\r\n"
	const deadline = 300 * time.Millisecond
	for name, c := range map[string]struct{ prefix, repeated string }{
		"chunks":          {header, "4\r\nbody\r\n"},
		"chunk length":    {header, "0"},
		"chunk extension": {header + "4;", "extension"},
		"trailer":         {header + "4\r\nbody\r\n0\r\n", "Field: value\r\n"},
		"trailer field":   {header + "4\r\nbody\r\n0\r\nField: ", "value"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, sent := endlessTarget(t, c.prefix, c.repeated)
			client := newClient(t)
			r := newGet(address, "n", "")
			r.Deadline = time.Now().Add(deadline)
			response, err := client.Do(t.Context(), r)
			is.NoErr(err)
			is.Equal(response.Status, http.StatusOK)
			_, err = io.Copy(io.Discard, response.Body)
			is.True(attemptError(t, err).Written)
			is.NoErr(response.Body.Close())
			<-sent // The connection was closed.
			open, _ := client.Connections(address)
			is.Equal(open, 0)
		})
	}
	t.Run("caller leaves", func(t *testing.T) {
		is := is.New(t)
		address, sent := endlessTarget(t, header, "4\r\nbody\r\n")
		response, err := newClient(t).Do(t.Context(), newGet(address, "n", ""))
		is.NoErr(err)
		_, err = io.CopyN(io.Discard, response.Body, 1<<20)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		<-sent
	})
}
