package retry

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Key recognises a resend: by the caller's idempotency key where there is one,
// else by the fingerprint of what is asked.
type Key struct {
	Workspace   wigeonfork.Workspace
	Caller      string
	Idempotency string
	Fingerprint [16]byte
}

// Joined is the decision on a request that may be a resend.
type Joined struct {
	// Leader is the request whose answer is given; it is the offered request
	// itself unless Resend is set.
	Leader wigeonfork.RequestID
	Resend bool
}

type flight struct {
	leader wigeonfork.RequestID
	began  time.Time
}

// Joiner knows the requests under way, so that a resend is joined to the first
// one and not run beside it.
type Joiner struct {
	flights map[Key]flight
	keys    map[wigeonfork.RequestID]Key
	lapse   time.Duration
	limit   int
	expired time.Time
}

// expireInterval bounds how often lapsed requests are searched for.
const expireInterval = time.Second

// NewJoiner returns a Joiner for at most limit requests. A request whose end
// is not reported within lapse is forgotten.
func NewJoiner(limit int, lapse time.Duration) *Joiner {
	return &Joiner{
		flights: make(map[Key]flight), keys: make(map[wigeonfork.RequestID]Key),
		lapse: lapse, limit: limit,
	}
}

// Offer tells whether a request leads or joins one under way. At the limit a
// new request leads without being remembered.
func (j *Joiner) Offer(now time.Time, key Key, id wigeonfork.RequestID) Joined {
	if key.Fingerprint != [16]byte{} && key.Idempotency != "" {
		key.Fingerprint = [16]byte{}
	}
	if f, ok := j.flights[key]; ok && now.Sub(f.began) < j.lapse {
		return Joined{Leader: f.leader, Resend: f.leader != id}
	}
	j.drop(key)
	if len(j.flights) < j.limit || j.expire(now) {
		j.flights[key] = flight{leader: id, began: now}
		j.keys[id] = key
	}
	return Joined{Leader: id}
}

func (j *Joiner) drop(key Key) {
	if f, ok := j.flights[key]; ok {
		delete(j.keys, f.leader)
		delete(j.flights, key)
	}
}

// expire drops what has lapsed and tells whether there is room.
func (j *Joiner) expire(now time.Time) bool {
	if now.Sub(j.expired) < expireInterval {
		return false
	}
	j.expired = now
	for key, f := range j.flights {
		if now.Sub(f.began) >= j.lapse {
			j.drop(key)
		}
	}
	return len(j.flights) < j.limit
}

// Finished ends the request that leads; later resends lead again.
func (j *Joiner) Finished(id wigeonfork.RequestID) {
	if key, ok := j.keys[id]; ok {
		j.drop(key)
	}
}

// Len returns the number of requests under way.
func (j *Joiner) Len() int { return len(j.flights) }
