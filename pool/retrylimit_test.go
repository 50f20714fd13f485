package pool

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The limit that operators set for all entries together: in any retryWindow, at most retryLimitRatio retries per
// request and retryLimitSlack more. Retries count when they reach a target.
const (
	retryLimitRatio = 0.2
	retryLimitSlack = 62
)

// retryLedger records what the targets of a pool receive, whichever entry sends it.
type retryLedger struct {
	requests, retries []Time
}

// worst returns the span of retryWindow that exceeds the limit by most retries, and by how many. Requests count in
// the span, in the one before it, or in the one half a span earlier, whichever has most.
func (l *retryLedger) worst() (start Time, excess float64) {
	count := func(times []Time, from Time) (n int) {
		for _, at := range times {
			if at >= from && at < from+Time(retryWindow) {
				n++
			}
		}
		return n
	}
	excess = -retryLimitSlack
	for _, from := range l.retries {
		requests := max(count(l.requests, from), count(l.requests, from-Time(retryWindow)/2), count(l.requests, from-Time(retryWindow)))
		over := float64(count(l.retries, from)) - retryLimitRatio*float64(requests) - retryLimitSlack
		if over > excess {
			start, excess = from, over
		}
	}
	return start, excess
}

// retryLoad sends retryable requests to cells that share one pool, each cell standing for an entry.
type retryLoad struct {
	random *rand.Rand
	lastID RequestID
	ledger retryLedger
	// failing is the fraction of attempts that lose their connection.
	failing float64
	// service is how long other attempts take.
	service  time.Duration
	inFlight map[*Cell][]retryAttempt
}

type retryAttempt struct {
	id  RequestID
	end Time
	ok  bool
}

func newRetryLoad(seed uint64) *retryLoad {
	return &retryLoad{random: rand.New(rand.NewPCG(seed, 1)), service: 100 * time.Millisecond, inFlight: map[*Cell][]retryAttempt{}}
}

// newRetryCell returns a cell of n targets under the limit, as its entry has it right after a start.
func newRetryCell(now Time, n int) *Cell {
	c, _ := newEpisodeCell(n, 6000)
	c.Policy.RetryPercent = new(float64)
	*c.Policy.RetryPercent = 90 * retryLimitRatio
	c.Policy.RetryBurst = retryLimitSlack * 9 / 10
	c.Tick(now)
	return c
}

// run submits perSecond requests to each cell until end.
func (l *retryLoad) run(now, end Time, perSecond int, cells ...*Cell) {
	step := Time(time.Millisecond)
	gap := Time(time.Second) / Time(perSecond)
	next, nextTick := now, now
	for ; now < end; now += step {
		if now >= nextTick {
			nextTick += Time(TickInterval)
			for _, c := range cells {
				c.Tick(now)
			}
		}
		for ; next <= now; next += gap {
			for _, c := range cells {
				l.submit(now, c)
			}
		}
		for _, c := range cells {
			l.advance(now, c)
		}
	}
}

func (l *retryLoad) submit(now Time, c *Cell) {
	l.lastID++
	l.ledger.requests = append(l.ledger.requests, now)
	c.Submit(now, Request{
		ID: l.lastID, Idempotent: true, Replayable: true, MaxAttempts: 3, Deadline: now + Time(2500*time.Millisecond),
	})
}

// advance ends the attempts of a cell that are due and starts those that it decided.
func (l *retryLoad) advance(now Time, c *Cell) {
	var rest, ended []retryAttempt
	for _, a := range l.inFlight[c] {
		if a.end <= now {
			ended = append(ended, a)
		} else {
			rest = append(rest, a)
		}
	}
	for _, a := range ended {
		o := Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: l.service}
		if !a.ok {
			o = Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond}
		}
		c.Finish(now, a.id, o)
	}
	for _, d := range append([]Decision(nil), c.Decisions()...) {
		if d.Kind != DecisionRun {
			continue
		}
		if d.Attempt > 1 {
			l.ledger.retries = append(l.ledger.retries, now)
		}
		a := retryAttempt{id: d.Request, end: now + Time(l.service), ok: l.random.Float64() >= l.failing}
		if !a.ok {
			a.end = now + Time(time.Millisecond)
		}
		rest = append(rest, a)
	}
	l.inFlight[c] = rest
}

// Guards against retries beyond the limit when the owner of a cell is replaced without a word, as when all processes are
// killed: the new owner does not know what the previous one has spent in the same span.
func TestRetryLimitHoldsAcrossOwners(t *testing.T) {
	for _, c := range []struct {
		name string
		// lossAt is when attempts begin to fail, as time before the change of owner.
		lossAt time.Duration
	}{
		{"losses begin 1 s before", time.Second},
		{"losses begin 3 s before", 3 * time.Second},
		{"losses begin 6 s before", 6 * time.Second},
		{"losses last", 20 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			const perSecond = 66
			const change, end = Time(30 * time.Second), Time(50 * time.Second)
			l := newRetryLoad(1)
			now := Time(time.Second)
			previous := newRetryCell(now, 10)
			l.run(now, change-Time(c.lossAt), perSecond, previous)
			l.failing = 0.6
			l.run(change-Time(c.lossAt), change, perSecond, previous)
			next := newRetryCell(change, 10)
			l.run(change, end, perSecond, next)
			start, excess := l.ledger.worst()
			t.Logf("%d retries for %d requests; most in the 10 s from %v: %+.0f of the limit", len(l.ledger.retries), len(l.ledger.requests), time.Duration(start), excess)
			is.New(t).True(excess <= 0)
		})
	}
}

// Guards against retries that wait for a target and reach it in a later span than the one in which they were counted.
func TestRetryLimitCountsStartedRetries(t *testing.T) {
	const perSecond, wait = 33, Time(1900 * time.Millisecond)
	l := newRetryLoad(1)
	now := Time(time.Second)
	cell := newRetryCell(now, 30)
	l.run(now, Time(20*time.Second), perSecond, cell)
	now = Time(20 * time.Second)
	// The retries of the first burst wait until the targets accept requests again; those of the second, which
	// begins when the first no longer counts, don't.
	l.burst(now, cell)
	shedAll(cell, now+wait)
	l.run(now, now+Time(retryWindow+retryWindow/40), perSecond, cell)
	now += Time(retryWindow + retryWindow/40)
	l.burst(now, cell)
	l.run(now, now+Time(time.Second), perSecond, cell)
	start, excess := l.ledger.worst()
	t.Logf("%d retries for %d requests; most in the 10 s from %v: %+.0f of the limit", len(l.ledger.retries), len(l.ledger.requests), time.Duration(start), excess)
	is.New(t).True(excess <= 0)
}

// burst lets the first attempt of 110 requests at once lose its connection.
func (l *retryLoad) burst(now Time, c *Cell) {
	l.failing = 1
	for range 110 {
		l.submit(now, c)
	}
	l.advance(now, c)
	l.failing = 0
	for i := range l.inFlight[c] {
		if a := &l.inFlight[c][i]; !a.ok {
			a.end = now
		}
	}
	l.advance(now, c)
}

// shedAll makes all targets shed until the given time, so that no request is sent.
func shedAll(c *Cell, until Time) {
	for i := range c.targets.len() {
		c.targets.at(i).shedUntil = until
	}
}

// Guards against a slack that each of two entries spends in full because neither hears of the other.
func TestRetryLimitHoldsWithTwoOwners(t *testing.T) {
	const perSecond = 33
	l := newRetryLoad(1)
	now := Time(time.Second)
	first := newRetryCell(now, 10)
	l.run(now, Time(15*time.Second), perSecond, first)
	second := newRetryCell(Time(15*time.Second), 10)
	second.SetPartitioned(Time(15*time.Second), true)
	l.failing = 0.6
	l.run(Time(15*time.Second), Time(40*time.Second), perSecond, first, second)
	start, excess := l.ledger.worst()
	t.Logf("%d retries for %d requests; most in the 10 s from %v: %+.0f of the limit", len(l.ledger.retries), len(l.ledger.requests), time.Duration(start), excess)
	is.New(t).True(excess <= 0)
}

// Guards against counting retries when they are decided. Those that wait for a target then start together with the
// retries of a later span. The first case shows that the check finds that.
func TestWaitingRetriesCountWhenTheyStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		whenDecided bool
	}{
		{"counted when decided", true},
		{"counted when started", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const wait = Time(2 * time.Second)
			cell := newRetryCell(Time(time.Second), 1)
			var l retryLedger
			var waiting []*request
			for now := Time(20 * time.Second); now < Time(60*time.Second); now += Time(10 * time.Millisecond) {
				l.requests = append(l.requests, now)
				cell.refillRetries(now, 1)
				for cell.retriesLeft(now) >= 1 {
					r := &request{}
					cell.reserveRetry(r)
					if c.whenDecided {
						cell.spendRetry(now, r)
					}
					waiting = append(waiting, r)
				}
				// Retries of every other span of 2 s wait for its end, those of the others start at once.
				if now/wait%2 == 0 {
					continue
				}
				for _, r := range waiting {
					l.retries = append(l.retries, now)
					cell.spendRetry(now, r)
				}
				waiting = nil
			}
			worst := 0
			for i, from := range l.retries {
				n := sort.Search(len(l.retries)-i, func(k int) bool { return l.retries[i+k] >= from+Time(retryWindow) })
				worst = max(worst, n)
			}
			allowed := float64(cell.Policy.RetryBurst) + cell.retryPercent()/100*100*retryWindow.Seconds()
			t.Logf("%d retries in 10 s, %.0f allowed", worst, allowed)
			is.New(t).Equal(float64(worst) > allowed, c.whenDecided)
		})
	}
}
