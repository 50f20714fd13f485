// Package entry is the proxy daemon that callers connect to. It connects the active tables, the fleet
// membership, the placement decisions of each cell, and the connections to targets and peers.
//
// A request passes three stages, each in a file of its own. The handler stage validates the request and finds
// its route. The bind stage decides whether this process may run a non-idempotent request. The place stage runs
// the request at a target of a cell, or forwards it to the entry that owns the cell.
package entry
