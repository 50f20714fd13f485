package table

import "fmt"

// RefusalReason says why a request is not routed.
type RefusalReason string

// Reasons for a refusal. None of them started any work.
const (
	// RefusedPath means that the path has empty or dot segments or does not start with "/".
	RefusedPath RefusalReason = "path has empty or dot segments"
	// RefusedNoRoute means that no route's prefix matches.
	RefusedNoRoute RefusalReason = "no route"
	// RefusedMethod means that the route does not allow the method.
	RefusedMethod RefusalReason = "method not allowed"
	// RefusedNoAccount means that the route requires an account and the caller named none.
	RefusedNoAccount RefusalReason = "account required"
	// RefusedToken means that the account is unknown or the token is not its own.
	RefusedToken RefusalReason = "unknown account or wrong token"
	// RefusedAccount means that the route does not allow the account.
	RefusedAccount RefusalReason = "account not allowed on this route"
)

// Refusal is the error of a request that is not routed.
type Refusal struct {
	Reason RefusalReason
	// Route is empty if no route matched.
	Route RouteName
	// AccountName is the account that the caller named, if any; unverified with RefusedToken.
	Account AccountName
	// Methods lists the methods that the route allows, with RefusedMethod.
	Methods []string
}

// Error returns the reason with the route and the account.
func (r *Refusal) Error() string {
	if r.Route == "" {
		return string(r.Reason)
	}
	return fmt.Sprintf("%s (route %q, account %q)", r.Reason, r.Route, r.Account)
}
