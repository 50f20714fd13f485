// Package peer carries messages between entries over QUIC with mutual TLS.
//
// Heartbeats are datagrams, because a late one is of no use. Each forwarded request and each fetch of the
// active pair of tables has a stream of its own, so that a response can only belong to the request on its
// stream.
//
// The receiver of a request keeps its direction of the stream open after the end of the response. The sender stops
// reading when it has read that end, or gives up, which is how the receiver learns that it may forget the request. So a
// node that stops can tell which responses have arrived, and its peers which requests were not run.
package peer
