// Package membership decides which backend servers an entry may send new work
// to, and which bounded subset of them the entry monitors.
//
// A Tracker is the deterministic core of an entry. Its inputs are heartbeats,
// stream frames, leave announcements of agents and the platform's host list,
// which lags. It reports which members are usable and which to poll.
// ChooseSubset selects the monitored subset.
//
// An Identity is the counterpart in an agent. It starts a new incarnation after
// a pause of the agent, or when an entry has declared the old one ended.
//
// A Tracker polls a bounded number of idle members. Frames show the liveness of
// members with streams. The traffic of an entry therefore does not grow with
// the number of backend servers.
package membership
