// Package peer carries messages between entries over QUIC with mutual TLS.
//
// Heartbeats are datagrams, because a late one is of no use. Each forwarded request and each fetch of the
// active pair of tables has a stream of its own, so that a response can only belong to the request on its
// stream.
package peer
