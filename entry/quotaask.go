package entry

import (
	"context"
	"time"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/peer"
	"github.com/bilberrywood/bilberrywood/quota"
	"github.com/bilberrywood/bilberrywood/settings"
	"github.com/bilberrywood/bilberrywood/table"
)

const (
	// maxWanted is the credit of one account that is handed out at once at most.
	maxWanted = 1 << 16
	// maxExchanges is the number of simultaneous exchanges with one owner. Questions that come meanwhile share the next
	// message.
	maxExchanges = 4
)

// errNoPath is the error of a question to an owner that can't be reached over a peer either.
var errNoPath = Error.New("no path to the owner of the account")

// Quota implements peer.Handler: it hands out credit of the accounts that this entry owns, or passes the request on to
// their owner.
func (e *Entry) Quota(ctx context.Context, q peer.QuotaRequest) peer.QuotaResult {
	result := peer.QuotaResult{Grants: make([]peer.QuotaGrant, len(q.Accounts))}
	s := e.quota
	if q.To != "" && q.To != e.Settings.ID {
		to, ok := e.member(q.To)
		if ok && to.Link == fleet.LinkTwoWay {
			// The receiver does not pass it on again, since it is the one that is named.
			relayed, err := s.requestQuota(ctx, to, q)
			if err == nil {
				return relayed
			}
		}
		for i := range result.Grants {
			result.Grants[i].NotOwner = true
		}
		return result
	}
	active := e.tables.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i, account := range q.Accounts {
		g := s.grant(now, active, account, int(min(q.Wanted[i], maxWanted)))
		result.Grants[i] = peer.QuotaGrant{Credit: uint32(g.Credit), RetryMs: (g.Retry + time.Millisecond - 1).Milliseconds(), NotOwner: g.NotOwner}
	}
	return result
}

// grant hands out credit of an account that this entry owns. An account without a quota in its tables has as much as is
// wanted: the entry that asks has other tables. The caller holds mu.
func (s *quotaState) grant(now quota.Time, active *activeTables, account table.AccountName, want int) quota.Grant {
	if active == nil {
		return quota.Grant{NotOwner: true}
	}
	limit, ok := active.limitOf(account)
	if !ok {
		return quota.Grant{Credit: want}
	}
	return s.ledger.Take(now, account, limit, want)
}

// dispatch passes the questions of the spender to the owners. The caller holds mu.
func (s *quotaState) dispatch(now quota.Time) {
	active := s.e.tables.current()
	view := s.e.fleet.view()
	for asks := s.spender.Asks(); len(asks) > 0; asks = s.spender.Asks() {
		for _, ask := range asks {
			owner, ok := view.Owner(active.accountKey(ask.Account))
			switch {
			case !ok || s.closed:
				s.spender.Fail(now, ask)
			case owner.ID == s.e.Settings.ID:
				s.spender.Answer(now, ask, s.grant(now, active, ask.Account, ask.Want))
			default:
				s.pending[owner.ID] = append(s.pending[owner.ID], ask)
				s.startExchange(owner)
			}
		}
	}
}

// startExchange sends the pending questions to an owner, unless enough exchanges go on. The caller holds mu.
func (s *quotaState) startExchange(owner fleet.Member) {
	if s.sending[owner.ID] >= maxExchanges {
		return
	}
	s.sending[owner.ID]++
	s.exchanges.Go(func() {
		for s.exchangeOnce(owner) {
		}
	})
}

// exchangeOnce sends pending questions to an owner. It returns false if there were none, and the exchange then counts as
// over.
func (s *quotaState) exchangeOnce(owner fleet.Member) bool {
	s.mu.Lock()
	pending := s.pending[owner.ID]
	asks := pending[:min(len(pending), peer.MaxQuotaAccounts)]
	s.pending[owner.ID] = pending[len(asks):]
	if len(asks) == 0 {
		delete(s.pending, owner.ID)
		if s.sending[owner.ID]--; s.sending[owner.ID] == 0 {
			delete(s.sending, owner.ID)
		}
		s.mu.Unlock()
		return false
	}
	s.mu.Unlock()
	q := peer.QuotaRequest{To: owner.ID}
	for _, a := range asks {
		q.Accounts = append(q.Accounts, a.Account)
		q.Wanted = append(q.Wanted, uint32(a.Want))
	}
	ctx, cancel := context.WithTimeout(s.ctx, quota.AskTimeout)
	result, err := peer.QuotaResult{}, errNoPath
	if via, ok := s.e.nextHop(owner); ok {
		result, err = s.requestQuota(ctx, via, q)
	}
	cancel()
	s.asked.Inc(1)
	if err != nil {
		s.askFailed.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for i, a := range asks {
		if err != nil {
			s.spender.Fail(now, a)
			continue
		}
		g := result.Grants[i]
		s.spender.Answer(now, a, quota.Grant{Credit: int(g.Credit), Retry: settings.Millis(g.RetryMs), NotOwner: g.NotOwner})
	}
	s.dispatch(now)
	return true
}
