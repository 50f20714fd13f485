package table

import "fmt"

// RefusalReason says why a request is not routed.
type RefusalReason string

// Reasons for a refusal. A refused request has not been executed.
const (
	// RefusedPath means that the path has empty or dot segments or does not start with "/".
	RefusedPath RefusalReason = "path has empty or dot segments"
	// RefusedNoRoute means that the request matches no route.
	RefusedNoRoute RefusalReason = "no route"
	// RefusedMethod means that the route does not allow the method.
	RefusedMethod RefusalReason = "method not allowed"
	// RefusedNoAccount means that the route requires an account and the caller gave none.
	RefusedNoAccount RefusalReason = "account required"
	// RefusedToken means that the account is unknown or the token is not that of the account.
	RefusedToken RefusalReason = "unknown account or wrong token"
	// RefusedAccount means that the route does not allow the account.
	RefusedAccount RefusalReason = "account not allowed on this route"
)

// Refusal is the error of a request that is not routed.
type Refusal struct {
	Reason RefusalReason
	// Route is empty if no route matched.
	Route RouteName
	// Account is the account that the caller gave, if any. It is not verified with RefusedToken.
	Account AccountName
	// Methods lists the methods that the route allows. It is set with RefusedMethod.
	Methods []string
}

// Error returns the reason with the route and the account.
func (r *Refusal) Error() string {
	if r.Route == "" {
		return string(r.Reason)
	}
	return fmt.Sprintf("%s (route %q, account %q)", r.Reason, r.Route, r.Account)
}
