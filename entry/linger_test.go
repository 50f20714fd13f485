package entry

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowCaller returns both ends of a connection of a caller that receives only a few kilobytes before it reads.
func slowCaller(t *testing.T) (caller net.Conn, entryEnd *callerConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	small := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(controlErr, err)
	}}
	caller, err = small.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	is.NoErr(caller.SetDeadline(time.Now().Add(10 * time.Second)))
	accepted, err := callerListener{Listener: l, lingering: new(atomic.Int64)}.Accept()
	is.NoErr(err)
	return caller, accepted.(*callerConn)
}

// Guards against a response that is lost when a further request arrives just after the entry has closed the connection: the
// kernel resets a closed connection on which bytes arrive.
func TestRequestBehindCloseKeepsResponse(t *testing.T) {
	is := is.New(t)
	caller, entryEnd := slowCaller(t)
	response := strings.Repeat("accepted ", 4<<10)
	_, err := io.WriteString(entryEnd, response)
	is.NoErr(err)
	is.NoErr(entryEnd.Close())
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	received, err := io.ReadAll(caller)
	is.NoErr(err) // not a reset
	is.Equal(len(received), len(response))
}

// Guards against a server that goes on reading a connection after it has closed it, and runs a request whose response can't be
// sent.
func TestCloseEndsReads(t *testing.T) {
	is := is.New(t)
	caller, entryEnd := slowCaller(t)
	_, err := io.WriteString(entryEnd, "response")
	is.NoErr(err)
	reads := make(chan error, 1)
	go func() {
		_, err := entryEnd.Read(make([]byte, 16))
		reads <- err
	}()
	is.NoErr(entryEnd.Close())
	select {
	case err = <-reads:
		is.True(errors.Is(err, net.ErrClosed))
	case <-time.After(lingerTime / 2):
		t.Fatal("a read goes on after Close")
	}
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, err = entryEnd.Read(make([]byte, 16))
	is.True(errors.Is(err, net.ErrClosed))
	is.Equal(entryEnd.lingering.Load(), int64(1))
	is.NoErr(caller.Close())
	for end := time.Now().Add(lingerTime / 2); entryEnd.lingering.Load() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
