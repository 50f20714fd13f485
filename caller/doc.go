// Package caller is the client library for programs that send requests through the fleet.
//
// It asks an entry for the addresses that serve a route, connects to them directly, and retries
// where this is safe: an idempotent request, or a non-idempotent one with the same request ID. It
// creates a new ID only if the request with the previous one is known not to have run.
package caller
