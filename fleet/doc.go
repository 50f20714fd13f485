// Package fleet decides which entries are alive, which entry owns which cell of a pool, and whether the owner
// may be sure that no other entry serves the cell.
//
// The package does no I/O. Heartbeats come in through Receive and go out through Tick, and the time is passed
// in. No state is shared between entries: those that see the same members compute the same owners by
// rendezvous hashing.
package fleet
