// Package process holds failure tests that run the daemons as separate processes on loopback. They
// need the programs under bin and are built with the tag "process" only.
package process
