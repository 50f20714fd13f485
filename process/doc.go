// Package process holds the failure tests that run the daemons as separate processes on loopback.
// They are built only with the tag "process", because they need the programs under bin.
package process
