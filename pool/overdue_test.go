package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a backlog that makes every later request late: a burst fills the queue, and afterwards requests come as
// fast as they are answered, so that in the order of arrival all of them wait for the same time until they are late (seen on the
// loaded days of both firms: a burst of two seconds, and 100 of 200 requests late in each of the ten seconds after
// it).
func TestBacklogDoesNotMakeLaterRequestsLate(t *testing.T) {
	const (
		service   = 200 * time.Millisecond
		objective = 800 * time.Millisecond
		rate      = 100 // a second: 5 targets with 4 slots are busy all the time
	)
	is := is.New(t)
	c, now := spellCell(5, 6000)
	c.queue.hold = service
	l := &lateness{objective: Time(objective)}
	now = l.run(c, now, now+Time(time.Second), 2*rate, service)
	start := now + Time(2*time.Second)
	now = l.run(c, now, start, rate, service)
	l.inTime, l.late, l.refused = 0, 0, 0
	l.run(c, now, start+Time(5*time.Second), rate, service)
	t.Logf("in time %d, late %d, refused %d", l.inTime, l.late, l.refused)
	// All slots are busy, so that as many are answered as come; nine in ten of these in time.
	is.True(l.inTime >= 9*5*rate/10)
}

// lateness counts how requests at a busy cell end.
type lateness struct {
	objective             Time
	next                  RequestID
	inTime, late, refused int
	running               []runningRequest
	submitted             map[RequestID]Time
}

type runningRequest struct {
	id RequestID
	at Time
}

// run sends requests at a rate from now until end; targets answer all of them after the same time.
func (l *lateness) run(c *Cell, now, end Time, perSecond int, service time.Duration) Time {
	if l.submitted == nil {
		l.submitted = make(map[RequestID]Time)
	}
	const step = Time(time.Millisecond)
	gap := Time(time.Second) / Time(perSecond)
	arrival := now
	for ; now < end; now += step {
		for len(l.running) > 0 && l.running[0].at <= now {
			id := l.running[0].id
			l.running = l.running[1:]
			if now-l.submitted[id] <= l.objective {
				l.inTime++
			} else {
				l.late++
			}
			c.Finish(now, id, Outcome{Kind: OutcomeSuccess, Written: true, Service: service})
		}
		if now%Time(Interval) == 0 {
			c.Tick(now)
		}
		for ; arrival <= now; arrival += gap {
			l.next++
			l.submitted[l.next] = now
			c.Submit(now, Request{ID: l.next, Deadline: now + Time(2*time.Second), Objective: now + l.objective})
		}
		for _, d := range c.Decisions() {
			switch d.Kind {
			case DecisionRun:
				l.running = append(l.running, runningRequest{d.Request, now + Time(service)})
			case DecisionRefuse:
				l.refused++
			}
		}
	}
	return now
}

// Guards against requests that the cell has given up on and that learn of it at their deadline only: of a backlog that
// the lulls until its deadline can't work off, the rest is refused as soon as it misses its objective.
func TestOverdueRequestsAreRefusedEarly(t *testing.T) {
	is := is.New(t)
	const (
		hold     = 200 * time.Millisecond
		slots    = 4
		backlog  = queueLimitFactor * slots
		deadline = 2 * time.Second
		// A fifth of four slots gives room for four requests a second.
		mayWait = 4 * 2
	)
	c, now := spellCell(1, 6000)
	c.queue.hold = hold
	for id := RequestID(1); id <= slots+backlog; id++ {
		c.Submit(now, Request{ID: id, Deadline: now + Time(deadline), Objective: now + Time(800*time.Millisecond)})
	}
	is.Equal(len(c.Decisions()), slots)
	refused := 0
	for end := now + Time(deadline)/2; now < end; now += Time(Interval) {
		c.Tick(now)
		for _, d := range c.Decisions() {
			is.Equal(d.Kind, DecisionRefuse)
			is.Equal(d.Reason, ReasonOverdue)
			is.True(d.RetryAfter > 0)
			refused++
		}
	}
	is.True(refused >= backlog-mayWait)
	is.True(refused < backlog)
}

// Guards against a loss of throughput: requests that miss their objective have to use the slots that a lull leaves
// before their deadline.
func TestOverdueRequestsUseLulls(t *testing.T) {
	is := is.New(t)
	const service = 200 * time.Millisecond
	c, now := spellCell(5, 6000)
	c.queue.hold = service
	l := &lateness{objective: Time(800 * time.Millisecond)}
	for range 10 {
		// 100 requests a second can be answered; 110 come in the mean.
		now = l.run(c, now, now+Time(500*time.Millisecond), 160, service)
		now = l.run(c, now, now+Time(500*time.Millisecond), 60, service)
	}
	t.Logf("in time %d, late %d, refused %d", l.inTime, l.late, l.refused)
	is.True(l.inTime+l.late >= 980)
}
