package standin

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// cut makes the kernel drop all that arrives for the target, on open connections and for new ones,
// as a cut path does: nothing is acknowledged and connections can't be opened.
func (s *connSet) cut(on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all error
	if l, ok := s.Listener.(syscall.Conn); ok {
		all = dropPackets(l, on)
	}
	for c := range s.open {
		if tcp, ok := c.Conn.(syscall.Conn); ok {
			all = errors.Join(all, dropPackets(tcp, on))
		}
	}
	return TargetError.Wrap(all)
}

// dropPackets attaches a socket filter that accepts nothing, or removes it.
func dropPackets(c syscall.Conn, on bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(nothing)), Filter: &nothing[0]}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		if on {
			optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
			return
		}
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(optErr, unix.ENOENT) {
			optErr = nil // the connection was opened after the cut
		}
	})
	return errors.Join(err, optErr)
}

// cutLocked cuts the target off for a time. Control requests don't reach it either, so it heals by
// itself.
func (t *Target) cutLocked(d time.Duration) error {
	conns := t.conns
	err := conns.cut(true)
	// Healing fails only for connections that were closed meanwhile.
	time.AfterFunc(d, func() { _ = conns.cut(false) })
	return err
}
