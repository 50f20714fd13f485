package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/table"
)

// Limits of a Spender.
const (
	// maxWait is how long a request waits for credit at most. It evens out requests that come in irregular intervals.
	maxWait = time.Second
	// maxWaitOverQuota is the same when an account has been short of credit for shortPeriod. Waiting then only makes each
	// request later by the same time.
	maxWaitOverQuota = 100 * time.Millisecond
	shortPeriod      = 2 * time.Second
	// prefetchTime is the demand for which credit is asked for ahead of need. It must be clearly shorter than
	// CreditValidity, so that none expires. Less than minPrefetch requests are not asked for ahead.
	prefetchTime = 80 * time.Millisecond
	minPrefetch  = 1.5
	// demandTime is the time constant of the mean demand of an account.
	demandTime = 500 * time.Millisecond
	// askTimeout is how long the answer of an owner is waited for, and unreachableRetry the delay to the next attempt.
	askTimeout       = 250 * time.Millisecond
	unreachableRetry = 100 * time.Millisecond
	// idleTime is how long an account is kept without a request.
	idleTime = 30 * time.Second
)

// AskTimeout is how long the answer of an owner is waited for.
const AskTimeout = askTimeout

// Ask asks the owner of an account for credit.
type Ask struct {
	Account table.AccountName
	Limit   Limit
	Want    int
	// At is when the credit was asked for.
	At Time
}

// VerdictKind says whether a request may run.
type VerdictKind uint8

// Verdicts on a request.
const (
	// VerdictRun means that the request may run now.
	VerdictRun VerdictKind = iota + 1
	// VerdictOverQuota means that the account has used up its quota.
	VerdictOverQuota
	// VerdictNoOwner means that the owner of the account is unreachable, or there is none.
	VerdictNoOwner
)

// Verdict is the decision on one request.
type Verdict struct {
	Kind VerdictKind
	// Retry is when there is probably room again.
	Retry time.Duration
	// Expires is until when credit that was not used may be given back; 0 if it may not.
	Expires Time
}

// Waiter is a request that waits for credit.
type Waiter struct {
	// Verdict receives the verdict once.
	Verdict chan Verdict
	until   Time
}

// Spender decides which requests of this entry run. It is not safe for concurrent use.
type Spender struct {
	Tolerance Tolerance

	accounts map[table.AccountName]*spending
	// asks are to be sent.
	asks []Ask
	// joinedAt is when this entry was first linked with most of the fleet; spenders is the number of entries between
	// which credit without an owner is divided, 0 if this one gets none.
	joined   bool
	joinedAt Time
	spenders int
	// queued has the accounts with waiters.
	queued  map[table.AccountName]*spending
	sweptAt Time
}

// spending is what a Spender knows of an account.
type spending struct {
	name    table.AccountName
	limit   Limit
	credit  []credit
	alone   bucket
	waiters []*Waiter
	// demand is the mean number of requests per second until demandAt.
	demand   float64
	demandAt Time
	asking   bool
	askedAt  Time
	// retryAt is when the owner is asked again; noOwner says that this is because it could not be reached.
	retryAt Time
	noOwner bool
	// shortSince is when credit last ran out; the request that comes while there is some resets it. -1: it has not.
	shortSince Time
	// promisedAt is the latest time for which a caller was told that there is room.
	promisedAt Time
}

// credit is a number of requests that may run until expires.
type credit struct {
	n       int
	expires Time
}

// SetSpenders sets the number of entries between which credit without an owner is divided; 0 if this one gets none.
// joined says that this entry is linked with most of the fleet.
func (s *Spender) SetSpenders(now Time, spenders int, joined bool) {
	if joined && !s.joined {
		s.joined, s.joinedAt = true, now
	}
	s.spenders = spenders
}

// Acquire decides on a request that can wait until waitUntil. It returns a waiter if there is no verdict yet.
func (s *Spender) Acquire(now Time, account table.AccountName, limit Limit, waitUntil Time) (Verdict, *Waiter) {
	a := s.account(now, account, limit)
	a.countDemand(now)
	if len(a.waiters) == 0 {
		if c, ok := s.spend(now, a); ok {
			a.shortSince = -1
			s.askIfLow(now, a)
			return Verdict{Kind: VerdictRun, Expires: c.expires}, nil
		}
	}
	wait := maxWait
	if a.shortSince >= 0 && now-a.shortSince > shortPeriod {
		wait = maxWaitOverQuota
	}
	until := min(waitUntil, now+wait)
	if !a.noOwner && a.retryAt > now && s.turn(a, len(a.waiters)) > until {
		return s.refusal(now, a), nil
	}
	w := &Waiter{Verdict: make(chan Verdict, 1), until: until}
	a.waiters = append(a.waiters, w)
	s.queued[account] = a
	s.askIfLow(now, a)
	return Verdict{}, w
}

// Cancel ends the wait of a request, which may have a verdict by now.
func (s *Spender) Cancel(now Time, account table.AccountName, w *Waiter) {
	a := s.accounts[account]
	if a == nil {
		return
	}
	if i := slices.Index(a.waiters, w); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
		return
	}
	select {
	case v := <-w.Verdict:
		if v.Kind == VerdictRun {
			s.GiveBack(now, account, v.Expires)
		}
	default:
	}
}

// GiveBack returns the credit of a request that was refused before it ran.
func (s *Spender) GiveBack(now Time, account table.AccountName, expires Time) {
	a := s.accounts[account]
	if a == nil || expires <= now {
		return
	}
	a.credit = append(a.credit, credit{n: 1, expires: expires})
	slices.SortFunc(a.credit, func(a, b credit) int { return int(a.expires - b.expires) })
	s.serve(now, a)
}

// Asks returns the messages that are due. Each is answered by a call of Answer or Fail.
func (s *Spender) Asks() []Ask {
	asks := s.asks
	s.asks = nil
	return asks
}

// Waiting reports whether requests wait for credit. Tick is then called every few milliseconds, else from time to time.
func (s *Spender) Waiting() bool { return len(s.queued) > 0 }

// Answer takes the answer of an owner.
func (s *Spender) Answer(now Time, ask Ask, g Grant) {
	a := s.accounts[ask.Account]
	if a == nil || !a.asking || a.askedAt != ask.At {
		return
	}
	a.asking = false
	switch {
	case g.NotOwner:
		s.fail(now, a)
		return
	case g.Credit > 0:
		a.noOwner, a.retryAt = false, now
		if g.Credit >= ask.Want {
			a.shortSince = -1
		}
		a.credit = append(a.credit, credit{n: g.Credit, expires: ask.At + CreditValidity})
	default:
		a.noOwner = false
		a.retryAt = now + min(max(g.Retry, minRetry), maxRetry)
		if a.shortSince < 0 {
			a.shortSince = now
		}
		s.refuseWaiters(now, a, func(i int, w *Waiter) bool { return s.turn(a, i) > w.until })
	}
	s.serve(now, a)
	s.askIfLow(now, a)
}

// turn returns when the waiter at index i gets credit at the earliest. The waiters of other entries are not known.
func (s *Spender) turn(a *spending, i int) Time {
	return a.retryAt + Time(float64(i)/s.Tolerance.owner(a.limit).perSecond*float64(second))
}

// minRetry is the shortest delay until an owner is asked again that had no credit.
const minRetry = 5 * time.Millisecond

// Fail reports that the owner could not be asked.
func (s *Spender) Fail(now Time, ask Ask) {
	if a := s.accounts[ask.Account]; a != nil && a.asking && a.askedAt == ask.At {
		a.asking = false
		s.fail(now, a)
	}
}

func (s *Spender) fail(now Time, a *spending) {
	a.noOwner, a.retryAt = true, now+unreachableRetry
	s.serve(now, a)
}

// Tick refuses the requests that have waited for too long, and asks the owners again.
func (s *Spender) Tick(now Time) {
	for name, a := range s.queued {
		if a.asking && now-a.askedAt > 2*askTimeout {
			// This process did not run, so that the answer is of no use.
			a.asking = false
		}
		s.serve(now, a)
		s.refuseWaiters(now, a, func(_ int, w *Waiter) bool { return w.until <= now })
		if len(a.waiters) == 0 {
			delete(s.queued, name)
			continue
		}
		s.askIfLow(now, a)
	}
	if now-s.sweptAt < idleTime {
		return
	}
	s.sweptAt = now
	for name, a := range s.accounts {
		if len(a.waiters) == 0 && now-a.demandAt >= idleTime {
			delete(s.accounts, name)
		}
	}
}

// Size returns the number of accounts that are kept.
func (s *Spender) Size() int { return len(s.accounts) }

func (s *Spender) account(now Time, name table.AccountName, limit Limit) *spending {
	if s.accounts == nil {
		s.accounts, s.queued = make(map[table.AccountName]*spending), make(map[table.AccountName]*spending)
	}
	a := s.accounts[name]
	if a == nil {
		a = &spending{name: name, shortSince: -1, demandAt: now}
		// A time of at least idleTime has been without requests; before joinedAt there is no credit. idleTime ago the
		// bucket may have been empty.
		a.alone.at = max(s.joinedAt, now-idleTime)
		a.alone.allowed = s.aloneAllowance(limit)
		s.accounts[name] = a
	}
	a.limit = limit
	return a
}

func (s *Spender) aloneAllowance(limit Limit) allowance {
	if !s.joined {
		return allowance{}
	}
	return s.Tolerance.alone(limit, s.spenders)
}

func (a *spending) countDemand(now Time) {
	a.demand = a.demandNow(now) + 1/demandTime.Seconds()
	a.demandAt = now
}

func (a *spending) demandNow(now Time) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandTime.Seconds())
}

// held returns the credit that has not expired.
func (a *spending) held(now Time) int {
	held := 0
	for _, c := range a.credit {
		if c.expires > now {
			held += c.n
		}
	}
	return held
}

// spend takes credit for one request: of the owner, or without it if that could not be reached.
func (s *Spender) spend(now Time, a *spending) (credit, bool) {
	for len(a.credit) > 0 && a.credit[0].expires <= now {
		a.credit = slices.Delete(a.credit, 0, 1)
	}
	if len(a.credit) > 0 {
		c := credit{n: 1, expires: a.credit[0].expires}
		if a.credit[0].n--; a.credit[0].n == 0 {
			a.credit = slices.Delete(a.credit, 0, 1)
		}
		return c, true
	}
	if !a.noOwner {
		return credit{}, false
	}
	a.alone.fill(now, s.aloneAllowance(a.limit))
	return credit{}, a.alone.take(1) == 1
}

// serve gives credit to the requests that wait for it, the longest first.
func (s *Spender) serve(now Time, a *spending) {
	for len(a.waiters) > 0 {
		c, ok := s.spend(now, a)
		if !ok {
			return
		}
		s.resolve(a, Verdict{Kind: VerdictRun, Expires: c.expires})
	}
}

// resolve gives the first waiter its verdict.
func (s *Spender) resolve(a *spending, v Verdict) {
	a.waiters[0].Verdict <- v
	a.waiters = slices.Delete(a.waiters, 0, 1)
}

// refuseWaiters refuses the waiters that late selects.
func (s *Spender) refuseWaiters(now Time, a *spending, late func(i int, w *Waiter) bool) {
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if !late(len(kept), w) {
			kept = append(kept, w)
			continue
		}
		w.Verdict <- s.refusal(now, a)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
}

// refusal returns the verdict on a request that gets no credit. Callers are told different times, as far apart as the
// quota admits requests, so that those that come again find room.
func (s *Spender) refusal(now Time, a *spending) Verdict {
	if a.noOwner {
		return Verdict{Kind: VerdictNoOwner, Retry: unreachableRetry}
	}
	interval := Time(float64(second) / s.Tolerance.owner(a.limit).perSecond)
	a.promisedAt = min(max(a.promisedAt+interval, a.retryAt, now+interval), now+maxRetry)
	return Verdict{Kind: VerdictOverQuota, Retry: a.promisedAt - now}
}

// askIfLow asks the owner for credit if there is not enough for the waiters and the demand of the next time.
func (s *Spender) askIfLow(now Time, a *spending) {
	if a.asking || now < a.retryAt {
		return
	}
	held := a.held(now)
	ahead := a.demandNow(now) * prefetchTime.Seconds()
	if ahead < minPrefetch {
		ahead = 0
	}
	want := len(a.waiters) + int(ahead) - held
	if want <= 0 || len(a.waiters) == 0 && 2*held > int(ahead) {
		return
	}
	a.asking, a.askedAt = true, now
	s.asks = append(s.asks, Ask{Account: a.name, Limit: a.limit, Want: want, At: now})
}

// SpendingState is what a Spender knows of an account, for operators.
type SpendingState struct {
	Credit          int     `json:"credit"`
	Waiting         int     `json:"waiting"`
	DemandPerSecond float64 `json:"demandPerSecond"`
	OwnerLost       bool    `json:"ownerLost"`
}

// State returns what the Spender knows of an account.
func (s *Spender) State(now Time, account table.AccountName) SpendingState {
	a := s.accounts[account]
	if a == nil {
		return SpendingState{}
	}
	return SpendingState{Credit: a.held(now), Waiting: len(a.waiters), DemandPerSecond: a.demandNow(now), OwnerLost: a.noOwner}
}
