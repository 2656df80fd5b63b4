// Package retry bounds how much work repeated attempts may cause.
//
// Budgets lets retries and hedges grow only with successes, per caller, per
// workspace and over all, so that a loss of backend servers is not followed by
// a storm. Joiner recognises a caller's resend of a request that is still under
// way, so that it is joined and not run beside. Ramp limits the rate of work
// after an outage. Backoff spreads the attempts of many processes.
//
// All are deterministic decision types: the time and the seed are arguments.
// They hold no goroutine, clock or socket and are not safe for concurrent use.
package retry
