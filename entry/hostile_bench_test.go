package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkCallerConnection measures requests on one open connection of a caller, from its head to the entry's own
// response. No route matches them, so that no target takes part.
func BenchmarkCallerConnection(b *testing.B) {
	e := newServingEntry(b, 3, "")
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	e.Settings.CallerAddress, e.Settings.OperatorAddress = probe.Addr().String(), "127.0.0.1:0"
	_ = probe.Close()
	if err := e.listen(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		_ = e.callerServer.Close()
		_ = e.operatorServer.Close()
		e.background.Wait()
	}()
	for _, fields := range []int{5, 20} {
		b.Run(fmt.Sprintf("fields=%d", fields), func(b *testing.B) {
			c, err := net.DialTimeout("tcp", e.Settings.CallerAddress, time.Second)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			var head bytes.Buffer
			head.WriteString("GET /none HTTP/1.1\r\nHost: x\r\n")
			for i := range fields {
				fmt.Fprintf(&head, "X-Field-%d: a value of usual length\r\n", i)
			}
			head.WriteString("\r\n")
			r := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(head.Bytes()); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(r, nil)
				if err != nil || response.StatusCode != http.StatusNotFound {
					b.Fatal(err, response)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}

// BenchmarkBufferBody measures the buffering of a body that has arrived.
func BenchmarkBufferBody(b *testing.B) {
	for _, size := range []int{1 << 10, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			body := bytes.Repeat([]byte("x"), size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for b.Loop() {
				x := &exchange{body: bytes.NewReader(body)}
				x.ContentLength = int64(size)
				if err := x.bufferBody(512 << 10); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
