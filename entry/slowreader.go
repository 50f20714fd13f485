package entry

import (
	"errors"
	"os"
	"sync"
	"time"
)

const (
	// writeCheckInterval is the longest time after which a write that a caller holds up is looked at.
	writeCheckInterval = 250 * time.Millisecond
	// evictedWriteTime is how long a refusal may take to be passed to the kernel on an evicted connection.
	evictedWriteTime = 10 * time.Millisecond
	// lateReadTime is how long after its deadline a caller may go on to read what has been received for it.
	lateReadTime = time.Second
	// stalledAfter is the time without a byte after which a caller counts as stalled. A lost packet, or a queue on a narrow
	// link, holds a caller up for less.
	stalledAfter = 2 * time.Second
	// maxHoldUp is how long a caller may read nothing of a response that has no deadline.
	maxHoldUp = 10 * time.Second
	// maxStalledForwards is how many stalled callers of forwarded responses are kept. Each may hold a stream's window, 256 KiB,
	// of the 16 MiB window of a connection between entries: half of it remains for the other responses.
	maxStalledForwards = 32
	// maxStalledDirect is how many stalled callers of other responses are kept. Each holds about 100 KiB: 25 MiB in all, which
	// a VM with 136 MB can bear.
	maxStalledDirect = 256
)

var (
	// errCallerStalled means that a caller did not read its response up to its deadline.
	errCallerStalled = Error.New("the caller did not read the response in time")
	// errTooManyStalled means that a response was ended because too many others are held up as well.
	errTooManyStalled = Error.New("the caller does not read its response, and too many others don't either")
)

// stalledReaders holds the callers that have read nothing of their responses for stalledAfter.
type stalledReaders struct {
	mu sync.Mutex
	// forwarded and direct hold since when they have read nothing, of responses from peers and of others.
	forwarded, direct map[*callerConn]time.Time
}

// add counts a caller that has read nothing since a time. It reports whether the caller's response must end: too many are
// held up, and no other one for longer.
func (s *stalledReaders) add(c *callerConn, since time.Time, forwarded bool) (end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.direct == nil {
		s.forwarded, s.direct = make(map[*callerConn]time.Time), make(map[*callerConn]time.Time)
	}
	stalled, limit := s.direct, maxStalledDirect
	if forwarded {
		stalled, limit = s.forwarded, maxStalledForwards
	}
	stalled[c] = since
	if len(stalled) <= limit {
		return false
	}
	for _, other := range stalled {
		if other.Before(since) {
			return false
		}
	}
	delete(stalled, c)
	return true
}

func (s *stalledReaders) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwarded, c)
	delete(s.direct, c)
}

// beginResponse sets until when a caller may hold up the response that begins; zero for no limit.
func (c *callerConn) beginResponse(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseDeadline = deadline
}

// setForwarded says whether the response comes from a peer, so that a caller that does not read it holds a part of the window
// of the connection to the peer.
func (c *callerConn) setForwarded(forwarded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded = forwarded
}

// Write implements net.Conn. It ends when the caller has held up a response for too long.
func (c *callerConn) Write(p []byte) (int, error) {
	written, heldUpSince := 0, time.Time{}
	if c.stalled != nil {
		defer func() {
			if !heldUpSince.IsZero() {
				c.stalled.remove(c)
			}
		}()
	}
	for {
		c.armWriteCheck()
		n, err := c.Conn.Write(p[written:])
		written += n
		now := time.Now()
		c.mu.Lock()
		c.writtenAt = now
		deadline, forwarded, aborted := c.responseDeadline, c.forwarded, c.writeAborted
		c.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isClosed() {
			return written, err
		}
		if aborted {
			return written, errCallerStalled
		}
		if heldUpSince.IsZero() {
			defer c.heldUpSince.Store(nil)
			if c.memory.holder.AwaitCaller() {
				defer c.memory.holder.Resume()
			}
		}
		if n > 0 || heldUpSince.IsZero() {
			heldUpSince = now
			c.heldUpSince.Store(&now)
		}
		if err := c.mayHoldUp(now, heldUpSince, deadline, forwarded); err != nil {
			return written, err
		}
	}
}

// stalledFor returns how long a write has waited for the caller to read; 0 if none does.
func (c *callerConn) stalledFor() time.Duration {
	since := c.heldUpSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

// SetWriteDeadline implements net.Conn. The server clears the deadline behind each response, so the next write must set that
// of its check again.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeAborted {
		return nil
	}
	c.writeCheckAt = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// abortWrite makes the pending write, and all further ones, fail.
func (c *callerConn) abortWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeAborted = true
	_ = c.Conn.SetWriteDeadline(longAgo) // an error means that the connection is closed
}

// armWriteCheck makes a write that is held up return within writeCheckInterval, on an evicted connection within
// evictedWriteTime.
func (c *callerConn) armWriteCheck() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.holder.Evicted() {
		_ = c.Conn.SetWriteDeadline(now.Add(evictedWriteTime)) // an error means that the connection is closed, which the write reports
		return
	}
	if !c.writeAborted && c.writeCheckAt.Sub(now) < writeCheckInterval/2 {
		c.writeCheckAt = now.Add(writeCheckInterval)
		_ = c.Conn.SetWriteDeadline(c.writeCheckAt) // an error means that the connection is closed, which the write reports
	}
}

// mayHoldUp returns an error if a caller that has read nothing since a time must not hold up its response any longer.
func (c *callerConn) mayHoldUp(now, since, deadline time.Time, forwarded bool) error {
	if !deadline.IsZero() && now.After(deadline) && (now.Sub(since) > 0 || now.Sub(deadline) > lateReadTime) {
		return errCallerStalled
	}
	if deadline.IsZero() && now.Sub(since) > maxHoldUp {
		return errCallerStalled
	}
	if c.memory.holder.Evicted() {
		return errEvicted
	}
	if c.stalled == nil {
		return nil
	}
	if now.Sub(since) < stalledAfter {
		c.stalled.remove(c)
		return nil
	}
	if c.stalled.add(c, since, forwarded) {
		return errTooManyStalled
	}
	return nil
}
