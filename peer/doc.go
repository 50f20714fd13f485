// Package peer carries messages between entries over QUIC with mutual TLS.
//
// Heartbeats are datagrams, because a late one is worthless; forwarded requests and the accepted pair
// of tables use one stream each, so that an answer can only belong to the request on its stream.
package peer
