package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/waitqueue"
)

// newFullGateway returns a gateway whose only server has memory for one request, and the placement that takes it.
func newFullGateway(t *testing.T) (*Gateway, *placement, *query) {
	g := New(Options{Host: "h", Domain: "a", Bounds: DefaultBounds(), Codec: testCodec{}, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()})
	t.Cleanup(g.Stop)
	now := time.Now()
	g.fleet.replaceServers(now, []directory.Entry{{ID: "i", Service: "m", Address: "10.0.0.1:1", Domain: "a", Slots: 64}})
	g.fleet.router.SetMemoryLimit("m", 10_000)
	g.fleet.router.SetRoom("m", true)
	q := &query{service: "m", work: routing.Work{PromptTokens: 8_000, MaxTokens: 700}}
	place, err := g.fleet.choose(now, q)
	So(err, ShouldBeNil)
	return g, place, q
}

// newWaitingCall returns a stream's call of the given rank that may wait for up to a second.
func newWaitingCall(g *Gateway, rank wigeonfork.Rank) (*call, *query) {
	c := &call{Gateway: g, r: httptest.NewRequest("POST", "/x", nil), service: "m", route: &routetable.Route{Kind: routetable.KindStream}}
	c.work = routing.Work{PromptTokens: 8_000, MaxTokens: 700, Rank: rank}
	return c, &query{service: "m", work: c.work}
}

// placed is the outcome of a waiting call.
type placed struct {
	rank  wigeonfork.Rank
	place *placement
	err   error
}

func (g *Gateway) startWaiting(ctx context.Context, rank wigeonfork.Rank, startBy time.Time, results chan<- placed) {
	c, q := newWaitingCall(g, rank)
	go func() {
		place, err := c.chooseInTurn(ctx, q, startBy)
		results <- placed{rank, place, err}
	}()
}

// awaitWaiting waits until n requests wait.
func (g *Gateway) awaitWaiting(n int) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		g.waiting.mu.Lock()
		s := g.waiting.services["m"]
		found := s != nil && s.queue.Len() == n
		g.waiting.mu.Unlock()
		if found {
			return
		}
	}
	So("number of waiting requests", ShouldEqual, n)
}

// Load: the only server is full, a less urgent request waits, then a more urgent one comes. Room goes to the more urgent one.
func TestWaitingRequestsGetRoomByRank(t *testing.T) {
	Convey("Given a full server and waiting requests of two ranks", t, func() {
		g, running, q := newFullGateway(t)
		results := make(chan placed, 2)
		never := time.Now().Add(time.Minute)
		g.startWaiting(context.Background(), 2, never, results)
		g.awaitWaiting(1)
		g.startWaiting(context.Background(), 0, never, results)
		g.awaitWaiting(2)

		Convey("each gets the server as the one before ends, the more urgent first", func() {
			for _, rank := range []wigeonfork.Rank{0, 2} {
				g.fleet.failed(time.Now(), running, q.work)
				got := <-results
				So(got.err, ShouldBeNil)
				So(got.rank, ShouldEqual, rank)
				running = got.place
			}
			g.awaitWaiting(0)
		})
	})
}

// Guards against places in the queue that nobody holds: a caller that leaves must not keep others from their turn.
func TestCallerThatLeavesGivesUpItsTurn(t *testing.T) {
	Convey("The next request gets room after the one before it has left", t, func() {
		g, running, q := newFullGateway(t)
		results := make(chan placed, 2)
		ctx, leave := context.WithCancel(context.Background())
		g.startWaiting(ctx, 0, time.Now().Add(time.Minute), results)
		g.awaitWaiting(1)
		g.startWaiting(context.Background(), 1, time.Now().Add(time.Minute), results)
		g.awaitWaiting(2)
		leave()
		So(errors.Is((<-results).err, context.Canceled), ShouldBeTrue)
		g.fleet.failed(time.Now(), running, q.work)
		So((<-results).err, ShouldBeNil)
	})
}

// Load: the wait for room is longer than a request allows. It is refused at once, and told truly that it has not run and
// when to come back.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	Convey("Given a full server that has no room in time", t, func() {
		g, _, _ := newFullGateway(t)
		c, q := newWaitingCall(g, 1)
		_, err := c.chooseInTurn(context.Background(), q, time.Now().Add(time.Millisecond))
		var tooLong *waitqueue.TooLongError
		So(errors.As(err, &tooLong), ShouldBeTrue)
		refusal := c.noServer(err)
		So(refusal.Run, ShouldEqual, problem.RunNot)
		So(refusal.Status(), ShouldEqual, 503)
		So(refusal.RetryAfter, ShouldBeGreaterThanOrEqualTo, tooLong.RetryIn)
		g.awaitWaiting(0)
	})
}

// Guards against requests that are held until their deadline has nearly passed.
func TestWaitLeavesTimeForTheAnswer(t *testing.T) {
	now := time.Now()
	cases := []struct{ deadline, objective, want time.Duration }{
		{25 * time.Second, 4 * time.Second, 25 * time.Second / 3},
		{25 * time.Second, 10 * time.Second, 10 * time.Second},
		{3 * time.Second, 10 * time.Second, 2 * time.Second},
		{0, 4 * time.Second, 4 * time.Second},
		{0, 0, defaultMaxWait},
	}
	for _, k := range cases {
		c := &call{route: &routetable.Route{LatencyObjective: k.objective}}
		if k.deadline > 0 {
			c.deadline = now.Add(k.deadline)
		}
		if got := c.startBy(now).Sub(now); got != k.want {
			t.Errorf("deadline %v, objective %v: waits up to %v, %v expected", k.deadline, k.objective, got, k.want)
		}
	}
}
