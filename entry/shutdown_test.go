package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lossSlack is how long after its last byte a request that was read may end without a response, around a planned stop.
const lossSlack = 200 * time.Millisecond

// heldConn is a connection whose reads return only when they are released, as those of a process without processor time.
type heldConn struct {
	*net.TCPConn
	hold *atomic.Bool
	// held gets a value when a read is held; it ends when release is closed.
	held, release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.hold.Load() {
		c.held <- struct{}{}
		<-c.release
	}
	return n, err
}

// heldListener wraps its connections in copies of conn.
type heldListener struct {
	net.Listener
	conn heldConn
}

func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	held := l.conn
	held.TCPConn = c.(*net.TCPConn)
	return &held, nil
}

// Guards against a request that is run although the server has closed its connection: its first bytes were read as the
// shutdown found the connection idle, or new. It must end without a response at once, and must not run.
func TestRequestReadAtShutdown(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name string
		kept bool
	}{{"on a kept connection", true}, {"on a new connection", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			conn := heldConn{hold: new(atomic.Bool), held: make(chan struct{}, 1), release: make(chan struct{})}
			var runs atomic.Int64
			shutdown, states := make(chan struct{}), make(chan http.ConnState, 10)
			server := &http.Server{
				ReadHeaderTimeout: readHeaderTimeout,
				Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }),
				ConnState:         func(_ net.Conn, s http.ConnState) { states <- s },
			}
			server.RegisterOnShutdown(func() { close(shutdown) })
			go func() {
				_ = server.Serve(callerListener{Listener: heldListener{l, conn}, lingering: new(atomic.Int64)})
			}()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			is.NoErr(caller.SetDeadline(time.Now().Add(10 * time.Second)))
			is.Equal(<-states, http.StateNew)
			responses := bufio.NewReader(caller)
			wantRuns := int64(0)
			if c.kept {
				wantRuns++
				_, err = io.WriteString(caller, request)
				is.NoErr(err)
				response, err := http.ReadResponse(responses, nil)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(<-states, http.StateActive)
				is.Equal(<-states, http.StateIdle)
			}
			conn.hold.Store(true)
			sentAt := time.Now()
			_, err = io.WriteString(caller, request)
			is.NoErr(err)
			<-conn.held
			done := make(chan error, 1)
			go func() { done <- server.Shutdown(context.Background()) }()
			<-shutdown
			if c.kept {
				is.NoErr(<-done) // the connection counted as idle and was closed
			}
			close(conn.release)
			_, err = responses.ReadByte()
			is.Equal(err, io.EOF)
			is.True(time.Since(sentAt) < lossSlack)
			if !c.kept {
				is.NoErr(<-done)
			}
			is.Equal(runs.Load(), wantRuns)
		})
	}
}
