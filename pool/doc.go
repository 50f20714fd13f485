// Package pool decides for one cell of a pool: which target runs which request, which targets are avoided or
// ejected, and when a request is retried, queued or refused.
//
// The package does no I/O, and time and randomness are passed in, so that the daemon and the measurements run
// the same code. Targets, requests and fingerprints are kept in tables, which Cell.Tick and the other methods
// of Cell update.
package pool
