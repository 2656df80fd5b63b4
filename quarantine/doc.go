// Package quarantine finds requests that crash the engines which run them.
//
// A continuous batch dies together, so every request that was running is a
// suspect. Suspects are spread over different servers when they resume, so that
// the next death is common to few of them. A suspect is quarantined once its
// deaths cannot be put down to the rate at which engines die anyway: each death
// after the first is weighed by the probability that an ordinary death would
// have come so soon after the run began. A request that completes is cleared.
//
// Detector is a deterministic decision type: the time and the events are
// arguments, and it holds no goroutine, clock or socket. It is not safe for
// concurrent use. Detectors exchange what they know through Delta and Merge;
// merging is idempotent and does not depend on the order.
package quarantine
