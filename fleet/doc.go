// Package fleet decides which entries are alive, which entry owns which cell of a pool, and how
// sure the owner may be that it is the only one.
//
// It is pure code over tables and ticks: heartbeats come in through Receive, go out through Tick,
// and time is passed in. No entry writes shared state; entries that see the same members compute
// the same owners by rendezvous hashing.
package fleet
