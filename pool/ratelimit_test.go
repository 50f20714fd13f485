package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

// The operators' rule: from rateLimitSettle after a target first named its limit, it receives in any rateLimitWindow at
// most rateLimitTolerance times what the limit allows and rateLimitSlack more.
const (
	rateLimitSettle    = 3 * time.Second
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
)

// limitedPool simulates targets that name rate limits, and entries that send them requests, each entry with a cell.
type limitedPool struct {
	random   *rand.Rand
	now      Time
	nextTick Time
	lastID   RequestID
	// limits are the requests per second that targets name at present.
	limits map[table.TargetID]float64
	// arrivals are the times at which each target received requests, from all entries together.
	arrivals map[table.TargetID][]Time
	service  time.Duration
	// failing is the fraction of attempts that lose their connection.
	failing float64

	inFlight []limitedAttempt
	// served counts the responses before the deadline and expired the attempts that it ended. refusedAtOnce counts the
	// refused requests that got their refusal when they came.
	served, expired, refused, refusedAtOnce int
	submitted                               map[RequestID]Time
}

type limitedAttempt struct {
	cell   *Cell
	id     RequestID
	target table.TargetID
	end    Time
	lost   bool
	// expired says that the deadline ends the attempt.
	expired bool
}

// limitedDeadline is the time that callers wait.
const limitedDeadline = 3 * time.Second

func newLimitedPool(seed uint64, limits map[table.TargetID]float64) *limitedPool {
	return &limitedPool{
		random: rand.New(rand.NewPCG(seed, 7)), now: Time(time.Second), limits: limits,
		arrivals: map[table.TargetID][]Time{}, submitted: map[RequestID]Time{}, service: 320 * time.Millisecond,
	}
}

// newCell returns the cell of an entry that has just become the owner.
func (p *limitedPool) newCell(targets int) *Cell {
	policy := episodePolicy
	policy.SpellMs = 6000
	policy.SetDefaults()
	c := &Cell{Policy: policy, SlotsPerTarget: 4, Random: p.random}
	list := make([]table.Target, targets)
	for i := range list {
		list[i].ID = table.TargetID(fmt.Sprintf("t%02d", i))
	}
	c.Update(p.now, list, targets*7/10)
	c.SetOwnership(p.now, fleet.ExclusiveOwner, false)
	c.Tick(p.now)
	return c
}

// run sends perSecond requests to each cell for the given time.
func (p *limitedPool) run(length time.Duration, perSecond float64, r Request, cells ...*Cell) {
	const step = Time(5 * time.Millisecond)
	for end := p.now + Time(length); p.now < end; p.now += step {
		if p.now >= p.nextTick {
			p.nextTick = p.now + Time(TickInterval)
			for _, c := range cells {
				c.Tick(p.now)
			}
		}
		for _, c := range cells {
			if p.random.Float64() < perSecond*time.Duration(step).Seconds() {
				p.submit(c, r)
			}
		}
		p.finishDue()
		for _, c := range cells {
			p.start(c)
		}
	}
}

func (p *limitedPool) submit(c *Cell, r Request) {
	p.lastID++
	r.ID = p.lastID
	r.Deadline = p.now + Time(limitedDeadline)
	p.submitted[r.ID] = p.now
	c.Submit(p.now, r)
}

func (p *limitedPool) start(c *Cell) {
	for _, d := range append([]Decision(nil), c.Decisions()...) {
		switch d.Kind {
		case DecisionRefuse:
			p.refused++
			if p.now == p.submitted[d.Request] {
				p.refusedAtOnce++
			}
		case DecisionRun:
			p.arrivals[d.Target] = append(p.arrivals[d.Target], p.now)
			a := limitedAttempt{cell: c, id: d.Request, target: d.Target, end: p.now + Time(p.service)}
			if deadline := p.submitted[d.Request] + Time(limitedDeadline); a.end > deadline {
				a.end, a.expired = deadline, true
			}
			if a.lost = p.random.Float64() < p.failing; a.lost {
				a.end = p.now + Time(time.Millisecond)
			}
			p.inFlight = append(p.inFlight, a)
		}
	}
}

func (p *limitedPool) finishDue() {
	rest := p.inFlight[:0]
	var due []limitedAttempt
	for _, a := range p.inFlight {
		if a.end > p.now {
			rest = append(rest, a)
			continue
		}
		due = append(due, a)
	}
	p.inFlight = rest
	for _, a := range due {
		o := Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: p.service, RateLimit: RateLimit{Known: true}}
		if limit, ok := p.limits[a.target]; ok {
			o.RateLimit.Limited, o.RateLimit.PerSecond = true, limit
		}
		switch {
		case a.lost:
			o = Outcome{Kind: OutcomeConnectionLost, Written: true, ServiceTime: time.Millisecond}
		case a.expired:
			p.expired++
			o = Outcome{Kind: OutcomeTimeout, Written: true, ServiceTime: p.service}
		default:
			p.served++
		}
		a.cell.Finish(p.now, a.id, o)
	}
}

// worst returns the largest number of requests that the target received in a rateLimitWindow that begins at from or
// later.
func (p *limitedPool) worst(id table.TargetID, from Time) int {
	worst := 0
	times := p.arrivals[id]
	for i, start := range times {
		if start < from {
			continue
		}
		n := 0
		for _, at := range times[i:] {
			if at < start+Time(rateLimitWindow) {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}

// checkLimits fails the test if a target received more than the operators' rule allows.
func (p *limitedPool) checkLimits(t *testing.T, limits map[table.TargetID]float64, from Time) {
	t.Helper()
	for id, limit := range limits {
		allowed := int(rateLimitTolerance*limit*rateLimitWindow.Seconds()) + rateLimitSlack
		if got := p.worst(id, from); got > allowed {
			t.Errorf("%s: limit %v a second, %d requests in %v, %d allowed", id, limit, got, rateLimitWindow, allowed)
		}
	}
}

// Guards against more requests to a target than the limit that it names in its responses, which slots, sheds and failures
// do not show. Seen on the bench: 25 requests in 4 s where 13 were allowed.
func TestTargetRateLimitHolds(t *testing.T) {
	idempotent := Request{Idempotent: true, Replayable: true, MaxAttempts: 3}
	two := map[table.TargetID]float64{"t03": 1.4, "t11": 1}
	for _, c := range []struct {
		name      string
		targets   int
		perSecond float64
		limits    map[table.TargetID]float64
		request   Request
		failing   float64
	}{
		{"two of many targets", 19, 60, two, Request{}, 0},
		{"idempotent requests", 19, 60, two, idempotent, 0},
		{"retries after lost connections", 19, 60, two, idempotent, 0.1},
		{"all slots needed", 19, 220, two, Request{}, 0},
		{"all targets", 3, 60, map[table.TargetID]float64{"t00": 3, "t01": 1.5, "t02": 0.4}, Request{}, 0},
		{"high limit", 4, 60, map[table.TargetID]float64{"t00": 6}, Request{}, 0},
		{"no requests at all", 19, 60, map[table.TargetID]float64{"t03": 0}, Request{}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newLimitedPool(1, nil)
			p.failing = c.failing
			cell := p.newCell(c.targets)
			p.run(5*time.Second, c.perSecond, c.request, cell)
			p.limits = c.limits
			from := p.now + Time(rateLimitSettle)
			p.run(20*time.Second, c.perSecond, c.request, cell)
			p.checkLimits(t, c.limits, from)
		})
	}
}

// Guards against a limit that is lost with the owner of a cell: the next owner would send at will until the target has
// named its limit again. Two owners that are aware of each other must keep to it together.
func TestRateLimitHoldsAcrossOwners(t *testing.T) {
	limits := map[table.TargetID]float64{"t03": 1.4, "t11": 0.5}
	t.Run("one after the other", func(t *testing.T) {
		is := is.New(t)
		p := newLimitedPool(2, limits)
		cell := p.newCell(19)
		p.run(6*time.Second, 120, Request{}, cell)
		begin := p.now
		for range 6 {
			handedOver := cell.RateLimits()
			is.Equal(len(handedOver), len(limits))
			cell = p.newCell(19)
			cell.ImportRateLimits(p.now, handedOver)
			p.run(time.Second, 120, Request{}, cell)
		}
		p.checkLimits(t, limits, begin)
	})
	t.Run("at the same time", func(t *testing.T) {
		p := newLimitedPool(3, limits)
		cells := []*Cell{p.newCell(19), p.newCell(19)}
		cells[0].SetShared(p.now, true)
		cells[1].SetPartitioned(p.now, true)
		p.run(20*time.Second, 60, Request{}, cells...)
		p.checkLimits(t, limits, Time(time.Second)+Time(rateLimitSettle))
	})
}

// Guards against requests that wait until their deadline although there is no room for them, and against attempts that
// begin so late that their deadline ends them: they take the place of others and are held against their targets. Seen on
// the bench with limits on most targets: 204 requests ended without an attempt when their time was up.
func TestOverloadedPoolRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits map[table.TargetID]float64
		// capacity and load are in requests per second.
		capacity, load float64
	}{
		{"rate limits", map[table.TargetID]float64{"t00": 4, "t01": 2, "t02": 2}, 8, 24},
		{"slots", nil, 12 / 0.32, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newLimitedPool(4, c.limits)
			cell := p.newCell(3)
			p.run(5*time.Second, c.load, Request{}, cell)
			p.served, p.expired, p.refused, p.refusedAtOnce = 0, 0, 0, 0
			const span = 20 * time.Second
			p.run(span, c.load, Request{}, cell)
			t.Logf("%d served, %d expired, %d refused, of these %d at once", p.served, p.expired, p.refused, p.refusedAtOnce)
			is.True(float64(p.served) >= 0.95*c.capacity*span.Seconds())
			is.Equal(p.expired, 0)
			// The others were expected to get a response in time when they came.
			is.True(p.refused > 0 && p.refusedAtOnce >= p.refused*9/10)
		})
	}
}

// Guards against a target that stays limited after its limit has ended, and against responses to requests that were sent
// before the limit was named, which don't show that it has ended.
func TestRateLimitEnds(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 3} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			is := is.New(t)
			p := newLimitedPool(5, map[table.TargetID]float64{"t00": limit})
			cell := p.newCell(4)
			p.run(10*time.Second, 36, Request{}, cell)
			p.limits = nil
			p.run(maxRequestInterval+2*time.Second, 36, Request{}, cell)
			is.Equal(len(cell.RateLimits()), 0)
			p.arrivals["t00"] = nil
			p.run(4*time.Second, 36, Request{}, cell)
			is.True(len(p.arrivals["t00"]) >= 20) // an even share would be 36
		})
	}
	t.Run("responses out of order", func(t *testing.T) {
		is := is.New(t)
		cell, now := newEpisodeCell(1, 6000)
		cell.Tick(now)
		finish := func(at Time, id RequestID, l RateLimit) {
			cell.Finish(at, id, Outcome{Kind: OutcomeSuccess, Written: true, ServiceTime: time.Second, RateLimit: l})
		}
		for id := range RequestID(3) {
			cell.Submit(now, Request{ID: id + 1})
		}
		is.Equal(len(cell.Decisions()), 3)
		named := now + Time(100*time.Millisecond)
		finish(named, 1, RateLimit{Known: true, Limited: true, PerSecond: 2})
		finish(named+1, 2, RateLimit{Known: true})
		finish(named+2, 3, RateLimit{})
		is.Equal(len(cell.RateLimits()), 1)
	})
}

// Guards against requests that reach a limited target without counting: probes, and requests that are sent again because
// their connection stayed silent.
func TestRateLimitCountsEveryRequest(t *testing.T) {
	is := is.New(t)
	cell, now := newEpisodeCell(1, 6000)
	cell.Tick(now)
	is.True(cell.AllowProbe(now, "t00"))
	cell.ImportRateLimits(now, []fleet.TargetRateLimit{{Target: "t00", PerSecond: 1}})
	is.True(!cell.AllowProbe(now, "t00")) // the bucket starts empty
	now += Time(time.Second)
	cell.Submit(now, Request{ID: 1})
	is.Equal(len(cell.Decisions()), 1)
	is.True(!cell.AllowProbe(now, "t00"))
	cell.Finish(now, 1, Outcome{Kind: OutcomeSuccess, Written: true, Resent: true, ServiceTime: time.Second})
	now += Time(time.Second)
	cell.Tick(now)
	is.True(!cell.AllowProbe(now, "t00")) // the second arrival used this second's request
	now += Time(time.Second)
	cell.Tick(now)
	is.True(cell.AllowProbe(now, "t00"))
}
