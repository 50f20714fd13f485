package target

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeld is the largest body that is written in one piece with the head.
	maxHeld = 64 << 10
	// bodyBuffer is the size of the pieces in which a streamed body is written.
	bodyBuffer = 32 << 10
	// chunkRoom is the room before a piece for its length in hex and after it for the line's end.
	chunkRoom = 10
)

var (
	// buffers holds *bytes.Buffer for heads and held bodies, pieces *[]byte for streamed bodies.
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	pieces  = sync.Pool{New: func() any { b := make([]byte, chunkRoom+bodyBuffer+2); return &b }}
)

// notSent are the fields that are not taken from a request's header: hop-by-hop fields, and those
// that the head is given from other parts of the request.
var notSent = func() map[string]bool {
	m := map[string]bool{"Host": true, "Content-Length": true, "Expect": true, HeaderDeadline: true}
	maps.Copy(m, hopByHop)
	return m
}()

// appendHead writes the request line and the header to b.
func appendHead(b *bytes.Buffer, p *Protocol, r *Request, deadline, now time.Time) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if !deadline.IsZero() {
		appendField(b, p.DeadlineHeader, FormatDeadline(deadline.Sub(now)))
	}
	if p.InstanceHeader != "" && r.Instance != "" {
		appendField(b, p.InstanceHeader, r.Instance)
	}
	appendFraming(b, r)
	// Writing to a buffer does not fail. WriteSubset leaves out fields with invalid names and
	// replaces line ends in values.
	_ = r.Header.WriteSubset(b, excluded(r.Header, p.DeadlineHeader, p.InstanceHeader))
	b.WriteString("\r\n")
}

// excluded returns the keys of h that are not sent: notSent, the fields named, and those that the Connection
// field names. It copies notSent only if h has one of these, or keys in another spelling, such as
// "content-length".
func excluded(h http.Header, named ...string) map[string]bool {
	exclude := notSent
	add := func(name string) {
		if len(exclude) == len(notSent) {
			exclude = maps.Clone(notSent)
		}
		exclude[name] = true
	}
	options := connectionOptions(h)
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if !notSent[name] && slices.Contains(named, canonical) {
			add(name)
		}
		if canonical != name && notSent[canonical] || slices.Contains(options, canonical) && !notSent[name] {
			add(name)
		}
	}
	return exclude
}

func appendField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// appendFraming writes the fields that say how long the body is.
func appendFraming(b *bytes.Buffer, r *Request) {
	switch {
	case r.hasBody() && r.ContentLength < 0:
		appendField(b, "Transfer-Encoding", "chunked")
		if names := trailerNames(r.Trailer); len(names) > 0 {
			appendField(b, "Trailer", strings.Join(names, ", "))
		}
	case r.hasBody():
		appendField(b, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		appendField(b, "Content-Length", "0")
	}
}

// trailerNames returns the names of a trailer's fields that may be sent as such, in order.
func trailerNames(trailer http.Header) []string {
	var names []string
	for name := range trailer {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if !notSent[name] && !strings.ContainsFunc(name, notToken) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// bodyWriter streams a request's body to a connection while the answer may already arrive.
type bodyWriter struct {
	conn    *conn
	request *Request
	// last is set right before the last byte of the body is written.
	last atomic.Bool
	done chan struct{}
	// ended is when the last byte was written, in nanoseconds since 1970; 0 before.
	ended atomic.Int64
	// bodyFailed is set before the connection is closed because the body can't be read.
	bodyFailed atomic.Bool
	// connErr is set before done is closed.
	connErr error
}

// run writes the body. If the body can't be read it closes the connection, so that the target
// doesn't take a part for the whole. If the connection fails it leaves that to the reader, because
// an answer may have arrived before.
func (w *bodyWriter) run() {
	defer close(w.done)
	defer func() { w.ended.Store(time.Now().UnixNano()) }()
	buffer := pieces.Get().(*[]byte)
	defer pieces.Put(buffer)
	if w.request.ContentLength < 0 {
		w.runChunked(*buffer)
	} else {
		w.runCounted((*buffer)[:bodyBuffer])
	}
	if w.bodyFailed.Load() {
		w.conn.Close()
	}
}

// stop makes an unfinished writer leave the body alone and waits for it.
func (w *bodyWriter) stop() {
	select {
	case <-w.done:
	default:
		w.request.StopBody()
		<-w.done
	}
}

func (w *bodyWriter) runCounted(b []byte) {
	left := w.request.ContentLength
	for left > 0 {
		n, err := w.request.Body.Read(b[:min(int64(len(b)), left)])
		left -= int64(n)
		if n > 0 {
			if left == 0 {
				w.last.Store(true)
			}
			if _, w.connErr = w.conn.Write(b[:n]); w.connErr != nil {
				return
			}
		}
		if err != nil && left > 0 {
			w.bodyFailed.Store(true)
			return
		}
	}
}

func (w *bodyWriter) runChunked(b []byte) {
	for {
		n, err := w.request.Body.Read(b[chunkRoom : chunkRoom+bodyBuffer])
		if n > 0 {
			if _, w.connErr = w.conn.Write(frameChunk(b, n)); w.connErr != nil {
				return
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			w.bodyFailed.Store(true)
			return
		}
	}
	w.last.Store(true)
	_, w.connErr = w.conn.Write(lastChunk(w.request.Trailer))
}

// frameChunk puts the chunk's length before and a line end after the n bytes at chunkRoom.
func frameChunk(b []byte, n int) []byte {
	length := strconv.AppendInt(make([]byte, 0, chunkRoom), int64(n), 16)
	length = append(length, '\r', '\n')
	start := chunkRoom - len(length)
	copy(b[start:], length)
	return append(b[start:chunkRoom+n], '\r', '\n')
}

// lastChunk returns the end of a chunked body with its trailer.
func lastChunk(trailer http.Header) []byte {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	if len(trailer) > 0 {
		_ = trailer.WriteSubset(&b, excluded(trailer)) // writing to a buffer does not fail
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
