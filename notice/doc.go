// Package notice ensures that a non-idempotent notice or order runs at most once although entries share no
// state.
//
// A request ID names the one incarnation of one entry that may run it. That incarnation remembers the IDs it
// has seen for longer than it admits them, so a retry is always recognized. Every other process only forwards
// the request, or reports that the outcome is unknown.
package notice
