package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// credentials are what a caller gives to prove which account it belongs to. The zero value means none.
type credentials struct {
	// account and token are ignored where tokens identify accounts, and digest is where they don't.
	account AccountName
	token   string
	digest  TokenDigest
}

func (r *Router) credentials(account AccountName, token string) credentials {
	if r.pair.Routes.AccountsByToken {
		return credentials{digest: DigestToken(token)}
	}
	return credentials{account: account, token: token}
}

// TokenDigest is the SHA-256 of a token. The zero value means that there is none. Entries exchange and compare tokens only
// in this form.
type TokenDigest [sha256.Size]byte

// DigestToken returns the digest of a token; zero for the empty token.
func DigestToken(token string) TokenDigest {
	if token == "" {
		return TokenDigest{}
	}
	return sha256.Sum256([]byte(token))
}

// String returns the digest as the tables hold it, in lower-case hex digits.
func (d TokenDigest) String() string { return hex.EncodeToString(d[:]) }

// tokensOf returns the account of each token of accounts that passed Check.
func tokensOf(accounts []AccountRow) map[TokenDigest]uint32 {
	tokens := make(map[TokenDigest]uint32, len(accounts))
	for i := range accounts {
		for _, t := range accounts[i].Tokens {
			var d TokenDigest
			if _, err := hex.Decode(d[:], []byte(t)); err == nil {
				tokens[d] = uint32(i)
			}
		}
	}
	return tokens
}

// Account returns the account with the name, or nil.
func (r *Router) Account(name AccountName) *AccountRow {
	i, ok := r.accounts[name]
	if !ok {
		return nil
	}
	return &r.pair.Routes.Accounts[i]
}

// AccountOfToken returns the account that a token identifies, or nil. It is nil unless tokens identify accounts.
func (r *Router) AccountOfToken(token TokenDigest) *AccountRow {
	i, ok := r.tokens[token]
	if !ok {
		return nil
	}
	return &r.pair.Routes.Accounts[i]
}

// Priority returns the priority of a request: that of its account if it has one, otherwise that of its route.
func (r *Router) Priority(route *Route, account AccountName) int {
	if a := r.Account(account); a != nil && a.Priority != nil {
		return *a.Priority
	}
	return route.Priority
}

// authorize checks the credentials against the routes table and returns the verified account. Given credentials are
// verified on every route, even if the route allows all callers, because fairness between accounts relies on it. Only
// public routes, for which callers need no account, ignore a token that is unknown.
func (r *Router) authorize(route *Route, given credentials) (AccountName, TokenDigest, error) {
	a, err := r.identify(route, given)
	if err != nil || a == nil {
		return "", given.digest, err
	}
	if len(route.Accounts) > 0 && !r.isGranted(route, a.Name) {
		return "", TokenDigest{}, &Refusal{Reason: RefusedAccount, Route: route.Name, Account: a.Name}
	}
	return a.Name, given.digest, nil
}

func (r *Router) isGranted(route *Route, account AccountName) bool {
	_, ok := r.grants[grant{route.Name, r.accounts[account]}]
	return ok
}

// AuthorizeToken returns the account of a request on the route whose token has the digest, where tokens identify accounts.
// It is empty if the route needs none and none is proved. The error is of type *Refusal.
func (r *Router) AuthorizeToken(route *Route, token TokenDigest) (AccountName, error) {
	account, _, err := r.authorize(route, credentials{digest: token})
	return account, err
}

// identify returns the account of the credentials; nil if the route needs none and none is proved.
func (r *Router) identify(route *Route, given credentials) (*AccountRow, error) {
	if r.pair.Routes.AccountsByToken {
		a := r.AccountOfToken(given.digest)
		switch {
		case a != nil || route.Public && len(route.Accounts) == 0:
			return a, nil
		case given.digest == TokenDigest{}:
			return nil, &Refusal{Reason: RefusedNoAccount, Route: route.Name}
		}
		return nil, &Refusal{Reason: RefusedToken, Route: route.Name}
	}
	switch {
	case given.account == "" && len(route.Accounts) == 0:
		return nil, nil
	case given.account == "":
		return nil, &Refusal{Reason: RefusedNoAccount, Route: route.Name}
	case !r.authenticate(given):
		return nil, &Refusal{Reason: RefusedToken, Route: route.Name, Account: given.account}
	}
	return r.Account(given.account), nil
}

// placeholderDigest is compared with if the account is unknown, so that the time taken does not reveal
// which accounts exist.
var placeholderDigest = strings.Repeat("-", sha256HexLength)

// authenticate reports whether the token belongs to the account. The time it takes does not depend on the
// token's content.
func (r *Router) authenticate(given credentials) bool {
	sum := sha256.Sum256([]byte(given.token))
	var digest [sha256HexLength]byte
	hex.Encode(digest[:], sum[:])
	expected := placeholderDigest
	a := r.Account(given.account)
	if a != nil {
		expected = a.TokenSHA256
	}
	equal := subtle.ConstantTimeCompare(digest[:], []byte(expected)) == 1
	return a != nil && equal
}
