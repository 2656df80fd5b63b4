package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/drain"
	"github.com/wigeonfork/wigeonfork/freshness"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/routetable"
)

const (
	// idleWait is the time without requests after which a leaving gateway ends.
	idleWait = 500 * time.Millisecond
	// drainInterval is the time between two checks for requests in progress.
	drainInterval = 50 * time.Millisecond
	// answerWait bounds the time in which the last plain requests are answered.
	answerWait = 100 * time.Millisecond
	// drainRetry is the retry delay at a leaving entry. The load balancer sends the
	// retry to another one.
	drainRetry = 60 * time.Millisecond
)

// errLeaving means that the gateway's end could interrupt a request.
var errLeaving = errors.New("the gateway is leaving")

// Drain reports the gateway as not ready and returns once all requests have ended, or
// shortly before the grace period does. A request that still arrives is served if it
// can be finished, as drain.Policy decides.
func (g *Gateway) Drain() {
	g.stopping.Store(int64(bootClock()))
	g.options.Log.Info().Int64("requests", g.active.Load()).Msg("drain_started")
	g.awaitIdle()
	g.refusing.Store(true)
	for g.active.Load() > 0 && g.drainLeft() > 0 {
		time.Sleep(drainInterval)
	}
	since, _ := g.leaving()
	g.options.Log.Info().Int64("requests", g.active.Load()).Int64("after_ms", since.Milliseconds()).Msg("drain_ended")
	g.answerPending()
}

// answerPending lets the plain requests that are still in progress be answered that their outcome is unknown. The end
// of the process would cut their connections without a word.
func (g *Gateway) answerPending() {
	g.answerNow()
	for end := time.Now().Add(answerWait); g.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(answerWait / 10)
	}
}

// drainPolicy returns the policy under the present grace period, which may change during a
// drain.
func (g *Gateway) drainPolicy() drain.Policy {
	return drain.Policy{GracePeriod: g.bounds.Load().GracePeriod}
}

// drainLeft returns the time until a leaving gateway ends.
func (g *Gateway) drainLeft() time.Duration {
	since, _ := g.leaving()
	return g.drainPolicy().Left(since)
}

// leaving reports whether the gateway was asked to stop, and how long ago.
func (g *Gateway) leaving() (time.Duration, bool) {
	at := g.stopping.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(bootClock() - freshness.Instant(at)), true
}

// awaitIdle returns once the load balancer has had time to stop sending callers and
// no request has been in progress for idleWait, or when all new requests are to be refused.
func (g *Gateway) awaitIdle() {
	idleSince := time.Duration(0)
	for {
		since, _ := g.leaving()
		if g.drainPolicy().RefusesAll(since) {
			return
		}
		if g.active.Load() > 0 {
			idleSince = since
		}
		if g.drainPolicy().BalancerKnows(since) && since-idleSince >= idleWait {
			return
		}
		time.Sleep(drainInterval)
	}
}

// draining returns the refusal of a request that the gateway's end could interrupt.
func (c *call) draining() *problem.Error {
	return problem.New(problem.CodeDraining, problem.RunNot, problem.StepAccept, "entry is leaving").After(c.jitter(drainRetry))
}

// stopsBefore reports whether a leaving gateway may end before the answer does. Its caller
// is better served by another entry. expected is the expected time until the answer is
// complete, or 0 before a server is chosen.
func (c *call) stopsBefore(expected time.Duration) bool {
	since, leaving := c.leaving()
	if !leaving {
		return false
	}
	request := drain.Request{Stream: c.route.Kind == routetable.KindStream, Expected: expected}
	if !c.deadline.IsZero() {
		request.Limit = max(time.Millisecond, time.Until(c.deadline))
	}
	return !c.drainPolicy().Accepts(since, request)
}
