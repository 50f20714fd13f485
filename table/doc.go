// Package table holds the two tables that operators edit, routes and pools: their types, their
// parser, their checks, and the rule that decides which pair of tables is in force.
//
// The tables are the only input by which operators drive the fleet, so everything else in the
// repository derives from the pair that this package accepts.
package table
