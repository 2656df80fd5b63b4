package serverlimit

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// burstTime is the time whose requests may come at once.
	burstTime = 500 * time.Millisecond
	// zeroRate is the rate in requests a second at which a server is asked whose limit is 0. Without any request
	// it could not say that the limit has ended.
	zeroRate = 0.1
	// minRetryAfter bounds the time after which a request may be granted, and noShareRetry is that time for a
	// coordinator without a share.
	minRetryAfter = 5 * time.Millisecond
	noShareRetry  = 2 * time.Second
	// bucketMemory is the time without a request after which a bucket is dropped.
	bucketMemory = time.Minute
)

// Grant answers an entry that asks to send a request to a server.
type Grant struct {
	Granted bool
	// RetryAfter is the time after which a request to the server may be granted, if this one was not.
	RetryAfter time.Duration
}

// Coordinator grants single requests to the servers of one service that name limits, from the shares that entries have
// delegated to it.
type Coordinator struct {
	members   *Members
	delegator *Delegator
	// stampBase distinguishes the stamps of this process from those of an earlier one, and since is when the
	// coordinator began.
	stampBase int64
	since     time.Time
	renewals  map[Entry]heldShare
	// strongAt is when the coordinator last had contact with half of the entries.
	strongAt time.Time
	buckets  map[wigeonfork.BackendServerID]*bucket
}

// heldShare is the last renewal of an entry, which counts until its lease expires.
type heldShare struct {
	until     time.Time
	member    bool
	sum, live uint64
}

// bucket holds the requests that may be sent to one server.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// NewCoordinator returns the coordinator of an entry for the service whose share the entry delegates by delegator.
// stampBase is random.
func NewCoordinator(now time.Time, members *Members, delegator *Delegator, stampBase int64) *Coordinator {
	return &Coordinator{
		members: members, delegator: delegator, stampBase: stampBase, since: now,
		renewals: make(map[Entry]heldShare), buckets: make(map[wigeonfork.BackendServerID]*bucket),
	}
}

// Renew applies the renewal of another entry.
func (c *Coordinator) Renew(now time.Time, from Entry, v Renewal) RenewalAnswer {
	isUnconfirmed := c.members.isUnconfirmed(from)
	isNew := v.Member && c.members.complete && isUnconfirmed
	c.members.Heard(now, from)
	if v.Unconfirmed && c.members.complete {
		c.members.member = false
	}
	if until := c.stampedAt(v.Stamp).Add(shareLease); now.Before(until) && !until.After(now.Add(shareLease)) {
		c.renewals[from] = heldShare{until: until, member: v.Member && !isUnconfirmed, sum: v.Sum, live: v.Live}
	}
	a := RenewalAnswer{Stamp: c.stamp(now), New: isNew, Sum: c.members.Sum(), Agreed: c.isAgreed(now), Live: c.members.LiveSum(now)}
	c.update(now)
	if a.Drop = c.agreesOnSilent(now, a.Live); a.Drop {
		c.members.markSilent(now)
	}
	return a
}

// MayDrop returns the silent entries to which no other delegates its share any more. Their registrations are to be
// removed, and then Dropped to be called.
func (c *Coordinator) MayDrop(now time.Time) []Entry {
	c.update(now)
	if 2*c.reached(now) <= c.members.Size() || !c.allRenewedAlike(now) {
		return nil
	}
	return c.members.dropping()
}

// Dropped drops entries whose registrations were removed, if that is still agreed.
func (c *Coordinator) Dropped(now time.Time, entries []Entry) {
	if c.MayDrop(now) != nil {
		c.members.drop(entries)
	}
}

// CheckAgreement makes this entry a member if all known entries know the same ones. It returns whether it was none,
// which must be kept beyond its life. An entry calls it at each RenewalInterval.
func (c *Coordinator) CheckAgreement(now time.Time) (becameMember bool) {
	return c.isAgreed(now) && c.members.agreed()
}

func (c *Coordinator) stamp(now time.Time) int64 { return c.stampBase + int64(now.Sub(c.since)) + 1 }

// stampedAt returns when a stamp was made. Stamps of another process are far in the past or the future.
func (c *Coordinator) stampedAt(stamp int64) time.Time {
	return c.since.Add(time.Duration(stamp - c.stampBase - 1))
}

// update drops the leases that have expired, and records whether the coordinator has contact with half of the entries.
func (c *Coordinator) update(now time.Time) {
	for e, v := range c.renewals {
		if !now.Before(v.until) {
			delete(c.renewals, e)
		}
	}
	if 2*c.reached(now) >= c.members.Size() {
		c.strongAt = now
	}
}

// agreesOnSilent reports whether most entries have sent a renewal and have heard the same entries, those of live. An
// entry that none of them has heard has had no contact with half of the entries for as long.
func (c *Coordinator) agreesOnSilent(now time.Time, live uint64) bool {
	for _, v := range c.renewals {
		if v.member && v.live != live {
			return false
		}
	}
	return 2*c.reached(now) > c.members.Size()
}

// reached returns the number of entries whose shares the coordinator holds.
func (c *Coordinator) reached(now time.Time) int {
	n := 0
	if c.delegator.usesOwnShare(now) {
		n++
	}
	for _, v := range c.renewals {
		if v.member && now.Before(v.until) {
			n++
		}
	}
	return n
}

// isAgreed reports whether all known entries have sent a renewal and know the same entries.
func (c *Coordinator) isAgreed(now time.Time) bool {
	return c.delegator.coordinator == c.members.self && c.members.complete && c.allRenewedAlike(now)
}

// allRenewedAlike reports whether all known entries that are not being dropped have sent a renewal and know the same
// entries.
func (c *Coordinator) allRenewedAlike(now time.Time) bool {
	sum := c.members.Sum()
	for e, other := range c.members.others {
		if other.dropping {
			continue
		}
		v, renewed := c.renewals[e]
		if !renewed || !now.Before(v.until) || v.sum != sum {
			return false
		}
	}
	return true
}

// Fraction returns the part of each limit that the coordinator may grant: that of the entries whose shares it holds. It
// is 0 once it has had no contact with half of the entries for long, since the others may then divide its part.
func (c *Coordinator) Fraction(now time.Time) float64 {
	c.update(now)
	if now.Sub(c.strongAt) > weakAfter {
		return 0
	}
	return float64(c.reached(now)) / float64(c.members.Size())
}

// Ask decides on one request to a server with a limit of rate requests a second.
func (c *Coordinator) Ask(now time.Time, server wigeonfork.BackendServerID, rate float64) Grant {
	rate = max(rate, zeroRate) * c.Fraction(now)
	b := c.bucket(now, server)
	b.fill(now, rate)
	if rate > 0 && b.tokens >= 1 {
		b.tokens--
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: b.wait(rate)}
}

// bucket returns the bucket of a server, which it creates empty if necessary.
func (c *Coordinator) bucket(now time.Time, server wigeonfork.BackendServerID) *bucket {
	if b := c.buckets[server]; b != nil {
		return b
	}
	for other, b := range c.buckets {
		if now.Sub(b.filledAt) > bucketMemory {
			delete(c.buckets, other)
		}
	}
	c.buckets[server] = &bucket{filledAt: now}
	return c.buckets[server]
}

// fill adds the requests of the time since the last call.
func (b *bucket) fill(now time.Time, rate float64) {
	burst := max(1, rate*burstTime.Seconds())
	b.tokens = min(burst, b.tokens+rate*max(0, now.Sub(b.filledAt).Seconds()))
	b.filledAt = now
}

// wait returns the time after which a request may be granted.
func (b *bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return noShareRetry
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return max(wait, minRetryAfter)
}
