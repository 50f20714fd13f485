// Package quota decides whether a request of an account may run, so that all entries together stay inside the
// account's quota, in touch with each other or not.
//
// The owner of an account has a Ledger with a token bucket for it. Entries that place requests have a Spender, which
// asks the owner for credit that expires after a short time. The package does no I/O, and time is passed in. It must
// include the time for which the VM was suspended.
package quota
