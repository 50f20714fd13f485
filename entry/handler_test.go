package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/notice"
)

// sendRaw sends bytes to an entry and returns all responses on the connection.
func sendRaw(t *testing.T, address, request string) []*http.Response {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	var responses []*http.Response
	r := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return responses
		}
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		responses = append(responses, response)
		if response.Close {
			return responses
		}
	}
}

// Guards against requests that a target could parse as two, and against refusals with a wrong status or
// outcome. No part of a refused request may reach a target.
func TestRefusals(t *testing.T) {
	targetRequests := 0
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { targetRequests++ }))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	ownID := notice.ID{Entry: "kb-01", Incarnation: e.dedup.Incarnation, Random: "abcdefgh"}.String()
	otherID := "kb-02.1.0.abcdefgh"
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	const header = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	for _, c := range []struct {
		name, request string
		status        int
		outcome       string
	}{
		{"dot segments", "GET /pool-0000/../x" + header + "\r\n", 400, "notRun"},
		{"encoded dot segments", "GET /pool-0000/%2e%2e/x" + header + "\r\n", 400, "notRun"},
		{"backslash", "GET /pool-0000/a%5cb" + header + "\r\n", 400, "notRun"},
		{"trace", "TRACE /pool-0000/x" + header + "\r\n", 400, "notRun"},
		{"absolute target", "GET http://x/pool-0000/x" + header + "\r\n", 400, "notRun"},
		{"upgrade", "GET /pool-0000/x" + header + "Upgrade: websocket\r\n\r\n", 400, "notRun"},
		{"underscore", "GET /pool-0000/x" + header + "Content_Length: 3\r\n\r\n", 400, "notRun"},
		{"two lengths", "POST /pool-0000/x" + header + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, ""},
		{"unknown coding", "POST /pool-0000/x" + header + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"no route", "GET /nothing" + header + "\r\n", 404, "notRun"},
		{"lookup of an unknown route", "GET /v1/addresses?route=nothing" + header + "\r\n", 404, "notRun"},
		{"bad deadline", "GET /pool-0000/x" + header + "Bilberrywood-Deadline-Ms: soon\r\n\r\n", 400, "notRun"},
		{"passed deadline", "GET /pool-0000/x" + header + "Bilberrywood-Deadline-Ms: 0\r\n\r\n", 504, "notRun"},
		{"wrong account", "GET /pool-0000/x" + header + "Bilberrywood-Account: nobody\r\n\r\n", 401, "notRun"},
		{"too large", "POST /pool-0000/x" + header + "Content-Length: 9999999\r\n\r\n", 413, "notRun"},
		{"malformed id", "POST /pool-0000/x" + header + "Bilberrywood-Id: x\r\nContent-Length: 0\r\n\r\n", 400, "notRun"},
		{"id of another entry", "POST /pool-0000/x" + header + "Bilberrywood-Id: " + otherID + "\r\nContent-Length: 0\r\n\r\n", 502, "unknown"},
		{"id with a refused request", "POST /pool-0000/../x" + header + "Bilberrywood-Id: " + ownID + "\r\nContent-Length: 0\r\n\r\n", 400, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			responses := sendRaw(t, address, c.request)
			is.Equal(len(responses), 1)
			is.Equal(responses[0].StatusCode, c.status)
			is.Equal(responses[0].Header.Get(headerOutcome), c.outcome)
			is.Equal(targetRequests, 0)
		})
	}
}

// Guards against request smuggling with both framings. net/http parses such a request as chunked, so the bytes
// after the last chunk can at most be a request of its own, never part of another caller's.
func TestConflictingFramingIsOneRequest(t *testing.T) {
	is := is.New(t)
	var bodies []string
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		bodies = append(bodies, fmt.Sprintf("%s %s %q", r.Method, r.URL.Path, body))
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	sendRaw(t, strings.TrimPrefix(server.URL, "http://"),
		"POST /pool-0000/a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /pool-0000/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	for _, b := range bodies {
		is.True(b == `POST /pool-0000/a ""` || b == `GET /pool-0000/b ""`)
	}
}

// Guards against a streamed body of unknown length that exceeds the limit of its route.
func TestStreamedBodyLimit(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		is.True(err != nil) // the target must see that the body is truncated
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/pool-0000/x", io.LimitReader(endlessReader{}, 3<<20))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the entry closed the connection while the caller was still sending
	}
	defer response.Body.Close()
	is.True(response.StatusCode >= http.StatusBadRequest)
	is.True(response.Header.Get(headerOutcome) != notice.OutcomeRun)
}

type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies that are truncated on the way to the target, by size around the buffer limits and with
// or without an announced length.
func TestBodiesArriveComplete(t *testing.T) {
	var got int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			n = -1
		}
		got = n
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	for _, size := range []int64{0, 1, bodyPrefixBytes - 1, bodyPrefixBytes, bodyPrefixBytes + 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d announced=%v", size, announced), func(t *testing.T) {
				is := is.New(t)
				r, err := http.NewRequest(http.MethodPost, server.URL+"/pool-0000/x", io.LimitReader(endlessReader{}, size))
				is.NoErr(err)
				r.ContentLength = -1
				if announced {
					r.ContentLength = size
				}
				response, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				defer response.Body.Close()
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(got, size)
			})
		}
	}
}

// Guards against the caller's absence as the reason of a refusal of a request with an ID, which goes on without its caller.
func TestHalfClosingCallerWithID(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer target.Close()
	e := newServingEntry(t, 1, strings.TrimPrefix(target.URL, "http://"))
	server := httptest.NewServer(e.callerRoutes())
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	const deadline = 200 * time.Millisecond
	id := notice.ID{Entry: "kb-01", Incarnation: e.dedup.Incarnation, Random: "abcdefgh"}.String()
	sentAt := time.Now()
	_, err = fmt.Fprintf(conn, "POST /pool-0000/x HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %d\r\nContent-Length: 3\r\n\r\nabc",
		headerID, id, headerDeadline, deadline.Milliseconds())
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.True(time.Since(sentAt) >= deadline)
	is.Equal(response.Header.Get(headerOutcome), notice.OutcomeUnknown)
	is.True(response.Header.Get(headerReason) != string(reasonCallerGone))
}
