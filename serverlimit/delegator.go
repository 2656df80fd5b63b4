package serverlimit

import (
	"slices"
	"time"
)

const (
	// RenewalInterval is the time between two renewals of a share's lease.
	RenewalInterval = time.Second
	// shareLease is the time for which a share is delegated, from the stamp that the renewal carries.
	shareLease = 3 * time.Second
	// unansweredLimit is the time without an answer after which a coordinator is taken to be gone, and
	// coordinatorPenalty the time for which it is then not chosen.
	unansweredLimit    = 3 * time.Second
	coordinatorPenalty = 10 * time.Second
)

// Renewal renews the lease by which an entry delegates its share to the coordinator that receives it.
type Renewal struct {
	// Stamp is that of the coordinator's last answer, or 0 in a first renewal, which delegates nothing yet.
	Stamp int64
	// Member is set if the sender has a share to delegate, and Unconfirmed if it does not count the coordinator
	// among the members.
	Member, Unconfirmed bool
	// Sum identifies the entries that the sender knows, and Live those of them that it has heard.
	Sum, Live uint64
}

// RenewalAnswer answers a Renewal.
type RenewalAnswer struct {
	// Stamp is to be returned in the next renewal. It shows that that renewal was sent after this answer.
	Stamp int64
	// New is set if the coordinator did not count the sender of the renewal among the members, so that it has no
	// share.
	New bool
	// Agreed is set if all entries that the coordinator knows have sent a renewal and know the same entries, those
	// of Sum. All of them have a share then.
	Agreed bool
	Sum    uint64
	// Drop is set if most entries have sent a renewal and have heard the same entries, those of Live. The others
	// are to be dropped.
	Drop bool
	Live uint64
}

// Delegator decides to which coordinator an entry delegates its share of the limits of one service, so that only one
// at a time holds it.
type Delegator struct {
	members     *Members
	coordinator Entry
	// boundUntil is when the lease of a share that was delegated has certainly expired.
	boundUntil time.Time
	stamp      int64
	// renewedAt is when the last renewal was sent, and silentSince when the first one without an answer was.
	renewedAt, silentSince time.Time
	penalties              map[Entry]time.Time
}

// NewDelegator returns the Delegator of an entry. An earlier process of the entry may have delegated its share until it
// ended.
func NewDelegator(members *Members) *Delegator {
	return &Delegator{members: members, boundUntil: members.startedAt.Add(shareLease), penalties: make(map[Entry]time.Time)}
}

// Coordinator returns the coordinator that grants this entry's requests. owners are the live entries that may be it, in
// the order of preference on which all agree.
func (d *Delegator) Coordinator(now time.Time, owners []Entry) Entry {
	next := d.preferred(now, owners)
	if next != d.coordinator {
		d.coordinator, d.stamp, d.renewedAt, d.silentSince = next, 0, time.Time{}, time.Time{}
	}
	return d.coordinator
}

// preferred returns the first owner that is not taken to be gone, or this entry itself.
func (d *Delegator) preferred(now time.Time, owners []Entry) Entry {
	if !d.silentSince.IsZero() && now.Sub(d.silentSince) >= unansweredLimit {
		d.penalties[d.coordinator] = now.Add(coordinatorPenalty)
	}
	i := slices.IndexFunc(owners, func(e Entry) bool { return !now.Before(d.penalties[e]) })
	if i < 0 {
		return d.members.self
	}
	return owners[i]
}

// Next returns the renewal to send to the coordinator now, or false if none is due. An entry that is its own
// coordinator sends none.
func (d *Delegator) Next(now time.Time) (Renewal, bool) {
	if d.coordinator == d.members.self || !d.renewedAt.IsZero() && now.Sub(d.renewedAt) < RenewalInterval {
		return Renewal{}, false
	}
	d.renewedAt = now
	if d.silentSince.IsZero() {
		d.silentSince = now
	}
	unconfirmed := d.members.isUnconfirmed(d.coordinator)
	return Renewal{
		Stamp: d.stamp, Member: d.members.IsMember() && !unconfirmed, Unconfirmed: d.members.complete && unconfirmed,
		Sum: d.members.Sum(), Live: d.members.LiveSum(now),
	}, true
}

// Answered applies the answer of a coordinator. It returns whether this entry has become a member, which must be kept
// beyond its life.
func (d *Delegator) Answered(now time.Time, from Entry, a RenewalAnswer) (becameMember bool) {
	d.members.Heard(now, from)
	if from != d.coordinator {
		return false
	}
	d.silentSince = time.Time{}
	if a.Drop && a.Live == d.members.LiveSum(now) {
		d.members.markSilent(now)
	}
	if a.New {
		d.members.member = false
	}
	if a.Agreed && a.Sum == d.members.Sum() {
		becameMember = d.members.agreed()
	}
	if d.stamp != 0 || !now.Before(d.boundUntil) {
		// The share is delegated to nobody else.
		d.stamp, d.boundUntil = a.Stamp, now.Add(shareLease)
	}
	return becameMember
}

// usesOwnShare reports whether this entry's share is delegated to no other, so that it may use it as its own
// coordinator.
func (d *Delegator) usesOwnShare(now time.Time) bool {
	return d.coordinator == d.members.self && d.members.IsMember() && !now.Before(d.boundUntil)
}
