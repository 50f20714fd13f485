package target_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/target"
)

// closeDelimitedClient returns a client of targets whose responses may end with their connection.
func closeDelimitedClient(t testing.TB) *target.Client {
	p := target.DefaultProtocol
	p.CloseDelimited = true
	c := newClient(t)
	c.Protocol = &p
	return c
}

// Guards against the part of a response without a length that is passed on as a whole one, because the reset of its connection
// was reported to the writer of the request body and not to the reader of the response.
func TestResetBehindUnframedResponse(t *testing.T) {
	const part = "the first part"
	for _, c := range []struct {
		name string
		// end ends the target's side of the connection.
		end      func(c *net.TCPConn)
		complete bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, false},
		{"closed, with the upload unread", func(c *net.TCPConn) { _ = c.Close() }, false},
		{"closed for sending, then reset", func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() }, false},
		{"closed for sending, the upload is read", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
	} {
		// An upload of a connection that is broken off is longer than all buffers on its way.
		size := int64(1 << 30)
		if c.complete {
			size = 1 << 20
		}
		for _, length := range []int64{size, -1} {
			for _, status := range []string{"200 OK", "500 Internal Server Error"} {
				t.Run(fmt.Sprintf("%s, length %d, %s", c.name, length, status), func(t *testing.T) {
					is := is.New(t)
					responded, writerEnded := make(chan struct{}), make(chan struct{})
					address := scriptedTarget(t, func(conn net.Conn, _ int) {
						readRequestHeader(conn)
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\n"+target.HeaderNonce+": n\r\n\r\n"+part)
						<-responded
						c.end(conn.(*net.TCPConn))
					})
					body, feed := io.Pipe()
					go func() {
						defer close(writerEnded)
						// The pipe fails when the writer has stopped after an error of its connection.
						for range size >> 14 {
							if _, err := feed.Write(make([]byte, 1<<14)); err != nil {
								return
							}
						}
						_ = feed.Close()
					}()
					r := newPost(address, "n", "", body)
					r.ContentLength = length
					r.StopBody = func() { _ = body.CloseWithError(errors.New("stopped")) }
					client := closeDelimitedClient(t)
					response, err := client.Do(t.Context(), r)
					is.NoErr(err)
					close(responded)
					// The kernel reports the reset to the first one that asks.
					if c.complete {
						<-writerEnded
					} else {
						waitFor(t, "the writer stops", func() bool { return target.BodyEnded(response) })
					}
					got, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					is.Equal(string(got), part)
					is.Equal(err == nil, c.complete)
					if !c.complete {
						is.Equal(attemptError(t, err).Kind, pool.OutcomeTruncated)
					}
					open, _ := client.Connections(address)
					is.Equal(open, 0)
				})
			}
		}
	}
}

// Guards against a response whose status is none, and against bytes behind it that are taken for the response. It must fail at
// once, not at the deadline, and its connection must not be used again.
func TestImproperStatus(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + target.HeaderNonce + ": n\r\nContent-Length: 0\r\n\r\n"
	for _, status := range []string{
		"000", "0", "2", "20", "2000", "099", "+20", "-20", "-00", "0x0", "2 0", "", "600", "999", "20O", "101",
		"199 with a body", "100 with a body", "199 in chunks",
	} {
		for name, rest := range map[string]string{"nothing": "", "bytes": "no response", "a response": whole} {
			t.Run(status+" before "+name, func(t *testing.T) {
				is := is.New(t)
				framing := fmt.Sprintf("Content-Length: %d", len(rest))
				switch {
				case status == "199 in chunks":
					framing = "Transfer-Encoding: chunked"
				case rest == "" && len(status) > len("199"):
					framing = "Content-Length: 1"
				}
				address := scriptedTarget(t, func(c net.Conn, _ int) {
					readRequestHeader(c)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: n\r\n%s\r\n\r\n%s", status, target.HeaderNonce, framing, rest)
					readRequestHeader(c)
				})
				client := newClient(t)
				r := newGet(address, "n", "")
				_, _, err := do(t.Context(), client, r, 0)
				e := attemptError(t, err)
				is.Equal(e.Kind, pool.OutcomeTruncated)
				is.True(e.Written)
				open, _ := client.Connections(address)
				is.Equal(open, 0)
			})
		}
	}
}

// Guards against a proper status that is taken for an improper one.
func TestProperStatus(t *testing.T) {
	for _, status := range []string{"200 OK", "200", " 200 OK", "299 x", "404 Not Found", "599 x"} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 199 x\r\n\r\n"} {
			is := is.New(t)
			address := scriptedTarget(t, func(c net.Conn, _ int) {
				readRequestHeader(c)
				_, _ = fmt.Fprintf(c, "%sHTTP/1.1 %s\r\n%s: n\r\nContent-Length: 2\r\n\r\nok", before, status, target.HeaderNonce)
			})
			response, err := newClient(t).Do(t.Context(), newGet(address, "n", ""))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "ok")
			is.True(response.Status >= http.StatusOK && bytes.Contains([]byte(status), fmt.Append(nil, response.Status)))
		}
	}
}
