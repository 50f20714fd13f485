package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/quota"
	"github.com/bilberrywood/bilberrywood/table"
)

// Reasons of refusals by quota.
const (
	reasonOverQuota  pool.Reason = "overQuota"
	reasonQuotaOwner pool.Reason = "quotaOwnerUnreachable"
)

// accountShardPool is the pool of the cell keys by which the owners of accounts are chosen. No such pool exists. Where
// cells with the same index have the same owner, that entry owns accounts too.
const accountShardPool table.PoolName = "\x00accounts"

// defaultAccountShards is the number of shards of the accounts where each cell has an owner of its own.
const defaultAccountShards = 64

// quotaState keeps requests inside the quotas of their accounts.
type quotaState struct {
	e *Entry

	mu       sync.Mutex
	ledger   quota.Ledger
	spender  quota.Spender
	throttle quota.Throttle
	// pending has the questions that wait to be sent to each owner, and sending the number of exchanges with it.
	pending map[fleet.EntryID][]quota.Ask
	sending map[fleet.EntryID]int
	// refused counts the requests over quota since the last log line.
	refused  map[table.AccountName]int
	loggedAt quota.Time
	// shards and share are those of the last log line.
	shards int
	share  float64
	closed bool

	// links belongs to the tick.
	links fleet.LinkCounter
	// wake has capacity 1. It is signaled when requests begin to wait.
	wake             chan struct{}
	ctx              context.Context
	cancel           context.CancelFunc
	exchanges        sync.WaitGroup
	asked, askFailed metrics.Counter
	// requestQuota is peer.Node.RequestQuota, except in tests.
	requestQuota func(context.Context, fleet.Member, peer.QuotaRequest) (peer.QuotaResult, error)
}

func newQuotaState(e *Entry) *quotaState {
	q := e.Settings.Quota
	tolerance := quota.Tolerance{
		Window: time.Duration(q.WindowSeconds * float64(time.Second)), Excess: q.Excess, Slack: q.Slack,
	}
	s := &quotaState{
		e: e, pending: make(map[fleet.EntryID][]quota.Ask), sending: make(map[fleet.EntryID]int),
		refused: make(map[table.AccountName]int), wake: make(chan struct{}, 1),
	}
	s.ledger.Tolerance, s.spender.Tolerance = tolerance, tolerance
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.asked = metrics.GetOrRegisterCounter("quota.asked", e.Metrics)
	s.askFailed = metrics.GetOrRegisterCounter("quota.askFailed", e.Metrics)
	size := func(f func() int) func() int64 {
		return func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return int64(f())
		}
	}
	metrics.NewRegisteredFunctionalGauge("quota.ownedAccounts", e.Metrics, size(func() int { return s.ledger.Size() }))
	metrics.NewRegisteredFunctionalGauge("quota.accounts", e.Metrics, size(func() int { return s.spender.Size() }))
	return s
}

// now returns the time that includes a suspension which has just ended.
func (s *quotaState) now() quota.Time {
	s.e.updateSuspension()
	return s.e.sinceStart()
}

// limitOf returns the quota of an account, and false if it has none.
func (t *activeTables) limitOf(account table.AccountName) (quota.Limit, bool) {
	if account == "" {
		return quota.Limit{}, false
	}
	row := t.router.Account(account)
	if row == nil || row.RatePerSecond <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: row.RatePerSecond, Burst: row.Burst}, true
}

// accountShards returns the number of shards of the accounts.
func (t *activeTables) accountShards() int {
	if n := len(t.shardDomains); n > 0 {
		return n
	}
	return defaultAccountShards
}

// accountKey returns the key by whose owner an account is owned.
func (t *activeTables) accountKey(account table.AccountName) fleet.CellKey {
	return fleet.CellKey{Pool: accountShardPool, Index: quota.Shard(account, t.accountShards())}
}

// acquire waits until a request may run by its account's quota, or returns a refusal. giveBack returns the credit of a
// request that was refused afterwards; it is never nil.
func (s *quotaState) acquire(ctx context.Context, x *exchange) (giveBack func(), refused *refusal) {
	none := func() {}
	active := s.e.tables.current()
	if active == nil {
		return none, nil
	}
	limit, ok := active.limitOf(x.Account)
	if !ok {
		return none, nil
	}
	s.mu.Lock()
	now := s.now()
	v, w := s.spender.Acquire(now, x.Account, limit, now+time.Until(s.e.deadline(x))/maxQuotaWaitShare)
	s.dispatch(now)
	s.mu.Unlock()
	if w != nil {
		select {
		case v = <-w.Verdict:
		default:
			if v, ok = s.wait(ctx, x, w); !ok {
				return none, notRunRefusal(http.StatusGatewayTimeout, reasonDeadlinePassed, "the request waited for its account's quota")
			}
		}
	}
	switch v.Kind {
	case quota.VerdictRun:
		return func() { s.giveBack(x.Account, v.Expires) }, nil
	case quota.VerdictOverQuota:
		return none, s.overQuota(x.Account, v.Retry)
	}
	refused = notRunRefusal(http.StatusServiceUnavailable, reasonQuotaOwner, "the entry that counts the account's requests is unreachable")
	refused.retryAfter = v.Retry + rand.N(retryAfterJitter)
	return none, refused
}

// maxQuotaWaitShare is the part of the remaining time that a request waits for credit at most, as a divisor.
const maxQuotaWaitShare = 2

// wait waits for the verdict on a request; ok is false if ctx has ended before that.
func (s *quotaState) wait(ctx context.Context, x *exchange, w *quota.Waiter) (v quota.Verdict, ok bool) {
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case v = <-w.Verdict:
		return v, true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spender.Cancel(s.now(), x.Account, w)
		return quota.Verdict{}, false
	}
}

func (s *quotaState) giveBack(account table.AccountName, expires quota.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spender.GiveBack(s.now(), account, expires)
}

// overQuota returns the refusal of a request over the account's quota.
func (s *quotaState) overQuota(account table.AccountName, retry time.Duration) *refusal {
	s.mu.Lock()
	s.refused[account]++
	s.mu.Unlock()
	refused := notRunRefusal(http.StatusTooManyRequests, reasonOverQuota, "the account has used up its quota")
	refused.retryAfter = retry
	return refused
}

// throttled refuses a part of the requests that this entry would forward for an account far over its quota.
func (s *quotaState) throttled(x *exchange) *refusal {
	if x.Account == "" {
		return nil
	}
	s.mu.Lock()
	retry, ok := s.throttle.Admit(s.e.sinceStart(), x.Account, rand.Float64())
	s.mu.Unlock()
	if ok {
		return nil
	}
	return s.overQuota(x.Account, retry+rand.N(retryAfterJitter))
}

// observe learns from a response of the owner of a cell whether an account is over its quota.
func (s *quotaState) observe(account table.AccountName, h http.Header) {
	if account == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.e.sinceStart()
	if pool.Reason(h.Get(headerReason)) != reasonOverQuota {
		s.throttle.Passed(now, account)
		return
	}
	// A value that can't be read would come from another build; callers are then told no delay but the spread.
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	s.throttle.Refused(now, account, time.Duration(seconds*float64(time.Second)))
}

// tick tells the ledger and the spender what this entry knows of the fleet.
func (s *quotaState) tick(active *activeTables, v *fleet.View) {
	owned := make([]bool, active.accountShards())
	for i := range owned {
		owned[i] = v.Owns(fleet.CellKey{Pool: accountShardPool, Index: i})
	}
	links := s.links.Count(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.ledger.SetStanding(now, quota.Standing{Owned: owned, Links: links})
	spenders := 0
	if links[0].Self {
		spenders = links[0].Known
	}
	shards, share := s.ledger.Standing()
	s.spender.SetSpenders(now, spenders, s.ledger.Linked())
	if !s.spender.Waiting() {
		s.spender.Tick(now)
		s.dispatch(now)
	}
	if shards != s.shards || share != s.share {
		s.e.Log.Info().Str("event", "quotaOwnershipChanged").Int("shards", shards).Int("of", len(owned)).Float64("share", share).
			Int("linked", links[0].Linked).Int("known", links[0].Known).Msg("this entry counts the requests of other accounts, or another part of them")
		s.shards, s.share = shards, share
	}
	s.logRefused(now)
}

// Limits of the log lines about requests over quota.
const (
	quotaLogInterval = 5 * time.Second
	maxQuotaLogLines = 20
)

// logRefused logs how many requests were refused over quota, for some accounts. The caller holds mu.
func (s *quotaState) logRefused(now quota.Time) {
	if len(s.refused) == 0 || now-s.loggedAt < quotaLogInterval {
		return
	}
	s.loggedAt = now
	lines, accounts := 0, len(s.refused)
	for account, n := range s.refused {
		if lines++; lines > maxQuotaLogLines {
			break
		}
		s.e.Log.Info().Str("event", "quotaRefused").Str("account", string(account)).Int("requests", n).Int("accounts", accounts).
			Msg("requests over the account's quota were refused")
	}
	clear(s.refused)
}

// pacing is how often the owners are asked again while requests wait.
const pacing = 5 * time.Millisecond

// run serves the requests that wait, until ctx ends.
func (s *quotaState) run(ctx context.Context) {
	ticker := time.NewTicker(pacing)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		ticker.Reset(pacing)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s.mu.Lock()
			now := s.now()
			s.spender.Tick(now)
			s.dispatch(now)
			waiting = s.spender.Waiting()
			s.mu.Unlock()
		}
	}
}

// close waits for the exchanges with owners.
func (s *quotaState) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.exchanges.Wait()
}
