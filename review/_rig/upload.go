package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// uploadBody returns a body whose bytes name their request and their position, so that a missing part shows.
func uploadBody(id string, size int) []byte {
	var b strings.Builder
	for b.Len() < size {
		fmt.Fprintf(&b, "%s %08d\n", id, b.Len())
	}
	return []byte(b.String()[:size])
}

// sendChunked sends one attempt with a body in chunks, at an even pace, on a connection of its own. It reads the answer
// while it sends, and goes on sending after an early one.
func (c *client) sendChunked(address, id, path string, body []byte, pieces int, gap, deadline time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.rec.add(event{Who: "client", What: "failed", ID: id, Note: err.Error()})
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	c.rec.add(event{Who: "client", What: "sent", ID: id, Method: http.MethodPost, Path: path, Note: fmt.Sprintf("%d bytes in %d chunks, to %s", len(body), pieces, address)})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			c.rec.add(event{Who: "client", What: "failed", ID: id, Note: err.Error()})
			return
		}
		c.rec.add(event{Who: "client", What: "answer begins", ID: id, Status: r.StatusCode, Stamp: r.Header.Get("X-Server-Stamp")})
		raw, err := io.ReadAll(r.Body)
		e := event{Who: "client", What: "answered", ID: id, Status: r.StatusCode, Stamp: r.Header.Get("X-Server-Stamp"), Note: fmt.Sprintf("%d bytes", len(raw))}
		if err != nil {
			e.What, e.Note = "failed", err.Error()
		}
		c.rec.add(e)
	}()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		path, c.host, id, deadline.Milliseconds())
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	size := (len(body) + pieces - 1) / pieces
	for rest := body; len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			c.rec.add(event{Who: "client", What: "sending ended", ID: id, Note: err.Error()})
			break
		}
		rest = rest[n:]
		time.Sleep(gap)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	<-answered
}
