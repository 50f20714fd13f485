// Package cost estimates how much work requests are for the targets of a cell, from what the entry sees of them, and how
// fast each target works. It knows nothing of time, network or state of targets; package pool decides with it.
//
// The expected work of a request comes from a tree of means of logarithmic service times: all requests, the route, its
// method, the shape of the path, the size of the body and the account. Each level counts by the number of its samples and
// by how much of the variance it has explained so far, so that an unknown account is expected to be like its route, and
// an empty estimator like every other. The work that is left of a request in flight is a conditional expectation over the
// distribution of the deviations from those means.
//
// A service time is the work of the request times the slowness of its target. Slownesses are relative to the median
// target and learned from clipped deviations, and means from service times that are divided by the slowness, so that
// neither a slow target nor an expensive request is mistaken for the other.
package cost
