package target

import (
	"errors"
	"os"
	"time"
)

// mayMove says whether the request may be sent again on a new connection to the same target. Large
// requests may not, because much of the patience may go into sending them.
func (a *attempt) mayMove() bool {
	return a.conn.used && a.request.Idempotent && a.request.SilenceTimeout > 0 && a.writer == nil && a.watch == nil
}

// awaitFirstByte waits for the first byte of the answer. If none comes within the request's
// patience it moves the request to a new connection, provided that the target accepts one; if it
// doesn't, the target and not the connection is at fault, and the request stays where it is.
func (a *attempt) awaitFirstByte() error {
	limit := a.firstWrite.Add(a.request.SilenceTimeout)
	if !a.deadline.IsZero() && !limit.Before(a.deadline) {
		return nil
	}
	if err := a.conn.SetReadDeadline(limit); err != nil {
		return err
	}
	_, err := a.conn.reader.Peek(1)
	if restore := a.conn.SetReadDeadline(a.deadline); restore != nil && err == nil {
		return restore
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return a.move()
}

// move dials a new connection, closes the silent one, which cancels the request there, and sends the
// request on the new one.
func (a *attempt) move() error {
	s := a.client.store
	if s.reserve(a.request.Address) != nil {
		return nil
	}
	c, err := a.dial()
	if err != nil {
		return nil
	}
	old := a.conn
	if !old.quiet() {
		// The answer came during the dialling.
		s.put(a.request.Address, c)
		return nil
	}
	a.unwatch()
	a.wroteBefore = a.wroteBefore || old.written.Load()
	s.drop(a.request.Address, old)
	a.use(c)
	a.silent = true
	if a.expired() {
		return os.ErrDeadlineExceeded
	}
	return a.writeHead()
}

// SilenceTimeout returns a patience for a target whose service times have the given high quantile, so that
// slow work is rarely taken for a silent connection.
func SilenceTimeout(quantile time.Duration) time.Duration {
	const factor, least = 3, 20 * time.Millisecond
	return max(factor*quantile, least)
}
