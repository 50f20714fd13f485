package target

import (
	"errors"
	"os"
	"time"
)

// mayReconnect reports whether the request may be sent again on a new connection to the same
// target. Large requests may not, because sending alone could use up much of the silence timeout.
func (a *attempt) mayReconnect() bool {
	return a.conn.used && a.request.Idempotent && a.request.SilenceTimeout > 0 && a.writer == nil && a.monitor == nil
}

// awaitFirstByte waits for the first byte of the response. If none arrives within the silence
// timeout, it moves the request to a new connection. If the target accepts no new connection, the
// fault is with the target rather than the connection, and the request stays on the old one.
func (a *attempt) awaitFirstByte() error {
	silenceDeadline := a.firstWriteAt.Add(a.request.SilenceTimeout)
	if !a.deadline.IsZero() && !silenceDeadline.Before(a.deadline) {
		return nil
	}
	if err := a.conn.SetReadDeadline(silenceDeadline); err != nil {
		return err
	}
	_, err := a.conn.reader.Peek(1)
	if restoreErr := a.conn.SetReadDeadline(a.deadline); restoreErr != nil && err == nil {
		return restoreErr
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return a.reconnect()
}

// reconnect dials a new connection and sends the request on it. Before that it closes the silent
// connection, which cancels the request there.
func (a *attempt) reconnect() error {
	if err := a.mayWriteAgain(); err != nil {
		return err
	}
	p := a.client.conns
	if p.reserve(a.request.Address) != nil {
		return nil
	}
	c, err := a.dial()
	if err != nil {
		return nil
	}
	old := a.conn
	if !old.noUnreadBytes() {
		// The response arrived while the new connection was dialed.
		p.put(a.request.Address, c)
		return nil
	}
	if err := a.mayWriteAgain(); err != nil {
		p.put(a.request.Address, c)
		return err
	}
	a.stopContextWatch()
	a.writtenOnPrevious = a.writtenOnPrevious || old.written.Load()
	p.discard(a.request.Address, old)
	a.attach(c)
	a.reconnected = true
	if a.deadlinePassed() {
		return os.ErrDeadlineExceeded
	}
	return a.writeRequestHeader()
}

// mayWriteAgain asks BeforeWrite whether the request may be written once more. A refusal is of class ErrNotMoved.
func (a *attempt) mayWriteAgain() error {
	if a.request.BeforeWrite == nil {
		return nil
	}
	if err := a.request.BeforeWrite(); err != nil {
		return errors.Join(ErrNotMoved, err)
	}
	return nil
}

// SilenceTimeout returns a timeout for a target with the given high quantile of service times, so
// that a slow response is rarely mistaken for a silent connection.
func SilenceTimeout(quantile time.Duration) time.Duration {
	const factor, minTimeout = 3, 20 * time.Millisecond
	return max(factor*quantile, minTimeout)
}
