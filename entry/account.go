package entry

import (
	"net/http"
	"strings"

	"github.com/bilberrywood/bilberrywood/pool"
	"github.com/bilberrywood/bilberrywood/table"
	"github.com/bilberrywood/bilberrywood/target"
)

const headerAuthorization = "Authorization"

// token returns the token of a request's Authorization field, or "" if there is none. Several such fields prove nothing,
// since another hop could take another one of them.
func (p *CallerProtocol) token(h http.Header) string {
	fields := h.Values(headerAuthorization)
	if len(fields) != 1 {
		return ""
	}
	// Schemes are compared in any case (RFC 9110, section 11.1).
	scheme, token, _ := strings.Cut(fields[0], " ")
	if !strings.EqualFold(scheme, p.tokenScheme()) {
		return ""
	}
	return strings.Trim(token, " ")
}

// defaultTokenScheme is the scheme of the Authorization field of bilberrywood's own callers (RFC 6750).
const defaultTokenScheme = "Bearer"

func (p *CallerProtocol) tokenScheme() string {
	if p.TokenScheme == "" {
		return defaultTokenScheme
	}
	return p.TokenScheme
}

// setAccount notes the account of a request that passed the router, as the tables describe it. Where tokens identify
// accounts, the token goes no further than this entry.
func (x *exchange) setAccount(active *activeTables, account table.AccountName, token table.TokenDigest) {
	x.Account = account
	x.accountsByToken = active.pair.Routes.AccountsByToken
	if x.accountsByToken {
		x.Header.Del(headerAuthorization)
		x.TokenDigest = nil
		if account != "" {
			x.TokenDigest = token[:]
		}
	}
	x.accountLabel = string(account)
	if a := active.router.Account(account); a != nil {
		x.accountLabel = a.DisplayName()
	}
	x.priority = active.router.Priority(x.route, account)
}

// admitForwardedAccount checks the account of a forwarded request by the tables of this entry. The sender has checked it by
// its own, which may be older, so that they still have a token that was taken away, or newer. A sender that knows no
// tokens, because its build or its tables are older, has left the Authorization field in the header.
func (e *Entry) admitForwardedAccount(x *exchange, active *activeTables) *refusal {
	if !active.pair.Routes.AccountsByToken {
		x.setAccount(active, x.Account, table.TokenDigest{})
		return nil
	}
	if len(x.TokenDigest) == 0 {
		return e.admitUncheckedAccount(x, active)
	}
	var token table.TokenDigest
	copy(token[:], x.TokenDigest)
	a := active.router.AccountOfToken(token)
	if (a == nil || a.Name != x.Account) && x.Revision <= active.pair.Revision {
		return routeRefusal(&table.Refusal{Reason: table.RefusedToken, Route: x.Route})
	}
	x.setAccount(active, x.Account, token)
	return nil
}

// admitUncheckedAccount identifies the account of a forwarded request whose sender has found none.
func (e *Entry) admitUncheckedAccount(x *exchange, active *activeTables) *refusal {
	given := e.callerProtocol().token(x.Header)
	token := table.DigestToken(given)
	a := active.router.AccountOfToken(token)
	switch {
	case a != nil:
		x.setAccount(active, a.Name, token)
		return nil
	case x.route.Public:
		x.setAccount(active, "", table.TokenDigest{})
		return nil
	case given == "":
		return routeRefusal(&table.Refusal{Reason: table.RefusedNoAccount, Route: x.Route})
	}
	return routeRefusal(&table.Refusal{Reason: table.RefusedToken, Route: x.Route})
}

// accountHeader is the field by which targets are told the account of a request; empty if they are not.
func (e *Entry) accountHeader() string {
	if e.TargetProtocol == nil {
		return target.DefaultProtocol.AccountHeader
	}
	return e.TargetProtocol.AccountHeader
}

// reasonWrongToken is the reason of refusals for a token that identifies no account.
const reasonWrongToken pool.Reason = "wrongToken"
