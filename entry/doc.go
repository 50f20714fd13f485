// Package entry is the daemon that callers connect to. It ties the tables in force, the membership
// of the fleet, the decisions of each cell and the connections to targets and peers together.
//
// A request goes through three steps, each in a file of its own: front checks it and finds its
// route, bind decides whether a non-idempotent request may run here, and place runs it at a target of
// a cell or forwards it to the entry that owns the cell.
package entry
