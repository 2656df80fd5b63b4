// Package quarantine finds requests that crash the engines that run them.
//
// All requests of a continuous batch fail when the engine crashes, so each of them becomes a
// suspect. Suspects resume on different servers, so that the next death has few of them in common.
// A suspect is quarantined once its deaths cannot be explained by the ordinary death rate of
// engines. Each death after the first is weighed by the probability that an ordinary death would
// have come so soon after the run began. A request that completes is cleared.
//
// Detector is a deterministic decision core: the time and the events are arguments, and it
// contains no goroutine, clock or socket. It is not safe for concurrent use. Detectors exchange
// their state with Delta and Merge. Merging is idempotent and does not depend on the order of
// messages.
//
// Limiter is a second decision core with the same properties, for entries that know only the runs
// of their own requests and not which others were resident when a server was lost. It quarantines a
// request after a fixed number of crashes and dismisses those that other losses explain.
//
// PartLimiter is a third one with the same properties, for parts of prompts that crash each server
// which begins an answer on them, whatever else the request holds.
package quarantine
