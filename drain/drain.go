// Package drain decides which requests a process still takes after it was asked to stop. Its end would break off
// those that it can't finish.
package drain

import "time"

const (
	// stopMargin is the part of the grace period reserved for ending the process.
	stopMargin = 400 * time.Millisecond
	// balancerWait is the time within which the load balancer stops sending new callers. Until then a refused
	// caller may come back to the same process.
	balancerWait = 3 * time.Second
	// streamCutoff is the time after which no stream is taken on its expected duration alone, since that is often
	// far from the true one.
	streamCutoff = 2500 * time.Millisecond
	// refusalPeriod is the time before the end in which all new requests are refused, so that the refused callers have
	// left by then.
	refusalPeriod = 1100 * time.Millisecond
	// plainFactor is how much longer than expected a plain request may take.
	plainFactor = 4
)

// Request is what is known of a request before it is taken.
type Request struct {
	Stream bool
	// Expected is the expected time until the answer is complete.
	Expected time.Duration
	// Limit is the time after which the request is answered in any case, since its caller or its route
	// waits no longer; 0 if there is none.
	Limit time.Duration
}

// Policy decides for a process with a grace period, after which it is killed. It is a value without clock: since
// is the time since the request to stop, by a clock that neither is set nor stands still while the host is
// suspended.
//
// Invariant: in the last refusalPeriod no request is accepted. From streamCutoff on, a stream is accepted only if its
// limit ends before the process does, and from balancerWait on every request: by then a refused caller comes to another
// process, and nothing makes up for a request that takes longer than expected and is cut. Before, a plain request is
// accepted if several times its expected duration ends in time.
type Policy struct{ GracePeriod time.Duration }

// Left returns the time until the process ends by itself.
func (p Policy) Left(since time.Duration) time.Duration { return p.GracePeriod - stopMargin - since }

// Accepts reports whether a request is taken.
func (p Policy) Accepts(since time.Duration, r Request) bool {
	left := p.Left(since)
	switch {
	case left <= refusalPeriod:
		return false
	case r.Limit > 0 && r.Limit <= left:
		return true
	case r.Stream:
		return since <= streamCutoff && r.Expected <= left
	default:
		return !p.BalancerKnows(since) && plainFactor*r.Expected <= left
	}
}

// RefusesAll reports whether no request is accepted any more.
func (p Policy) RefusesAll(since time.Duration) bool { return p.Left(since) <= refusalPeriod }

// BalancerKnows reports whether the load balancer has had the time to send no more callers, so that the process may
// end as soon as it is idle.
func (p Policy) BalancerKnows(since time.Duration) bool { return since >= balancerWait }
