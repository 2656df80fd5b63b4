// Package revision distributes the accepted configuration to every process by
// gossip.
//
// A Node is the deterministic core that one process embeds. Its inputs are the
// time, received messages and the results of table reads. It returns the
// messages to send, the table reads to make and the deltas to install. It
// starts no goroutine and reads no clock.
//
// The table is the source of truth. All processes together read it a few times
// a second, regardless of their number. The result of a read is pushed to a
// bounded number of random peers, which push it on. In addition, every process
// regularly pulls missing changes from one random peer. The revision of a Node
// never decreases. A Node also distributes facts, such as the stop of a version.
// They spread at once, without the table, and are never revoked.
//
// A program that embeds a Node must accept messages from its own processes only,
// since the Node trusts the revisions in them. Messages may be lost, so that
// datagrams suffice. The exception is the complete state, which can take
// megabytes. It is sent to a process that pulls it, and pushed only if it fits
// into a push.
package revision
