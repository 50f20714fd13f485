package standin

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setBlackhole makes the kernel drop everything that arrives for the target, on open and on new
// connections, as a broken path does: nothing is acknowledged and connections can't be opened.
func (l *trackingListener) setBlackhole(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var joined error
	if listener, ok := l.Listener.(syscall.Conn); ok {
		joined = setDropFilter(listener, on)
	}
	for c := range l.open {
		if tcp, ok := c.Conn.(syscall.Conn); ok {
			joined = errors.Join(joined, setDropFilter(tcp, on))
		}
	}
	return TargetError.Wrap(joined)
}

// setDropFilter attaches a socket filter that drops everything, or removes it.
func setDropFilter(c syscall.Conn, on bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if on {
			optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
			return
		}
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(optErr, unix.ENOENT) {
			optErr = nil // the connection was opened after the filter was attached
		}
	})
	return errors.Join(err, optErr)
}

// blackholeLocked makes the target unreachable for a time. The fault ends by itself, because
// control requests don't arrive either.
func (t *Target) blackholeLocked(d time.Duration) error {
	conns := t.conns
	err := conns.setBlackhole(true)
	// Removing the filter fails only for connections that have been closed meanwhile.
	time.AfterFunc(d, func() { _ = conns.setBlackhole(false) })
	return err
}
