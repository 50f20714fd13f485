package target

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnmonitoredBytes is the maximum size of a request that needs no pathMonitor. It fits into the
// smallest usual receive window (64,240 bytes on Linux) with room to spare.
const maxUnmonitoredBytes = 32 << 10

// pathMonitor detects a broken path during a large request. The kernel's user timeout suits small
// requests only: it also counts the time during which the target reads nothing although its kernel
// acknowledges, and would abort an upload that a target stops reading for a few seconds.
type pathMonitor struct {
	conn    *conn
	timeout time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// stalledBefore reports that the last check found the path stalled. A single check is not
	// enough, because it may fall between a window probe and its acknowledgment.
	stalledBefore bool
	stopped       bool
}

// monitorPath disables the kernel's user timeout on c and monitors the path until stop is called.
func monitorPath(c *conn, timeout time.Duration) (*pathMonitor, error) {
	if err := c.setUserTimeout(0); err != nil {
		return nil, err
	}
	m := &pathMonitor{conn: c, timeout: timeout}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(m.interval(), m.check)
	return m, nil
}

// interval is short against timeout, so that the second check adds little to the detection time.
func (m *pathMonitor) interval() time.Duration { return m.timeout / 6 }

// check closes the connection if this check and the last one found the path stalled.
func (m *pathMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	stalled := m.conn.stalled(m.timeout - m.interval())
	if stalled && m.stalledBefore {
		m.conn.Close()
		return
	}
	m.stalledBefore = stalled
	m.timer.Reset(m.interval())
}

// stop stops the monitor and enables the kernel's user timeout again.
func (m *pathMonitor) stop() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
	return m.conn.setUserTimeout(m.timeout)
}

// stalled reports whether sent bytes or window probes are unacknowledged and the other kernel has
// sent no acknowledgment for timeout.
func (c *conn) stalled(timeout time.Duration) bool {
	info, ok := c.tcpInfo()
	if !ok {
		return false
	}
	unacked := info.Retransmits > 0 || info.Probes > 0
	return unacked && time.Duration(info.Last_ack_recv)*time.Millisecond >= timeout
}

// aborted reports whether the kernel has given up the connection, because of a reset or a timeout. A connection whose other
// side has ended its sending direction is not aborted, unless a reset followed.
func (c *conn) aborted() bool {
	info, ok := c.tcpInfo()
	return ok && info.State == unix.BPF_TCP_CLOSE
}

// tcpInfo returns what the kernel knows of the connection. ok is false if it is closed here.
func (c *conn) tcpInfo() (info *unix.TCPInfo, ok bool) {
	var infoErr error
	err := c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && infoErr == nil
}

// setUserTimeout sets how long sent bytes may stay unacknowledged; 0 selects the kernel's default.
func (c *conn) setUserTimeout(timeout time.Duration) error {
	return setUserTimeout(c.raw, timeout)
}

// userTimeoutControl returns a Control function for net.Dialer that sets the user timeout.
func userTimeoutControl(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, timeout) }
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return Error.Wrap(err)
}
