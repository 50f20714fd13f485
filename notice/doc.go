// Package notice makes sure that a non-idempotent notice or order runs at most once although
// entries share no state.
//
// An id names the one incarnation of one entry that may run it. That incarnation keeps the ids it
// has seen in memory for longer than it admits them, so a resend is always recognised; every other
// process only forwards the request or answers that the outcome is unknown.
package notice
