// Package policy measures the decisions on routing, admission, recovery and
// quarantine against baselines.
//
// It feeds seeded events in virtual time to the decision types, which are called
// as the daemons call them. The events come from a queueing model of engines with
// continuous batching. No processes run and no network is used.
package policy
