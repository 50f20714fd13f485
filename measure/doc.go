// Package measure holds the experiments that judge the decision code of package pool.
//
// Each experiment runs one cell, or a few observers of one cell, on virtual time against small fake
// targets whose faults can be switched while it runs. The same callers and faults are given to the
// cell and to published baselines. Every run is a function of its seed, so a result can be repeated.
// Bounds come from the goals in section 9 of docs/design.md; a figure without a goal has no bound.
package measure
