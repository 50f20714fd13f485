package quota

import (
	"slices"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/table"
)

const second = time.Second

// maxRetry is the longest delay after which callers are told to try again. Quotas change, and so do owners.
const maxRetry = 10 * time.Second

// maxAskInterval is the longest delay between two questions for credit of an account that is short of it, if there will
// be some earlier.
const maxAskInterval = 50 * time.Millisecond

// Delays in what the ledger knows of its standing.
const (
	// maxStandingAge is the age from which a standing isn't relied on. An entry that did not run for longer may have
	// lost its accounts to another one meanwhile, which takes longer than this.
	maxStandingAge = 500 * time.Millisecond
	// joinDelay is how long an entry that has just joined hands out nothing for the first accounts that it gains: the
	// previous owner learns of it from a heartbeat.
	joinDelay = 200 * time.Millisecond
	// resumeDelay is the same after this entry did not run, when the heartbeats that it finds may be old.
	resumeDelay = time.Second
	// joinPeriod is how long after the first standing an entry counts as just joined.
	joinPeriod = 5 * time.Second
)

// Standing is what an entry knows of its part in the fleet.
type Standing struct {
	// Owned has an element for each shard of the accounts: whether this entry owns it.
	Owned []bool
	// Links are counts of the links of this entry with others that can own accounts, or with all entries. The least
	// favorable one holds.
	Links []fleet.LinkCount
}

// share returns the part of a quota that the entry may hand out. Over the parts of a fleet that has split, the shares
// sum up to at most 1, since a split leaves at most one majority or two halves.
func share(links []fleet.LinkCount) float64 {
	least := 1.0
	for _, n := range links {
		switch {
		case 2*n.Linked > n.Known:
		case 2*n.Linked == n.Known && n.Known > 0:
			least = min(least, 0.5)
		default:
			return 0
		}
	}
	return least
}

// Ledger hands out the credit of the accounts that this entry owns. An account has no credit when this entry becomes its
// owner, since the previous owner may just have handed out all of it. It is not safe for concurrent use.
type Ledger struct {
	Tolerance Tolerance

	buckets map[table.AccountName]*bucket
	// ownedFrom has the time from which each shard is owned; notOwned if it is not.
	ownedFrom []Time
	share     float64
	started   bool
	// startedAt is the time of the first standing, standingAt that of the last.
	startedAt, standingAt Time
	// delayUntil is the end of resumeDelay, and grantFrom that of joinDelay; 0 if there was none yet.
	delayUntil, grantFrom Time
	sweptAt               Time
	faults                ledgerFaults
}

// ledgerFaults switch off single rules, for tests that must then fail.
type ledgerFaults struct {
	fullStart, noResume, noMajority bool
}

const notOwned Time = -1

// Grant is the answer of an owner.
type Grant struct {
	// Credit is the number of requests that may run until CreditValidity after it was asked for.
	Credit int
	// Retry is when there is room again, if Credit is 0.
	Retry time.Duration
	// NotOwner says that the entry does not own the account or can't know that it is the only owner.
	NotOwner bool
}

// SetStanding is called several times within maxStandingAge.
func (l *Ledger) SetStanding(now Time, s Standing) {
	share := share(s.Links)
	if l.faults.noMajority {
		share = 1
	}
	resumed := l.started && now-l.standingAt > maxStandingAge && !l.faults.noResume
	if !l.started {
		l.started, l.startedAt = true, now
		l.buckets = make(map[table.AccountName]*bucket)
	}
	if resumed {
		l.delayUntil = now + resumeDelay
	}
	if resumed || len(s.Owned) != len(l.ownedFrom) || l.share == 0 {
		// What was handed out while this entry did not know of it is unknown. With another number of shards, accounts
		// have other owners.
		l.ownedFrom = make([]Time, len(s.Owned))
		for i := range l.ownedFrom {
			l.ownedFrom[i] = notOwned
		}
	}
	l.share, l.standingAt = share, now
	from := max(now, l.delayUntil)
	if now-l.startedAt < joinPeriod && slices.Contains(s.Owned, true) && l.grantFrom == 0 && share > 0 {
		l.grantFrom = now + joinDelay
	}
	for i, owned := range s.Owned {
		switch {
		case !owned || share == 0:
			l.ownedFrom[i] = notOwned
		case l.ownedFrom[i] == notOwned:
			l.ownedFrom[i] = from
		}
	}
	l.sweep(now)
}

// Take takes up to want requests from the credit of an account.
func (l *Ledger) Take(now Time, account table.AccountName, limit Limit, want int) Grant {
	if len(l.ownedFrom) == 0 || now-l.standingAt > maxStandingAge && !l.faults.noResume {
		return Grant{NotOwner: true}
	}
	from := l.ownedFrom[Shard(account, len(l.ownedFrom))]
	if from == notOwned || now < max(from, l.grantFrom) {
		return Grant{NotOwner: true}
	}
	a := l.Tolerance.owner(limit).times(l.share)
	b := l.buckets[account]
	if b == nil || b.at < from {
		b = &bucket{at: from, allowed: a}
		if l.faults.fullStart {
			b.level = a.capacity
		}
		l.buckets[account] = b
	}
	b.fill(now, a)
	credit := b.take(want)
	if credit > 0 || want == 0 {
		return Grant{Credit: credit}
	}
	// The bucket does not become full between the questions of a spender whose account is over its quota.
	pace := min(maxAskInterval, Time(a.capacity/a.perSecond*float64(second)/4))
	return Grant{Retry: max(b.wait(), pace)}
}

// LedgerState is the state of an account at its owner, for operators.
type LedgerState struct {
	Owned bool    `json:"owned"`
	Share float64 `json:"share"`
	// Level is the credit that is left, Capacity its highest value and PerSecond the rate at which it grows.
	Level     float64 `json:"level"`
	Capacity  float64 `json:"capacity"`
	PerSecond float64 `json:"perSecond"`
}

// State returns the state of an account.
func (l *Ledger) State(now Time, account table.AccountName, limit Limit) LedgerState {
	if l.Take(now, account, limit, 0).NotOwner {
		return LedgerState{}
	}
	b := l.buckets[account]
	return LedgerState{Owned: true, Share: l.share, Level: b.level, Capacity: b.allowed.capacity, PerSecond: b.allowed.perSecond}
}

// Linked reports whether this entry is linked with most of the fleet.
func (l *Ledger) Linked() bool { return l.share == 1 }

// Standing returns how many shards this entry owns and the part of the quotas that it may hand out.
func (l *Ledger) Standing() (shards int, share float64) {
	for _, from := range l.ownedFrom {
		if from != notOwned {
			shards++
		}
	}
	return shards, l.share
}

// sweepInterval is how often buckets that are full again are removed.
const sweepInterval = 10 * time.Second

// sweep removes the buckets whose state is the same as that of an account without a bucket, or less than it.
func (l *Ledger) sweep(now Time) {
	if now-l.sweptAt < sweepInterval || l.faults.fullStart {
		return
	}
	l.sweptAt = now
	for account, b := range l.buckets {
		from := notOwned
		if len(l.ownedFrom) > 0 {
			from = l.ownedFrom[Shard(account, len(l.ownedFrom))]
		}
		filled := func(since Time) float64 { return b.allowed.perSecond * (now - since).Seconds() }
		if b.at < from || from == notOwned || b.level+filled(b.at) >= b.allowed.capacity && filled(from) >= b.allowed.capacity {
			delete(l.buckets, account)
		}
	}
}

// Size returns the number of accounts with a bucket.
func (l *Ledger) Size() int { return len(l.buckets) }
