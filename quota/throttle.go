package quota

import (
	"math"

	"github.com/bilberrywood/bilberrywood/table"
)

// A Throttle refuses part of the requests of an account that is far over its quota at the entry that takes them, so that
// they fill neither links nor queues. It lets pass throttleFactor times as many as have recently been found inside the
// quota, so that the quota is used up nevertheless. It is not safe for concurrent use.
type Throttle struct {
	accounts map[table.AccountName]*passage
	sweptAt  Time
}

// passage counts the requests of an account. Older ones count less.
type passage struct {
	requests, passed float64
	at               Time
	// retry is the delay that the last refusal named.
	retry Time
}

const (
	throttleFactor = 1.5
	// throttleTime is the time constant of the counts.
	throttleTime = second
	// minThrottleRefusals is how many more requests than throttleFactor times the passed ones there must be.
	minThrottleRefusals = 3
)

// Admit decides on a request. random is in [0, 1). Only accounts that were found over their quota are counted.
func (t *Throttle) Admit(now Time, account table.AccountName, random float64) (retry Time, ok bool) {
	p := t.accounts[account]
	if p == nil {
		return 0, true
	}
	p.decay(now)
	p.requests++
	excess := p.requests - throttleFactor*p.passed - minThrottleRefusals
	if excess <= 0 || random >= excess/p.requests {
		return 0, true
	}
	return p.retry, false
}

// Passed reports that a request was found inside the quota.
func (t *Throttle) Passed(now Time, account table.AccountName) {
	if p := t.accounts[account]; p != nil {
		p.decay(now)
		p.passed++
	}
}

// Refused reports that a request was found over the quota.
func (t *Throttle) Refused(now Time, account table.AccountName, retry Time) {
	if t.accounts == nil {
		t.accounts = make(map[table.AccountName]*passage)
	}
	p := t.accounts[account]
	if p == nil {
		p = &passage{at: now, requests: 1}
		t.accounts[account] = p
	}
	p.retry = retry
	t.sweep(now)
}

func (p *passage) decay(now Time) {
	f := math.Exp(-float64(now-p.at) / float64(throttleTime))
	p.requests, p.passed, p.at = p.requests*f, p.passed*f, now
}

// sweep forgets the accounts that had no request for idleTime.
func (t *Throttle) sweep(now Time) {
	if now-t.sweptAt < idleTime {
		return
	}
	t.sweptAt = now
	for account, p := range t.accounts {
		if now-p.at >= idleTime {
			delete(t.accounts, account)
		}
	}
}
