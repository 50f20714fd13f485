// Package target sends requests to targets over HTTP/1.1 and polls their probe and load endpoints.
//
// It manages its own connections instead of using http.Transport, because http.Transport may retry
// a request when a reused connection is lost. One call of Client.Do writes a request at most once.
// The only exception is opt-in: with Request.SilenceTimeout, an idempotent request may move from a
// silent connection to a new one. Every failure reports whether a byte of the request may have
// reached the target.
package target
