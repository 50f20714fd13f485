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
	// maxBufferedBody is the largest body in bytes that is written together with the header.
	maxBufferedBody = 64 << 10
	// bodyBufferSize is the size in bytes of the buffer for a streamed body.
	bodyBufferSize = 32 << 10
	// chunkHeaderSize is the space in bytes before a chunk for its length in hex and the line end.
	chunkHeaderSize = 10
)

var (
	// bufferPool holds *bytes.Buffer for headers and buffered bodies, bodyBufferPool holds *[]byte
	// for streamed bodies.
	bufferPool     = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	bodyBufferPool = sync.Pool{New: func() any { b := make([]byte, chunkHeaderSize+bodyBufferSize+2); return &b }}
)

// excludedHeaders are the fields that are not copied from a request's header: hop-by-hop fields,
// and those that are written from other parts of the request.
var excludedHeaders = func() map[string]bool {
	m := map[string]bool{"Host": true, "Content-Length": true, "Expect": true, HeaderDeadline: true}
	maps.Copy(m, hopByHopHeaders)
	return m
}()

// appendRequestHeader writes the request line and the header to b.
func appendRequestHeader(b *bytes.Buffer, p *Protocol, r *Request, deadline, now time.Time) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if !deadline.IsZero() {
		appendHeaderField(b, p.DeadlineHeader, FormatDeadline(deadline.Sub(now)))
	}
	if p.InstanceHeader != "" && r.Instance != "" {
		appendHeaderField(b, p.InstanceHeader, r.Instance)
	}
	appendFraming(b, p, r)
	// Writing to a buffer does not fail. WriteSubset leaves out fields with invalid names and
	// replaces line ends in values.
	_ = r.Header.WriteSubset(b, excludedKeys(r.Header, p.DeadlineHeader, p.InstanceHeader))
	b.WriteString("\r\n")
}

// excludedKeys returns the keys of h that are not sent: excludedHeaders, the extra names, and those
// that the Connection field names. It copies excludedHeaders only if h has one of these, or keys in
// non-canonical form, such as "content-length".
func excludedKeys(h http.Header, extra ...string) map[string]bool {
	exclude := excludedHeaders
	add := func(name string) {
		if len(exclude) == len(excludedHeaders) {
			exclude = maps.Clone(excludedHeaders)
		}
		exclude[name] = true
	}
	options := connectionOptions(h)
	for name := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if !excludedHeaders[name] && slices.Contains(extra, canonical) {
			add(name)
		}
		if canonical != name && excludedHeaders[canonical] || slices.Contains(options, canonical) && !excludedHeaders[name] {
			add(name)
		}
	}
	return exclude
}

func appendHeaderField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// appendFraming writes the fields that define the length of the body.
func appendFraming(b *bytes.Buffer, p *Protocol, r *Request) {
	switch {
	case r.hasBody() && r.ContentLength < 0:
		appendHeaderField(b, "Transfer-Encoding", "chunked")
		if names := trailerNames(p, r.Trailer); len(names) > 0 {
			appendHeaderField(b, "Trailer", strings.Join(names, ", "))
		}
	case r.hasBody():
		appendHeaderField(b, "Content-Length", strconv.FormatInt(r.ContentLength, 10))
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		appendHeaderField(b, "Content-Length", "0")
	}
}

// trailerNames returns the sorted names of the fields that may be sent in a trailer.
func trailerNames(p *Protocol, trailer http.Header) []string {
	var names []string
	for name := range trailer {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if !excludedHeaders[name] && !slices.Contains(p.credentialFields(), name) && !strings.ContainsFunc(name, notToken) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// bodyWriter streams a request body to a connection. The response may arrive meanwhile.
type bodyWriter struct {
	conn     *conn
	protocol *Protocol
	request  *Request
	// lastWriteStarted is set right before the last byte of the body is written.
	lastWriteStarted atomic.Bool
	done             chan struct{}
	// endedAt is when the writer ended, also after an error, in nanoseconds since 1970; 0 before.
	endedAt atomic.Int64
	// bodyFailed is set if the body can't be read, before the connection is closed.
	bodyFailed atomic.Bool
	// connErr is set before done is closed.
	connErr error
}

// run writes the body. If the body can't be read, it closes the connection, so that the target does
// not mistake the truncated body for a complete one. If the connection fails, it leaves the error to the reader,
// because a response may have arrived before.
func (w *bodyWriter) run() {
	defer close(w.done)
	defer func() { w.endedAt.Store(time.Now().UnixNano()) }()
	buffer := bodyBufferPool.Get().(*[]byte)
	defer bodyBufferPool.Put(buffer)
	if w.request.ContentLength < 0 {
		w.writeChunked(*buffer)
	} else {
		w.writeFixedLength((*buffer)[:bodyBufferSize])
	}
	if w.bodyFailed.Load() {
		w.conn.Close()
	}
}

// stop makes a writer that has not finished stop reading the body, and waits for it.
func (w *bodyWriter) stop() {
	select {
	case <-w.done:
	default:
		w.request.StopBody()
		<-w.done
	}
}

func (w *bodyWriter) writeFixedLength(b []byte) {
	remaining := w.request.ContentLength
	for remaining > 0 {
		n, err := w.request.Body.Read(b[:min(int64(len(b)), remaining)])
		remaining -= int64(n)
		if n > 0 {
			if remaining == 0 {
				w.lastWriteStarted.Store(true)
			}
			if _, w.connErr = w.conn.Write(b[:n]); w.connErr != nil {
				return
			}
		}
		if err != nil && remaining > 0 {
			w.bodyFailed.Store(true)
			return
		}
	}
}

func (w *bodyWriter) writeChunked(b []byte) {
	for {
		n, err := w.request.Body.Read(b[chunkHeaderSize : chunkHeaderSize+bodyBufferSize])
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
	w.lastWriteStarted.Store(true)
	_, w.connErr = w.conn.Write(lastChunk(w.protocol, w.request.Trailer))
}

// frameChunk writes the length of a chunk before and a line end after the n bytes at
// chunkHeaderSize.
func frameChunk(b []byte, n int) []byte {
	length := strconv.AppendInt(make([]byte, 0, chunkHeaderSize), int64(n), 16)
	length = append(length, '\r', '\n')
	start := chunkHeaderSize - len(length)
	copy(b[start:], length)
	return append(b[start:chunkHeaderSize+n], '\r', '\n')
}

// lastChunk returns the last chunk of a body with the trailer.
func lastChunk(p *Protocol, trailer http.Header) []byte {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	if len(trailer) > 0 {
		_ = trailer.WriteSubset(&b, excludedKeys(trailer, p.credentialFields()...)) // writing to a buffer does not fail
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
