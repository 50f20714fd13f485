// Package target sends requests to targets over HTTP/1.1 and polls their probe and load endpoints.
//
// It keeps its own connections instead of using http.Transport, because http.Transport sends some
// requests again when a reused connection is lost. Here one call of Client.Do writes a request at
// most once, except for the move off a silent connection that the caller of Do asks for, and every
// failure says whether a byte of the request may have reached the target.
package target
