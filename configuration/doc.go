// Package configuration is the client of the configuration service, which stores the tables and the fleet
// list.
//
// The service can only be read and watched, at a limited rate over the whole fleet, and may be down or
// stale for hours. The package reads snapshots of the tables that existed together, and hands them on;
// whether a snapshot comes into force is decided by table.Acceptor.
package configuration
