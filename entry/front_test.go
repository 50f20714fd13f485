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

// exchangeRaw sends bytes to an entry and returns all answers on the connection.
func exchangeRaw(t *testing.T, address, request string) []*http.Response {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(c, request)
	is.NoErr(err)
	var answers []*http.Response
	r := bufio.NewReader(c)
	for {
		answer, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers
		}
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		answers = append(answers, answer)
		if answer.Close {
			return answers
		}
	}
}

// Guards against requests that a target could read as two, and against refusals with the wrong status or
// an untruthful outcome. Nothing of a refused request may reach a target.
func TestRefusals(t *testing.T) {
	reached := 0
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached++ }))
	defer target.Close()
	e := serving(t, 1, strings.TrimPrefix(target.URL, "http://"))
	own := notice.ID{Entry: "kb-01", Incarnation: e.register.Incarnation, Random: "abcdefgh"}.String()
	foreign := "kb-02.1.0.abcdefgh"
	front := httptest.NewServer(e.callerRoutes())
	defer front.Close()
	address := strings.TrimPrefix(front.URL, "http://")
	const head = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	for _, c := range []struct {
		name, request string
		status        int
		outcome       string
	}{
		{"dot segments", "GET /pool-0000/../x" + head + "\r\n", 400, "notRun"},
		{"encoded dot segments", "GET /pool-0000/%2e%2e/x" + head + "\r\n", 400, "notRun"},
		{"backslash", "GET /pool-0000/a%5cb" + head + "\r\n", 400, "notRun"},
		{"trace", "TRACE /pool-0000/x" + head + "\r\n", 400, "notRun"},
		{"absolute target", "GET http://x/pool-0000/x" + head + "\r\n", 400, "notRun"},
		{"upgrade", "GET /pool-0000/x" + head + "Upgrade: websocket\r\n\r\n", 400, "notRun"},
		{"underscore", "GET /pool-0000/x" + head + "Content_Length: 3\r\n\r\n", 400, "notRun"},
		{"two lengths", "POST /pool-0000/x" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, ""},
		{"unknown coding", "POST /pool-0000/x" + head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
		{"no route", "GET /nothing" + head + "\r\n", 404, "notRun"},
		{"bad deadline", "GET /pool-0000/x" + head + "Bilberrywood-Deadline-Ms: soon\r\n\r\n", 400, "notRun"},
		{"passed deadline", "GET /pool-0000/x" + head + "Bilberrywood-Deadline-Ms: 0\r\n\r\n", 504, "notRun"},
		{"wrong account", "GET /pool-0000/x" + head + "Bilberrywood-Account: nobody\r\n\r\n", 401, "notRun"},
		{"too large", "POST /pool-0000/x" + head + "Content-Length: 9999999\r\n\r\n", 413, "notRun"},
		{"malformed id", "POST /pool-0000/x" + head + "Bilberrywood-Id: x\r\nContent-Length: 0\r\n\r\n", 400, "notRun"},
		{"id of another entry", "POST /pool-0000/x" + head + "Bilberrywood-Id: " + foreign + "\r\nContent-Length: 0\r\n\r\n", 502, "unknown"},
		{"id with a refused request", "POST /pool-0000/../x" + head + "Bilberrywood-Id: " + own + "\r\nContent-Length: 0\r\n\r\n", 400, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			answers := exchangeRaw(t, address, c.request)
			is.Equal(len(answers), 1)
			is.Equal(answers[0].StatusCode, c.status)
			is.Equal(answers[0].Header.Get(headerOutcome), c.outcome)
			is.Equal(reached, 0)
		})
	}
}

// Guards against smuggling by a request with both framings: net/http reads it as chunked, so whatever
// follows the last chunk is at most a request of its own and never part of another caller's.
func TestBothFramingsStayOneRequest(t *testing.T) {
	is := is.New(t)
	var bodies []string
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		bodies = append(bodies, fmt.Sprintf("%s %s %q", r.Method, r.URL.Path, body))
	}))
	defer target.Close()
	e := serving(t, 1, strings.TrimPrefix(target.URL, "http://"))
	front := httptest.NewServer(e.callerRoutes())
	defer front.Close()
	exchangeRaw(t, strings.TrimPrefix(front.URL, "http://"),
		"POST /pool-0000/a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /pool-0000/b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	for _, b := range bodies {
		is.True(b == `POST /pool-0000/a ""` || b == `GET /pool-0000/b ""`)
	}
}

// Guards against a body that streams past the limit of its route although no length was announced.
func TestStreamedBodyLimit(t *testing.T) {
	is := is.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		is.True(err != nil) // the target must see that the body is cut
	}))
	defer target.Close()
	e := serving(t, 1, strings.TrimPrefix(target.URL, "http://"))
	front := httptest.NewServer(e.callerRoutes())
	defer front.Close()
	r, err := http.NewRequest(http.MethodPost, front.URL+"/pool-0000/x", io.LimitReader(endless{}, 3<<20))
	is.NoErr(err)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the connection was cut while the caller was still sending
	}
	defer answer.Body.Close()
	is.True(answer.StatusCode >= http.StatusBadRequest)
	is.True(answer.Header.Get(headerOutcome) != notice.OutcomeRun)
}

type endless struct{}

// Read implements io.Reader.
func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies that reach the target shortened, by length, framing and the size that is kept.
func TestBodiesArriveWhole(t *testing.T) {
	var got int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			n = -1
		}
		got = n
	}))
	defer target.Close()
	e := serving(t, 1, strings.TrimPrefix(target.URL, "http://"))
	front := httptest.NewServer(e.callerRoutes())
	defer front.Close()
	for _, size := range []int64{0, 1, headBytes - 1, headBytes, headBytes + 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d announced=%v", size, announced), func(t *testing.T) {
				is := is.New(t)
				r, err := http.NewRequest(http.MethodPost, front.URL+"/pool-0000/x", io.LimitReader(endless{}, size))
				is.NoErr(err)
				r.ContentLength = -1
				if announced {
					r.ContentLength = size
				}
				answer, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				defer answer.Body.Close()
				is.Equal(answer.StatusCode, http.StatusOK)
				is.Equal(got, size)
			})
		}
	}
}
