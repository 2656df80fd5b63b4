// Package membership decides which backend servers an entry may give new work
// to, and which bounded subset of them it keeps in touch with.
//
// A Tracker is the deterministic core of an entry. It hears heartbeats, the
// frames of streams, what an agent says of its own leaving and the platform's
// lagging list, and tells which members are usable and which to poll. An
// Identity is the counterpart in an agent: it gives the agent a new
// incarnation when it finds that it was paused or is told that it was given
// up. Choose picks the subset.
//
// A Tracker polls a bounded number of idle members; those with streams are
// heard through their frames. What an entry sends therefore does not grow
// with the number of backend servers.
package membership
