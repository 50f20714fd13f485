package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/bilberrywood/bilberrywood/fleet"
	"github.com/bilberrywood/bilberrywood/quota"
	"github.com/bilberrywood/bilberrywood/table"
)

// QuotaStatus is the response to GET /v1/quota?account=A.
type QuotaStatus struct {
	Account table.AccountName `json:"account"`
	// RatePerSecond and Burst are the quota; a rate of 0 means that there is none.
	RatePerSecond float64 `json:"requestsPerSecond"`
	Burst         float64 `json:"burst"`
	// Owner hands out the credit of the account, in the view of this entry.
	Owner fleet.EntryID `json:"owner,omitempty"`
	// Ledger is the state of the account if this entry owns it, and Spending that of its requests at this entry.
	Ledger   quota.LedgerState   `json:"ledger"`
	Spending quota.SpendingState `json:"spending"`
}

func (e *Entry) quotaStatus(c echo.Context) error {
	active := e.tables.current()
	account := table.AccountName(c.QueryParam("account"))
	if active == nil || active.router.Account(account) == nil {
		return c.JSON(http.StatusNotFound, map[string]string{"error": "no such account in the active tables"})
	}
	status := QuotaStatus{Account: account}
	if limit, ok := active.limitOf(account); ok {
		status.RatePerSecond, status.Burst = limit.RatePerSecond, limit.Burst
		if owner, ok := e.owner(active.accountKey(account)); ok {
			status.Owner = owner.ID
		}
		s := e.quota
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.now()
		status.Ledger, status.Spending = s.ledger.State(now, account, limit), s.spender.State(now, account)
	}
	return c.JSON(http.StatusOK, status)
}
