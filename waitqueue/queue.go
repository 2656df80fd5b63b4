// Package waitqueue decides which of the requests that found no room at a backend server goes next, and which of them
// are refused since they would wait too long. A Queue has no clock and does no I/O. It is not safe for concurrent use.
//
// The order:
//   - A more urgent rank goes before a less urgent one, except that every lowerRankTurn-th turn goes to a less urgent rank
//     while one waits. These turns go round the less urgent ranks, so that none of them starves.
//   - Within a rank, resumed requests go first. Of the others the workspaces take turns, within a workspace its callers,
//     and the requests of a caller go in the order in which they came.
//
// The refusals: a request whose predicted wait exceeds the wait that it allows is refused when it comes, or later if more
// urgent ones came meanwhile. If the queue is full, a newcomer takes the place of the newest request of the least
// urgent rank.
package waitqueue

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	// DefaultCapacity bounds the requests that wait at once.
	DefaultCapacity = 512
	// lowerRankTurn is the number of turns of which one goes to a less urgent rank.
	lowerRankTurn = 4
	// turnLearning is the weight of the last turn in the mean time between two turns.
	turnLearning = 0.25
	// maxFirstTurn bounds the expected time between turns while none was measured within turnValidity. Requests that arrive
	// together must not be refused before the time between turns is known.
	maxFirstTurn = 100 * time.Millisecond
	turnValidity = 10 * time.Second
	// waitTolerance is the factor by which the predicted wait of a waiting request may exceed the wait that it allows.
	// A prediction that changes from turn to turn must not refuse it.
	waitTolerance = 1.5
)

// Request describes a request that waits.
type Request struct {
	Rank wigeonfork.Rank
	// Workspace and Caller share the turns of the rank.
	Workspace wigeonfork.Workspace
	Caller    string
	// Resume is set if the request has run and was lost.
	Resume bool
	// StartBy is the time by which the request must be admitted; zero means none.
	StartBy time.Time
}

// Ticket is the place of one waiting request.
type Ticket struct {
	Request
	joinedAt time.Time
	order    uint64
}

// JoinedAt returns when the request began to wait.
func (t *Ticket) JoinedAt() time.Time { return t.joinedAt }

// TooLongError is the error of a request that would wait too long.
type TooLongError struct {
	// Wait is the predicted wait.
	Wait time.Duration
	// RetryIn is the predicted time until such a request would wait no longer than it allows.
	RetryIn time.Duration
}

// Error implements error.
func (e *TooLongError) Error() string {
	return "the request would wait for a backend server with room for about " + e.Wait.Round(time.Millisecond).String()
}

// Queue holds the requests of one service that wait for room.
type Queue struct {
	capacity int
	ranks    map[wigeonfork.Rank]*rankQueue
	size     int
	joined   uint64
	// turns counts the turns taken. meanTurn is the mean time between two of them, 0 if unknown.
	turns      uint64
	meanTurn   time.Duration
	lastTurnAt time.Time
	// lastTurns holds the number of the last turn that a waiting request of each rank took. It is kept while none of the
	// rank waits.
	lastTurns map[wigeonfork.Rank]uint64
	// urgentTurns counts the turns in a row of the most urgent rank while others waited.
	urgentTurns int
}

// New returns an empty queue of at most capacity requests.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, ranks: make(map[wigeonfork.Rank]*rankQueue), lastTurns: make(map[wigeonfork.Rank]uint64)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(rank wigeonfork.Rank) int {
	if r := q.ranks[rank]; r != nil {
		return r.size
	}
	return 0
}

// MostUrgent returns the most urgent rank that waits, or 0 if none waits.
func (q *Queue) MostUrgent() wigeonfork.Rank {
	if ranks := q.sortedRanks(); len(ranks) > 0 {
		return ranks[0]
	}
	return 0
}

// MustWait reports whether a request of the given rank must join the queue without looking for room, since others of its
// rank or a more urgent one wait, or it is the turn of a less urgent one.
func (q *Queue) MustWait(rank wigeonfork.Rank) bool {
	if q.size > 0 && q.isLowerTurn() {
		return true
	}
	for other := range q.ranks {
		if other <= rank {
			return true
		}
	}
	return false
}

// Join adds a request. roomIn is the predicted time until the next turn. It returns a *TooLongError if the request would
// wait too long. evicted is a request that lost its place to this one, or nil.
func (q *Queue) Join(now time.Time, request Request, roomIn time.Duration) (ticket, evicted *Ticket, err error) {
	wait := q.PredictWait(now, request, roomIn)
	if !request.StartBy.IsZero() && now.Add(wait).After(request.StartBy) {
		return nil, nil, &TooLongError{Wait: wait, RetryIn: max(roomIn, now.Add(wait).Sub(request.StartBy))}
	}
	if q.size >= q.capacity {
		if evicted = q.leastUrgent(request.Rank); evicted == nil {
			return nil, nil, &TooLongError{Wait: wait, RetryIn: wait}
		}
		q.Leave(evicted)
	}
	if q.size == 0 {
		q.forgetTurns(now)
		q.lastTurnAt = now
	}
	q.joined++
	ticket = &Ticket{Request: request, joinedAt: now, order: q.joined}
	r := q.ranks[request.Rank]
	if r == nil {
		r = &rankQueue{}
		q.ranks[request.Rank] = r
	}
	r.add(ticket)
	q.size++
	return ticket, evicted, nil
}

// leastUrgent returns the newest request of the least urgent rank, or nil if that is not less urgent than the given one.
func (q *Queue) leastUrgent(than wigeonfork.Rank) *Ticket {
	ranks := q.sortedRanks()
	if len(ranks) == 0 || ranks[len(ranks)-1] <= than {
		return nil
	}
	return q.ranks[ranks[len(ranks)-1]].newestFirst()[0]
}

// Leave removes a request that has not got its turn. It does nothing if the request has left already.
func (q *Queue) Leave(t *Ticket) {
	r := q.ranks[t.Rank]
	if r == nil || !r.remove(t) {
		return
	}
	q.size--
	if r.size == 0 {
		delete(q.ranks, t.Rank)
	}
}

// Next returns the request that goes next, or nil if none waits. It stays the same until Admit, Join or Leave.
func (q *Queue) Next() *Ticket {
	ranks := q.sortedRanks()
	if len(ranks) == 0 {
		return nil
	}
	if len(ranks) > 1 && q.isLowerTurn() {
		return q.ranks[q.leastRecent(ranks[1:])].next()
	}
	return q.ranks[ranks[0]].next()
}

// isLowerTurn reports whether the next turn goes to a less urgent rank, if one waits.
func (q *Queue) isLowerTurn() bool { return q.urgentTurns >= lowerRankTurn-1 }

// AdmittedDirectly records that a request that did not wait found room, which is a turn if others wait.
func (q *Queue) AdmittedDirectly(now time.Time, rank wigeonfork.Rank) {
	if q.size > 0 {
		q.countTurn(now, rank)
		q.lastTurns[rank] = q.turns
	}
}

// leastRecent returns the rank whose last turn is longest ago; among those that had none the most urgent.
func (q *Queue) leastRecent(ranks []wigeonfork.Rank) wigeonfork.Rank {
	best := ranks[0]
	for _, rank := range ranks[1:] {
		if q.lastTurns[rank] < q.lastTurns[best] {
			best = rank
		}
	}
	return best
}

// Admit removes a request that has found room, which is its turn.
func (q *Queue) Admit(now time.Time, t *Ticket) {
	r := q.ranks[t.Rank]
	if r == nil {
		return
	}
	q.countTurn(now, t.Rank)
	q.lastTurns[t.Rank] = q.turns
	r.served(t)
	q.Leave(t)
}

// countTurn counts a turn of a rank and learns the time since the last one.
func (q *Queue) countTurn(now time.Time, rank wigeonfork.Rank) {
	ranks := q.sortedRanks()
	if rank <= ranks[0] && ranks[len(ranks)-1] > rank {
		q.urgentTurns++
	} else {
		q.urgentTurns = 0
	}
	passed := now.Sub(q.lastTurnAt)
	if q.meanTurn == 0 {
		q.meanTurn = passed
	}
	q.meanTurn += time.Duration(turnLearning * float64(passed-q.meanTurn))
	q.turns++
	q.lastTurnAt = now
}

// PredictWait returns the predicted wait of a request that joins now. roomIn is the predicted time until the next turn.
func (q *Queue) PredictWait(now time.Time, request Request, roomIn time.Duration) time.Duration {
	ahead := 0
	if r := q.ranks[request.Rank]; r != nil {
		ahead = r.aheadOfNew(&request)
	}
	return q.waitAfter(now, request.Rank, ahead, roomIn)
}

// waitAfter returns the predicted wait of a request with the given number of others of its rank ahead.
func (q *Queue) waitAfter(now time.Time, rank wigeonfork.Rank, ahead int, roomIn time.Duration) time.Duration {
	return roomIn + time.Duration(q.turnsBefore(rank, ahead))*q.turnTime(now, roomIn)
}

// turnsBefore returns the number of turns that others get before a request with the given number of others of its rank
// ahead. The less urgent ranks share one turn in lowerRankTurn.
func (q *Queue) turnsBefore(rank wigeonfork.Rank, ahead int) int {
	moreUrgent, ranksBefore, lessUrgent := 0, 0, 0
	for other, r := range q.ranks {
		switch {
		case other < rank:
			moreUrgent += r.size
			ranksBefore++
		case other > rank:
			lessUrgent++
		}
	}
	if ranksBefore == 0 {
		turns := ahead
		if lessUrgent > 0 {
			turns += ahead / (lowerRankTurn - 1)
		}
		return turns
	}
	// The most urgent rank shares no turns with the others.
	sharing := ranksBefore + lessUrgent
	return min(moreUrgent+ahead, lowerRankTurn*sharing*(ahead+1)-1)
}

// forgetTurns forgets the time between turns if the last one is too long ago.
func (q *Queue) forgetTurns(now time.Time) {
	if now.Sub(q.lastTurnAt) >= turnValidity {
		q.meanTurn = 0
	}
}

// turnTime returns the expected time between two turns: before the first turn roomIn, up to maxFirstTurn. It is at
// least the time since the last turn while requests wait.
func (q *Queue) turnTime(now time.Time, roomIn time.Duration) time.Duration {
	if q.size == 0 {
		return q.meanTurn
	}
	turn := q.meanTurn
	if turn == 0 {
		turn = min(roomIn, maxFirstTurn)
	}
	return max(turn, now.Sub(q.lastTurnAt))
}

// Refuse removes the requests that would wait too long and returns them, the least urgent first. roomIn is the predicted
// time until the next turn.
func (q *Queue) Refuse(now time.Time, roomIn time.Duration) []*Ticket {
	var refused []*Ticket
	ranks := q.sortedRanks()
	for i := len(ranks) - 1; i >= 0; i-- {
		r := q.ranks[ranks[i]]
		for _, t := range r.newestFirst() {
			if q.waitsTooLong(now, t, roomIn) {
				q.Leave(t)
				refused = append(refused, t)
			}
		}
	}
	return refused
}

// waitsTooLong reports whether a waiting request is past its StartBy, or its predicted remaining wait exceeds waitTolerance
// times the wait that it allowed when it joined.
func (q *Queue) waitsTooLong(now time.Time, t *Ticket, roomIn time.Duration) bool {
	if t.StartBy.IsZero() {
		return false
	}
	if !now.Before(t.StartBy) {
		return true
	}
	wait := q.waitAfter(now, t.Rank, q.ranks[t.Rank].aheadOf(t), roomIn)
	return float64(wait) > waitTolerance*float64(t.StartBy.Sub(t.joinedAt))
}
