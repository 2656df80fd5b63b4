// Package gateway serves callers' HTTP requests by passing them to backend
// servers that it reaches itself, without an agent beside them: plain requests,
// safe or unsafe to repeat, and streams of events that outlive the server that
// began them. Headers on the wire and the store behind the configuration are met
// through Codec and Source.
//
// Lock order: gateway state, then fleet. No lock is held over I/O.
package gateway
