package retry

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Key identifies resends of a request. If the caller gave an idempotency key, the
// fingerprint is ignored.
type Key struct {
	Workspace   wigeonfork.Workspace
	Caller      string
	Idempotency string
	Fingerprint [16]byte
}

// JoinDecision is the decision on a request that may be a resend.
type JoinDecision struct {
	// Leader is the request whose answer is used. It is the offered request itself
	// unless Resend is set.
	Leader wigeonfork.RequestID
	Resend bool
}

type inFlight struct {
	leader    wigeonfork.RequestID
	startedAt time.Time
}

// Joiner tracks the requests in flight, so that a resend joins the first request
// and does not run in parallel.
type Joiner struct {
	requests   map[Key]inFlight
	keys       map[wigeonfork.RequestID]Key
	timeout    time.Duration
	limit      int
	lastExpiry time.Time
}

// expireInterval is the minimum time between two scans for expired requests.
const expireInterval = time.Second

// NewJoiner returns a Joiner for at most limit requests. A request that does not
// end within timeout expires.
func NewJoiner(limit int, timeout time.Duration) *Joiner {
	return &Joiner{
		requests: make(map[Key]inFlight), keys: make(map[wigeonfork.RequestID]Key),
		timeout: timeout, limit: limit,
	}
}

// Offer decides whether a request leads or joins one in flight. At the limit a
// new request leads but is not tracked, so that its resends do not join it.
func (j *Joiner) Offer(now time.Time, key Key, id wigeonfork.RequestID) JoinDecision {
	if key.Fingerprint != [16]byte{} && key.Idempotency != "" {
		key.Fingerprint = [16]byte{}
	}
	if f, ok := j.requests[key]; ok && now.Sub(f.startedAt) < j.timeout {
		return JoinDecision{Leader: f.leader, Resend: f.leader != id}
	}
	j.drop(key)
	if len(j.requests) < j.limit || j.expire(now) {
		j.requests[key] = inFlight{leader: id, startedAt: now}
		j.keys[id] = key
	}
	return JoinDecision{Leader: id}
}

func (j *Joiner) drop(key Key) {
	if f, ok := j.requests[key]; ok {
		delete(j.keys, f.leader)
		delete(j.requests, key)
	}
}

// expire drops expired requests and reports whether there is capacity for one
// more. It reports false if the last scan was less than expireInterval ago.
func (j *Joiner) expire(now time.Time) bool {
	if now.Sub(j.lastExpiry) < expireInterval {
		return false
	}
	j.lastExpiry = now
	for key, f := range j.requests {
		if now.Sub(f.startedAt) >= j.timeout {
			j.drop(key)
		}
	}
	return len(j.requests) < j.limit
}

// Finished ends a leading request, so that the next resend leads. It has no
// effect for a request that joined another.
func (j *Joiner) Finished(id wigeonfork.RequestID) {
	if key, ok := j.keys[id]; ok {
		j.drop(key)
	}
}

// Len returns the number of tracked requests in flight.
func (j *Joiner) Len() int { return len(j.requests) }
