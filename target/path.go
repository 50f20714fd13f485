package target

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnwatched is the most bytes of a request that fit into the smallest usual receive window (64,240
// bytes on Linux) with room to spare.
const maxUnwatched = 32 << 10

// pathWatch finds a dead path under a large request. The kernel's user timeout serves for small ones
// only: it also counts the time in which the target reads nothing although its kernel answers, and
// so would cut off an upload that a target stops reading for a few seconds.
type pathWatch struct {
	conn  *conn
	limit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// suspect says that the last look found the path stuck. One look is not enough, because it may
	// fall between a window probe and its answer.
	suspect bool
	stopped bool
}

// watchPath replaces the kernel's timeout on c until stop is called.
func watchPath(c *conn, limit time.Duration) (*pathWatch, error) {
	if err := c.setUserTimeout(0); err != nil {
		return nil, err
	}
	w := &pathWatch{conn: c, limit: limit}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval(), w.look)
	return w, nil
}

// interval is short against limit, so that the second look adds little to the detection.
func (w *pathWatch) interval() time.Duration { return w.limit / 6 }

// look closes the connection if the path was stuck at this and the last look.
func (w *pathWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	stuck := w.conn.stuck(w.limit - w.interval())
	if stuck && w.suspect {
		w.conn.Close()
		return
	}
	w.suspect = stuck
	w.timer.Reset(w.interval())
}

// stop ends the watch and gives the connection back to the kernel's timeout.
func (w *pathWatch) stop() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.conn.setUserTimeout(w.limit)
}

// stuck says that sent bytes or window probes wait for an answer and that nothing was heard from the
// other kernel for limit.
func (c *conn) stuck(limit time.Duration) bool {
	var info *unix.TCPInfo
	var infoErr error
	err := c.raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return false
	}
	waits := info.Retransmits > 0 || info.Probes > 0
	return waits && time.Duration(info.Last_ack_recv)*time.Millisecond >= limit
}

// setUserTimeout sets how long sent bytes may stay unacknowledged; 0 means the kernel's default.
func (c *conn) setUserTimeout(limit time.Duration) error {
	return setUserTimeout(c.raw, limit)
}

// userTimeout returns a hook for net.Dialer that sets the user timeout.
func userTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, limit) }
}

func setUserTimeout(c syscall.RawConn, limit time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err == nil {
		err = optErr
	}
	return Error.Wrap(err)
}
