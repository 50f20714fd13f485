// Package configuration is the client of the configuration service, which stores the tables and the
// fleet list.
//
// The service can only be read and watched. The rate of calls is limited over the whole fleet, and the
// service may be unreachable or stale for hours. The package reads snapshots of the tables, each as of one
// revision, and delivers them to callbacks. table.Acceptor decides whether a snapshot becomes active.
package configuration
