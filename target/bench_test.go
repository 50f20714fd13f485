package target_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/bilberrywood/bilberrywood/target"
)

// benchBodySizes are the body sizes in bytes of a lookup, a notice and a chunk of an upload.
var benchBodySizes = []int{0, 4 << 10, 64 << 10, 1 << 20}

// startEchoServer starts a server that echoes request bodies.
func startEchoServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", r.Header.Get("Content-Length"))
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		_, _ = w.Write(body.Bytes())
	})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// BenchmarkDo measures a request on a reused connection, including the cost of the server.
func BenchmarkDo(b *testing.B) {
	for _, size := range benchBodySizes {
		body := make([]byte, size)
		address := startEchoServer(b)
		b.Run(fmt.Sprintf("client=target/bytes=%d", size), func(b *testing.B) {
			c := newClient(b)
			b.ReportAllocs()
			for b.Loop() {
				r := &target.Request{
					Address: address, Method: http.MethodPost, Path: "/", Host: "pool", Idempotent: true,
					Body: bytes.NewReader(body), ContentLength: int64(size),
				}
				resp, err := c.Do(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(size) {
					b.Fatal(n, err)
				}
			}
		})
		b.Run(fmt.Sprintf("client=http/bytes=%d", size), func(b *testing.B) {
			c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer c.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := c.Post("http://"+address, "", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != int64(size) {
					b.Fatal(n, err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}

// BenchmarkIdleConnection measures the heap memory of an idle connection on the client side.
func BenchmarkIdleConnection(b *testing.B) {
	for _, count := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("connections=%d", count), func(b *testing.B) {
			address := scriptedTarget(b, func(c net.Conn, _ int) {
				// The server has no buffers, so that only the client's memory counts.
				buffer := make([]byte, 512)
				_, _ = c.Read(buffer)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
				_, _ = c.Read(buffer)
			})
			for b.Loop() {
				c := &target.Client{MaxConnections: count}
				before := heapInUse()
				responses := make([]*target.Response, count)
				for i := range responses {
					resp, err := c.Do(context.Background(), newGet(address, "", ""))
					if err != nil {
						b.Fatal(err)
					}
					responses[i] = resp
				}
				for i, resp := range responses {
					_, _ = io.Copy(io.Discard, resp.Body)
					responses[i] = nil
				}
				b.ReportMetric(float64(heapInUse()-before)/float64(count), "B/connection")
				_ = c.Close()
			}
		})
	}
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the second collection empties sync.Pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
