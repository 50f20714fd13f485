// Package table holds the two tables that operators edit, routes and pools: their types, their parser,
// their checks, and the rule that decides which pair of tables is active.
//
// Operators drive the fleet only by these tables. All other packages derive their state from the pair
// that this package accepts.
package table
