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

// match routes a request by its path in the form that routes are compared with. A request whose token another entry has
// taken out is identified by the digest.
func (e *Entry) match(x *exchange, active *activeTables, path string) (table.Match, error) {
	if x.CheckedRevision != 0 {
		return active.router.RouteToken(x.Method, x.Host, path, x.forwardedToken())
	}
	return active.router.Route(x.Method, x.Host, path, table.AccountName(x.Header.Get(headerAccount)), e.callerProtocol().token(x.Header))
}

// forwardedToken returns the digest that the sender of a forwarded request gave; zero if it gave none.
func (x *exchange) forwardedToken() (token table.TokenDigest) {
	if len(x.TokenDigest) == len(token) {
		copy(token[:], x.TokenDigest)
	}
	return token
}

// setAccount notes the account of a request that passed the router. Where tokens identify accounts, the token goes no
// further than this entry. The field for targets is set here, not by the owner, because the owner may be of an earlier
// build or have older tables, and would pass on what the caller sent.
func (e *Entry) setAccount(x *exchange, active *activeTables, account table.AccountName, token table.TokenDigest) {
	x.Account = account
	x.priority = active.router.Priority(x.route, account)
	switch {
	case active.pair.Routes.AccountsByToken:
	case e.callerProtocol().WithholdsTokens:
		token = table.DigestToken(e.callerProtocol().token(x.Header))
	default:
		return
	}
	x.CheckedRevision, x.TokenDigest = active.pair.Revision, nil
	if (token != table.TokenDigest{}) {
		x.TokenDigest = token[:]
	}
	// A Connection field could name the account's field, so that it would be taken out on the way.
	target.DropHopByHop(x.Header)
	name := e.accountHeader()
	x.Header.Del(headerAuthorization)
	x.Header.Del(name)
	if a := active.router.Account(account); a != nil && name != "" {
		x.Header.Set(name, a.DisplayName())
	}
}

// admitForwardedAccount identifies the account of a forwarded request by the tables of this entry, if those are as new as
// the ones of the sender: the sender may still have a token that was taken away or moved to another account. A sender of
// an earlier build has left the Authorization field in the header.
func (e *Entry) admitForwardedAccount(x *exchange, active *activeTables) *refusal {
	switch {
	case x.CheckedRevision > active.pair.Revision, x.CheckedRevision != 0 && !active.pair.Routes.AccountsByToken:
		x.priority = active.router.Priority(x.route, x.Account)
		return nil
	case !active.pair.Routes.AccountsByToken:
		e.setAccount(x, active, x.Account, table.TokenDigest{})
		return nil
	}
	token := x.forwardedToken()
	if x.CheckedRevision == 0 {
		given := e.callerProtocol().token(x.Header)
		if given == "" && x.Account != "" {
			// A relay of an earlier build passes on the account without the digest. The caller may try another way.
			return notRunRefusal(http.StatusServiceUnavailable, reasonOwnerUnreachable, "a relay has left out the digest of the token")
		}
		token = table.DigestToken(given)
	}
	account, err := active.router.AuthorizeToken(x.route, token)
	if err != nil {
		return routeRefusal(err)
	}
	e.setAccount(x, active, account, token)
	return nil
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
