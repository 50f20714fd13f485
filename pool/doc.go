// Package pool makes the decisions for one cell of a pool: which target runs which request, which
// targets are avoided or ejected, when a request is retried, queued or refused.
//
// It is pure code over tables and ticks, with time and randomness passed in and no I/O, so that the
// daemon and the measurements run the same code. Targets, requests and fingerprints are rows of
// tables; systems run over them each tick.
package pool
