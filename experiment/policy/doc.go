// Package policy measures the decisions on routing, admission, recovery and
// quarantine against baselines.
//
// A seeded stream of events in virtual time is fed to the decision types as
// the daemons use them. The events come from a queueing model of engines that
// batch continuously; there are no hosts and no network in it.
package policy
