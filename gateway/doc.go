// Package gateway serves callers' HTTP requests by sending them directly to backend
// servers, without an agent beside them. It handles plain requests, idempotent or
// not, and event streams that continue at another server when the one that began them
// fails. Codec abstracts the wire format, Source the store of the
// configuration and of the registered servers.
//
// Lock order: serversState, then fleet, then gossiper. The locks of fleet and
// gossiper are not held over network I/O. That of serversState is held while a
// datagram with server changes is sent to the peers.
package gateway
