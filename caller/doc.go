// Package caller is the library for programs that send requests through the fleet.
//
// It asks an entry which addresses serve a route, connects there itself, and sends a request again
// where that can do no harm: an idempotent request, or a non-idempotent one with the same run id. It
// makes a new id only when the former one has certainly not run.
package caller
