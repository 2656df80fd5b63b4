package routing

import (
	"cmp"
	"slices"
	"time"
)

// occupant is a request, or a copy of one, that occupies KV cache of a server.
type occupant struct {
	// prefix is the hash of the whole prompt. Requests with equal prompts occupy about the same, so any of them may be
	// removed for another.
	prefix uint64
	tokens float64
	// tokens is the KV cache that it occupies alone. work is Work.tokens of an own request, which tells requests without
	// prefixes apart.
	work float64
	// sentAt is when it was sent, and predicted the duration by the server's speed alone.
	sentAt    time.Time
	predicted time.Duration
	// endsAt is its predicted end. A peer's request counts until forgetAt, unless its end is announced.
	endsAt, forgetAt time.Time
}

// wholePrefix returns the hash of the whole prompt, or 0 if the request has no prefixes.
func wholePrefix(w *Work) uint64 {
	if n := len(w.Prefixes); n > 0 {
		return w.Prefixes[n-1].Hash
	}
	return 0
}

// occupancy is what occupies one server's KV cache, as far as this router knows: its own requests until they end, and
// the requests of its peers and their copies until their end is announced or is overdue. A load report corrects the
// number of the peers' requests.
type occupancy struct {
	own    []occupant
	peers  []occupant
	copies []occupant
	// sum is the tokens of all three lists. It is updated with each change, since many servers are looked at when none has
	// room. forgetAt is no later than the earliest forgetAt in peers and copies.
	sum      float64
	forgetAt time.Time
}

func (o *occupancy) addOwn(added occupant) {
	if len(o.own) < maxOccupants {
		o.own = append(o.own, added)
		o.sum += added.tokens
	}
}

// appendOfPeer adds an occupant of a peer to a list of the server.
func (o *occupancy) appendOfPeer(to []occupant, added occupant) []occupant {
	if len(to) >= maxOccupants {
		return to
	}
	if len(o.peers)+len(o.copies) == 0 || added.forgetAt.Before(o.forgetAt) {
		o.forgetAt = added.forgetAt
	}
	o.sum += added.tokens
	return append(to, added)
}

// removeOne removes the first matching occupant and returns it.
func (o *occupancy) removeOne(from []occupant, matches func(*occupant) bool) (rest []occupant, removed occupant, ok bool) {
	for i := range from {
		if matches(&from[i]) {
			removed = from[i]
			o.sum -= removed.tokens
			return slices.Delete(from, i, i+1), removed, true
		}
	}
	return from, occupant{}, false
}

func hasPrefix(prefix uint64) func(*occupant) bool {
	return func(o *occupant) bool { return o.prefix == prefix }
}

func (o *occupancy) addPeer(now time.Time, added occupant) {
	o.expire(now)
	o.peers = o.appendOfPeer(o.peers, added)
}

func (o *occupancy) addCopy(now time.Time, added occupant) {
	o.expire(now)
	o.copies = o.appendOfPeer(o.copies, added)
}

// expire removes the requests and copies of peers that are overdue.
func (o *occupancy) expire(now time.Time) {
	if len(o.peers)+len(o.copies) == 0 || now.Before(o.forgetAt) {
		return
	}
	overdue := func(p occupant) bool { return !p.forgetAt.After(now) }
	o.peers = slices.DeleteFunc(o.peers, overdue)
	o.copies = slices.DeleteFunc(o.copies, overdue)
	o.recount()
}

// recount computes sum and forgetAt from the lists.
func (o *occupancy) recount() {
	o.sum, o.forgetAt = 0, time.Time{}
	for i := range o.own {
		o.sum += o.own[i].tokens
	}
	for _, list := range [][]occupant{o.peers, o.copies} {
		for i := range list {
			o.sum += list[i].tokens
			if o.forgetAt.IsZero() || list[i].forgetAt.Before(o.forgetAt) {
				o.forgetAt = list[i].forgetAt
			}
		}
	}
}

// correct applies the number of requests of peers that a load report measured. Requests that were sent since are kept.
// Of those before, the ones that end first are removed if there are too many. If there are too few, requests of
// the given size are added, which replace lost messages.
func (o *occupancy) correct(now, measuredAt time.Time, others int, missing occupant) {
	o.expire(now)
	slices.SortFunc(o.peers, func(a, b occupant) int { return a.endsAt.Compare(b.endsAt) })
	before := 0
	for i := range o.peers {
		if !o.peers[i].sentAt.After(measuredAt) {
			before++
		}
	}
	for ; before < others && len(o.peers) < maxOccupants; before++ {
		o.peers = append(o.peers, missing)
	}
	o.peers = slices.DeleteFunc(o.peers, func(p occupant) bool {
		if before <= others || p.sentAt.After(measuredAt) {
			return false
		}
		before--
		return true
	})
	o.recount()
}

// used returns the occupied tokens.
func (o *occupancy) used(now time.Time) float64 {
	o.expire(now)
	return max(0, o.sum)
}

// isIdle reports whether no request is known to run on the server.
func (o *occupancy) isIdle() bool { return len(o.own)+len(o.peers) == 0 }

// remaining returns for how long an occupant is expected to stay. The remaining time
// of one that has run beyond its predicted end is estimated from the time that it has run.
func (o *occupant) remaining(now time.Time) time.Duration {
	if left := o.endsAt.Sub(now); left > 0 {
		return max(minRoomIn, left)
	}
	return max(minRoomIn, time.Duration(overdueRemainder*float64(now.Sub(o.sentAt))))
}

// freeIn returns the predicted time until at least the given tokens have become free, and false if all requests
// together occupy less.
func (o *occupancy) freeIn(now time.Time, tokens float64) (time.Duration, bool) {
	all := slices.Concat(o.own, o.peers, o.copies)
	slices.SortFunc(all, func(a, b occupant) int { return cmp.Compare(a.remaining(now), b.remaining(now)) })
	for i := range all {
		if tokens -= all[i].tokens; tokens <= 0 {
			return all[i].remaining(now), true
		}
	}
	return 0, false
}
