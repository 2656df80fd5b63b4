// Package retry bounds the load that retries cause.
//
// Budgets limits retries and hedges in proportion to successes, per caller, per
// workspace and overall, so that a loss of backend servers does not cause a
// retry storm. SharedBudget is a retry budget of several processes. Backoff
// spreads the attempts of many processes.
//
// All are deterministic decision types: the time and the seed are arguments.
// They hold no goroutine, clock or socket and are not safe for concurrent use.
package retry
