// Package measure holds the experiments that test the load balancing and failure detection of package
// pool.
//
// Each experiment except addedLatency is a discrete event simulation: one cell, or a few observers of
// one cell, run on virtual time against simulated targets whose faults are switched on and off during
// the run. The cell and the published baselines get the same callers and faults. Every simulated run
// is determined by its seed, so a result can be reproduced. addedLatency measures real processes.
//
// Bounds come from the goals in section 9 of docs/design.md; a figure without a goal has no bound.
package measure
