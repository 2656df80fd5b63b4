// Package revision spreads the accepted configuration to every process.
//
// A Node is the deterministic core that one process embeds. It is told the
// time, the messages that arrive and the outcome of table reads, and returns
// what to send, whether to read the table and what to install. It starts no
// goroutine and reads no clock.
//
// The table is the source of truth. The fleet together reads it a few times a
// second, whatever its size; what a read brings is pushed to a bounded number
// of random peers, each of which pushes it on, and every process regularly
// asks one random peer for what it lacks. The revision that a Node holds only
// grows. A Node also carries facts, such as the stop of a version, that spread
// at once without the table and are never taken back.
//
// A program that embeds a Node must accept messages from its own processes
// only: a revision that a peer makes up would be believed. Messages may be
// lost, so that datagrams will do, but for the whole state, which can take
// megabytes and is only sent to a process that asks for it.
package revision
