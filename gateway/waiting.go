package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/waitqueue"
)

const (
	// roomPoll is the time between two searches for room by the request whose turn it is. It is longer by roomPollPerRank
	// for each less urgent rank, up to maxRoomPoll, so that more urgent requests at other gateways find free room first.
	roomPoll        = 10 * time.Millisecond
	roomPollPerRank = 10 * time.Millisecond
	maxRoomPoll     = 80 * time.Millisecond
	// waitCheck is the time between two checks of a request whose turn it is not.
	waitCheck = 100 * time.Millisecond
	// A request with a deadline may wait for room for 1/waitDivisor of the time that is left until then, or for the latency
	// objective if that is longer, but must keep 1/waitDivisor of that time for its run.
	waitDivisor = 3
	// defaultMaxWait is the longest wait of a request without deadline and latency objective.
	defaultMaxWait = 5 * time.Second
	// maxResumeWait is the longest wait for room of a request that was sent before. Then it goes to a server
	// that has no room.
	maxResumeWait = 3 * time.Second
	// firstRoomIn is the predicted time until a server has room before the router has predicted one.
	firstRoomIn = 50 * time.Millisecond
	// minWaitRetry is the least retry delay of a request that would wait too long.
	minWaitRetry = 400 * time.Millisecond
)

// waitingRequests holds the requests of this gateway that found no server with room.
type waitingRequests struct {
	metrics telemetry.Registry

	mu       sync.Mutex
	services map[wigeonfork.Model]*serviceWaiting
}

// serviceWaiting holds the waiting requests of one service. roomIn is the last predicted time until a server has room.
type serviceWaiting struct {
	queue   *waitqueue.Queue
	waiters map[*waitqueue.Ticket]*waiter
	roomIn  time.Duration
}

// waiter is a waiting request. Its wake channel holds at most one signal. refused is set if it was removed
// from the queue without being admitted.
type waiter struct {
	ticket  *waitqueue.Ticket
	wake    chan struct{}
	refused bool
}

func newWaitingRequests(metrics telemetry.Registry) *waitingRequests {
	return &waitingRequests{metrics: metrics, services: make(map[wigeonfork.Model]*serviceWaiting)}
}

// mustWait reports whether a new request of the given rank must wait for its turn, as others do.
func (w *waitingRequests) mustWait(service wigeonfork.Model, rank wigeonfork.Rank) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	return s != nil && s.queue.MustWait(rank)
}

// join adds a request. roomIn is the predicted time until a server has room; 0 means the last one. The error is a
// *waitqueue.TooLongError.
func (w *waitingRequests) join(now time.Time, service wigeonfork.Model, request waitqueue.Request, roomIn time.Duration) (*waiter, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	if s == nil {
		s = &serviceWaiting{queue: waitqueue.New(waitqueue.DefaultCapacity), waiters: make(map[*waitqueue.Ticket]*waiter), roomIn: firstRoomIn}
		w.services[service] = s
	}
	switch {
	case roomIn > 0:
		s.roomIn = roomIn
	case s.queue.Len() == 0:
		s.roomIn = firstRoomIn
	}
	ticket, evicted, err := s.queue.Join(now, request, s.roomIn)
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		w.refuse(s, evicted)
	}
	joined := &waiter{ticket: ticket, wake: make(chan struct{}, 1)}
	s.waiters[ticket] = joined
	w.changed(s, request.Rank)
	return joined, nil
}

// isNext reports whether it is a request's turn to look for room, and the time until the next check. refused is set if the
// request must wait no longer: it was removed from the queue, or it is not its turn by its StartBy.
func (w *waitingRequests) isNext(now time.Time, service wigeonfork.Model, r *waiter) (next, refused bool, again time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	if r.refused {
		return false, true, 0
	}
	if s.queue.Next() != r.ticket {
		isLate := !r.ticket.StartBy.IsZero() && !now.Before(r.ticket.StartBy)
		return false, isLate, waitCheck
	}
	return true, false, min(maxRoomPoll, roomPoll+time.Duration(s.queue.MostUrgent())*roomPollPerRank)
}

// noRoom records that the request whose turn it is found no room, and refuses those that would wait too long.
func (w *waitingRequests) noRoom(now time.Time, service wigeonfork.Model, roomIn time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	s.roomIn = roomIn
	for _, t := range s.queue.Refuse(now, roomIn) {
		w.refuse(s, t)
		w.changed(s, t.Rank)
	}
}

// admitted records that a request has found room.
func (w *waitingRequests) admitted(now time.Time, service wigeonfork.Model, r *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	s.queue.Admit(now, r.ticket)
	delete(s.waiters, r.ticket)
	w.changed(s, r.ticket.Rank)
	telemetry.Histogram(w.metrics, "waiting_ms.rank_"+strconv.Itoa(int(r.ticket.Rank))).Update(now.Sub(r.ticket.JoinedAt()).Milliseconds())
}

// admittedDirectly records that a request that did not wait has found room.
func (w *waitingRequests) admittedDirectly(now time.Time, service wigeonfork.Model, rank wigeonfork.Rank) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[service]; s != nil {
		s.queue.AdmittedDirectly(now, rank)
	}
}

// leave removes a request from the queue. It does nothing if the request was admitted.
func (w *waitingRequests) leave(service wigeonfork.Model, r *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	s.queue.Leave(r.ticket)
	delete(s.waiters, r.ticket)
	w.changed(s, r.ticket.Rank)
}

// tooLong returns the error of a request that has waited in vain.
func (w *waitingRequests) tooLong(now time.Time, service wigeonfork.Model, request waitqueue.Request) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	wait := s.queue.PredictWait(now, request, s.roomIn)
	return &waitqueue.TooLongError{Wait: wait, RetryIn: wait}
}

// refuse marks the waiter of a ticket that is no longer in the queue as refused, and wakes it.
func (w *waitingRequests) refuse(s *serviceWaiting, t *waitqueue.Ticket) {
	telemetry.Counter(w.metrics, "waiting.refused_rank_"+strconv.Itoa(int(t.Rank))).Inc(1)
	if r := s.waiters[t]; r != nil {
		r.refused = true
		r.signal()
	}
}

// changed wakes the request whose turn it is, and updates the gauge of the waiting requests of a rank.
func (w *waitingRequests) changed(s *serviceWaiting, rank wigeonfork.Rank) {
	telemetry.Gauge(w.metrics, "waiting.rank_"+strconv.Itoa(int(rank))).Update(int64(s.queue.Waiting(rank)))
	if next := s.waiters[s.queue.Next()]; next != nil {
		next.signal()
	}
}

func (r *waiter) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// chooseInTurn chooses the server of a request like choose, among those with room. If none has, or if others wait
// before it, the request waits for its turn. The error is a *waitqueue.TooLongError if it would wait too long.
func (c *call) chooseInTurn(ctx context.Context, q *query, startBy time.Time) (*placement, error) {
	request := waitqueue.Request{Rank: q.work.Rank, Workspace: c.workspace, Caller: c.callerName(), Resume: c.possibleRuns > 0, StartBy: startBy}
	var roomIn time.Duration
	if !c.waiting.mustWait(q.service, request.Rank) {
		place, err := c.Gateway.choose(ctx, q)
		var noRoom *routing.NoRoomError
		if err == nil {
			c.waiting.admittedDirectly(time.Now(), q.service, request.Rank)
		}
		if !errors.As(err, &noRoom) {
			return place, err
		}
		roomIn = noRoom.RoomIn
	}
	now := time.Now()
	r, err := c.waiting.join(now, q.service, request, roomIn)
	if err != nil {
		return nil, err
	}
	defer c.waiting.leave(q.service, r)
	c.options.Log.Info().Str("request", string(c.caller.ID)).Uint8("rank", uint8(request.Rank)).Bool("resume", request.Resume).
		Int64("room_in_ms", roomIn.Milliseconds()).Int64("at_most_ms", startBy.Sub(now).Milliseconds()).Msg("request_waits")
	return c.awaitTurn(ctx, q, r)
}

// awaitTurn waits until it is the turn of a waiting request and a server has room for it.
func (c *call) awaitTurn(ctx context.Context, q *query, r *waiter) (*placement, error) {
	for {
		now := time.Now()
		next, refused, again := c.waiting.isNext(now, q.service, r)
		switch {
		case refused:
			return nil, c.waiting.tooLong(now, q.service, r.ticket.Request)
		case !r.ticket.Resume && c.stopsBefore(0):
			return nil, errLeaving
		case next:
			place, err := c.Gateway.choose(ctx, q)
			var noRoom *routing.NoRoomError
			if errors.As(err, &noRoom) {
				c.waiting.noRoom(now, q.service, noRoom.RoomIn)
				break
			}
			if err == nil {
				c.waiting.admitted(now, q.service, r)
				c.logAdmitted(now, place, r)
			}
			return place, err
		}
		if !r.pause(ctx, again) {
			return nil, ctx.Err()
		}
	}
}

// pause waits for a signal or d. It returns false if ctx is done.
func (r *waiter) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (c *call) logAdmitted(now time.Time, place *placement, r *waiter) {
	c.options.Log.Info().Str("request", string(c.caller.ID)).Str("server", string(place.ID)).Uint8("rank", uint8(r.ticket.Rank)).
		Int64("waited_ms", now.Sub(r.ticket.JoinedAt()).Milliseconds()).Msg("request_admitted")
}

// callerName identifies the caller among those of its workspace: by its key, or by its host if it needs none.
func (c *call) callerName() string {
	if c.caller.Key != "" {
		return c.caller.Key
	}
	host, _, _ := net.SplitHostPort(c.r.RemoteAddr)
	return host
}

// startBy returns the time by which a new request must have found room; see waitDivisor and defaultMaxWait.
func (c *call) startBy(now time.Time) time.Time {
	objective := c.route.LatencyObjective
	if c.deadline.IsZero() {
		if objective <= 0 {
			objective = defaultMaxWait
		}
		return now.Add(objective)
	}
	left := c.deadline.Sub(now)
	return now.Add(min(max(objective, left/waitDivisor), left-left/waitDivisor))
}
