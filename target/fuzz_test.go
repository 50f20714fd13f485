package target

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"
)

// Guards against header values that crash the parsers or exceed their limits.
func FuzzHeaders(f *testing.F) {
	f.Add("250", "Wed, 21 Oct 2026 07:28:00 GMT", "close, X-A")
	f.Add("-1", "120", ",, ,")
	f.Add("99999999999999999999", "1e9", "keep-alive,\x00,a b")
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, deadline, retry, connection string) {
		h := http.Header{
			HeaderDeadline: {deadline}, "Retry-After": {retry}, "Connection": {connection}, "X-A": {"1"}, "X-B": {"2"},
		}
		if d, ok := ParseDeadline(h); d < 0 || d > maxPeerDuration || !ok && d != 0 {
			t.Errorf("deadline %q yields %v", deadline, d)
		}
		if d := ParseRetryAfter(h, now); d < 0 || d > maxPeerDuration {
			t.Errorf("Retry-After %q yields %v", retry, d)
		}
		DropHopByHop(h)
		for name := range strings.SplitSeq(connection, ",") {
			if name = textproto.TrimString(name); h.Get(name) != "" {
				t.Errorf("field %q is listed in Connection but was not removed", name)
			}
		}
		if h.Get("Connection") != "" {
			t.Error("Connection was not removed")
		}
	})
}

// Guards against load reports that crash the parser or yield a negative load.
func FuzzParseLoad(f *testing.F) {
	f.Add([]byte(`{"inFlight":3}`))
	f.Add([]byte(`{"inFlight":-3}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if load, ok := ParseLoad(body); load < 0 || !ok && load != 0 {
			t.Errorf("%q yields %d", body, load)
		}
	})
}

// Guards against a request that a target reads as a different one or as two. For any header and
// body, reading the written bytes must yield one request with the same request line and body.
func FuzzWrittenRequest(f *testing.F) {
	f.Add("POST", "/a?b=c", "pool", "X-A", "1", []byte("body"))
	f.Add("GET", "/", "", "Transfer-Encoding", "chunked", []byte{})
	f.Add("POST", "/", "", "transfer-encoding", "chunked", []byte("0\r\n\r\n"))
	f.Add("POST", "/", "", "content-length", "1", []byte("body"))
	f.Add("PUT", "/x", "h:1", "Content-Length ", "5\r\n\r\nGET / HTTP/1.1", []byte("0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, method, path, host, name, value string, body []byte) {
		r := &Request{
			Method: method, Path: path, Host: host, Header: http.Header{name: {value}},
			Body: bytes.NewReader(body), ContentLength: int64(len(body)),
		}
		if r.check() != nil {
			return
		}
		var b bytes.Buffer
		appendRequestHeader(&b, &DefaultProtocol, r, time.Time{}, time.Time{})
		b.Write(body)
		reader := bufio.NewReader(&b)
		got, err := http.ReadRequest(reader)
		if err != nil {
			return // the target refuses what it can't parse
		}
		read, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(read, body) || got.Method != method || got.RequestURI != path {
			t.Errorf("%s %q is read as %s %q with %q (%v)", method, path, got.Method, got.RequestURI, read, err)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("unread bytes after the request")
		}
	})
}
