package waitqueue

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

const (
	urgent wigeonfork.Rank = iota
	middle
	free
)

// turnTime is the time between two turns in these tests.
const turnTime = 100 * time.Millisecond

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func join(t *testing.T, q *Queue, r Request) *Ticket {
	t.Helper()
	ticket, _, err := q.Join(start, r, turnTime)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// admitNext gives the next request its turn and returns it.
func admitNext(q *Queue, turn int) *Ticket {
	ticket := q.Next()
	q.Admit(start.Add(time.Duration(turn)*turnTime), ticket)
	return ticket
}

// Load: the least urgent kind presses and fills the queue; the more urgent go next as they come.
func TestMoreUrgentGoesBeforeWaitingCrowd(t *testing.T) {
	q := New(DefaultCapacity)
	for range 100 {
		join(t, q, Request{Rank: free, Workspace: "crowd"})
	}
	member := join(t, q, Request{Rank: urgent, Workspace: "w"})
	if q.Next() != member {
		t.Error("the crowd goes before a more urgent request")
	}
	if q.MustWait(urgent) != true || q.MustWait(free) != true {
		t.Error("a newcomer need not wait behind its rank")
	}
	q.Admit(start, member)
	if q.MustWait(urgent) {
		t.Error("a more urgent newcomer must wait behind the crowd")
	}
}

// Load: more urgent kinds alone would take all turns. Each less urgent rank gets some nevertheless.
func TestEveryRankGetsTurnsWhileMoreUrgentOnesPress(t *testing.T) {
	q := New(DefaultCapacity)
	const turns = 240
	for range turns {
		for rank := urgent; rank <= free; rank++ {
			if q.Waiting(rank) < 50 {
				join(t, q, Request{Rank: rank, Workspace: "w"})
				join(t, q, Request{Rank: rank, Workspace: "w"})
			}
		}
	}
	count := make(map[wigeonfork.Rank]int)
	for turn := range turns {
		served := admitNext(q, turn)
		count[served.Rank]++
		join(t, q, Request{Rank: served.Rank, Workspace: "w"})
	}
	if count[urgent] != turns*(lowerRankTurn-1)/lowerRankTurn || count[middle] != count[free] || count[free] == 0 {
		t.Errorf("turns by rank: %v", count)
	}
}

// Load: urgent requests come as fast as room does, and none of them has to wait. A less urgent one that waits gets its turn.
func TestDirectArrivalsLeaveTurnsToThoseThatWait(t *testing.T) {
	q := New(DefaultCapacity)
	waiting := join(t, q, Request{Rank: free, Workspace: "w"})
	for turn := range lowerRankTurn - 1 {
		if q.MustWait(urgent) {
			t.Fatalf("an urgent request must wait at turn %d", turn)
		}
		q.AdmittedDirectly(start.Add(time.Duration(turn)*turnTime), urgent)
	}
	if !q.MustWait(urgent) {
		t.Error("urgent requests take all turns")
	}
	join(t, q, Request{Rank: urgent, Workspace: "w"})
	if q.Next() != waiting {
		t.Error("the less urgent request doesn't go next")
	}
	if q.lastTurns[urgent] == 0 {
		t.Error("the turns of requests that did not wait are not those of their rank")
	}
	q.Admit(start.Add(time.Second), waiting)
	if q.Next().Rank != urgent {
		t.Error("the urgent request doesn't go after it")
	}
}

// Load: one workspace sends a crowd, and one caller of another workspace too. Others of their rank must not wait behind.
func TestWorkspacesAndCallersOfOneRankTakeTurns(t *testing.T) {
	q := New(DefaultCapacity)
	for range 50 {
		join(t, q, Request{Rank: middle, Workspace: "crowd", Caller: "a"})
	}
	for range 20 {
		join(t, q, Request{Rank: middle, Workspace: "shared", Caller: "busy"})
	}
	join(t, q, Request{Rank: middle, Workspace: "shared", Caller: "quiet"})
	join(t, q, Request{Rank: middle, Workspace: "single", Caller: "b"})
	first := make(map[string]int)
	for turn := range 6 {
		served := admitNext(q, turn)
		name := string(served.Workspace) + "/" + served.Caller
		if _, seen := first[name]; !seen {
			first[name] = turn
		}
	}
	for _, name := range []string{"crowd/a", "shared/busy", "shared/quiet", "single/b"} {
		if _, served := first[name]; !served {
			t.Errorf("%s got none of the first 6 turns: %v", name, first)
		}
	}
}

// Load: streams come back after a common loss of servers while new requests of several ranks wait.
func TestResumedGoBeforeNewOfTheirRankOnly(t *testing.T) {
	q := New(DefaultCapacity)
	fresh := join(t, q, Request{Rank: middle, Workspace: "w"})
	resumed := join(t, q, Request{Rank: middle, Workspace: "w", Resume: true})
	member := join(t, q, Request{Rank: urgent, Workspace: "w"})
	for turn, want := range []*Ticket{member, resumed, fresh} {
		if got := admitNext(q, turn); got != want {
			t.Errorf("turn %d: %+v", turn, got.Request)
		}
	}
}

// Load: more requests wait than can be served in time. One that would wait too long is told so at once, with a time after
// which it would not.
func TestHopelessRequestIsRefusedAtOnceWithATrueTime(t *testing.T) {
	q := New(DefaultCapacity)
	for turn := range 40 {
		join(t, q, Request{Rank: middle, Workspace: "w"})
		join(t, q, Request{Rank: middle, Workspace: "w"})
		admitNext(q, turn)
	}
	now := start.Add(40 * turnTime)
	late := Request{Rank: middle, Workspace: "w", StartBy: now.Add(time.Second)}
	_, _, err := q.Join(now, late, turnTime)
	var tooLong *TooLongError
	if !errors.As(err, &tooLong) || tooLong.Wait < 3*time.Second || tooLong.Wait > 6*time.Second {
		t.Fatalf("40 wait, a turn takes %v, 1 s is allowed: %v", turnTime, err)
	}
	turns := int((tooLong.RetryIn + turnTime - 1) / turnTime)
	for turn := range turns {
		admitNext(q, 40+turn)
	}
	now = start.Add(time.Duration(40+turns) * turnTime)
	late.StartBy = now.Add(time.Second)
	if _, _, err := q.Join(now, late, turnTime); err != nil {
		t.Errorf("after %v: %v", tooLong.RetryIn, err)
	}
	if _, _, err := q.Join(now, Request{Rank: urgent, Workspace: "w", StartBy: now.Add(time.Second)}, turnTime); err != nil {
		t.Errorf("a more urgent one does not wait for the crowd: %v", err)
	}
}

// Load: more urgent requests come while less urgent ones wait, so that these can't go in time any more.
func TestLeastUrgentIsRefusedFirstWhenWaitsGrow(t *testing.T) {
	q := New(DefaultCapacity)
	allowed := start.Add(time.Second)
	var crowd []*Ticket
	for range 8 {
		crowd = append(crowd, join(t, q, Request{Rank: free, Workspace: "crowd", StartBy: allowed}))
	}
	if refused := q.Refuse(start, turnTime); len(refused) > 0 {
		t.Errorf("%d refused in time", len(refused))
	}
	for range 12 {
		join(t, q, Request{Rank: urgent, Workspace: "w", StartBy: start.Add(2 * time.Second)})
	}
	refused := q.Refuse(start, turnTime)
	if len(refused) == 0 || len(refused) == len(crowd) || refused[0] != crowd[7] {
		t.Errorf("%d of %d refused", len(refused), len(crowd))
	}
	for _, ticket := range refused {
		if ticket.Rank != free {
			t.Errorf("rank %d refused", ticket.Rank)
		}
	}
	if q.Waiting(urgent) != 12 {
		t.Errorf("%d urgent requests wait", q.Waiting(urgent))
	}
}

// Load: a crowd fills the queue. A more urgent request takes the place of its newest, one of equal rank does not.
func TestFullQueueGivesUpTheLeastUrgent(t *testing.T) {
	q := New(3)
	join(t, q, Request{Rank: middle, Workspace: "w"})
	join(t, q, Request{Rank: free, Workspace: "crowd"})
	newest := join(t, q, Request{Rank: free, Workspace: "crowd"})
	if _, _, err := q.Join(start, Request{Rank: free, Workspace: "w"}, turnTime); err == nil {
		t.Error("a full queue took a request of its least urgent rank")
	}
	_, evicted, err := q.Join(start, Request{Rank: middle, Workspace: "w"}, turnTime)
	if err != nil || evicted != newest {
		t.Errorf("evicted %+v, %v", evicted, err)
	}
	if q.Len() != 3 || q.Waiting(free) != 1 || q.Waiting(middle) != 2 {
		t.Errorf("%d wait, %d of them free, %d middle", q.Len(), q.Waiting(free), q.Waiting(middle))
	}
}

// Guards against a request that waits for ever since room stopped coming: the predicted wait grows with the silence.
func TestPredictionGrowsWhileNoTurnComes(t *testing.T) {
	q := New(DefaultCapacity)
	for range 5 {
		join(t, q, Request{Rank: middle, Workspace: "w"})
	}
	admitNext(q, 1)
	waiting := Request{Rank: middle, Workspace: "w"}
	before := q.PredictWait(start.Add(2*turnTime), waiting, turnTime)
	after := q.PredictWait(start.Add(50*turnTime), waiting, turnTime)
	if after < 5*before {
		t.Errorf("predicted %v, then %v", before, after)
	}
}

// Load: a crowd comes at once after a long calm. Neither an old time between turns nor the time until the first room
// says how fast room will come, so none of it is refused yet.
func TestCrowdAfterCalmIsNotRefusedByOldFigures(t *testing.T) {
	q := New(DefaultCapacity)
	join(t, q, Request{Rank: middle, Workspace: "w"})
	q.Admit(start.Add(20*time.Second), q.Next())
	now := start.Add(time.Hour)
	for i := range 20 {
		_, _, err := q.Join(now, Request{Rank: middle, Workspace: "w", StartBy: now.Add(4 * time.Second)}, time.Second)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// Load: one workspace, caller or rank has a single request at a time, which rejoins after each turn, beside backlogs. It must
// not go before them each time.
func TestSingleRequestsThatRejoinTakeTurnsWithBacklogs(t *testing.T) {
	cases := []struct {
		name     string
		backlogs []Request
		rejoins  Request
		minTurns int // turns of 40 that each backlog gets
	}{
		{"workspace", []Request{{Workspace: "backlog"}}, Request{Workspace: "single"}, 20},
		{"caller", []Request{{Workspace: "w", Caller: "backlog"}}, Request{Workspace: "w", Caller: "single"}, 20},
		{"rank", []Request{{Rank: urgent, Workspace: "w"}, {Rank: middle, Workspace: "w"}}, Request{Rank: free, Workspace: "w"}, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(DefaultCapacity)
			for range 50 {
				for _, backlog := range c.backlogs {
					join(t, q, backlog)
				}
			}
			join(t, q, c.rejoins)
			turns := make(map[Request]int)
			for i := range 40 {
				next := q.Next()
				turns[next.Request]++
				q.Admit(start.Add(time.Duration(i)*time.Millisecond), next)
				if next.Request == c.rejoins {
					join(t, q, c.rejoins)
				}
			}
			for _, backlog := range c.backlogs {
				if turns[backlog] < c.minTurns {
					t.Errorf("%+v got %d of 40 turns, %d expected", backlog, turns[backlog], c.minTurns)
				}
			}
			if turns[c.rejoins] < 5 {
				t.Errorf("the single requests got %d of 40 turns", turns[c.rejoins])
			}
		})
	}
}

// Load: a large crowd of the most urgent rank waits, and a less urgent request comes, whose turn is one in four.
func TestLessUrgentRequestIsNotRefusedForTurnsThatItGets(t *testing.T) {
	q := New(DefaultCapacity)
	for range 200 {
		join(t, q, Request{Rank: urgent, Workspace: "w"})
	}
	for i := range 8 {
		q.Admit(start.Add(time.Duration(i+1)*50*time.Millisecond), q.Next())
	}
	now := start.Add(400 * time.Millisecond)
	request := Request{Rank: free, Workspace: "w", StartBy: now.Add(5 * time.Second)}
	if wait := q.PredictWait(now, request, 50*time.Millisecond); wait > 300*time.Millisecond {
		t.Errorf("a wait of %v is predicted", wait)
	}
	if _, _, err := q.Join(now, request, 50*time.Millisecond); err != nil {
		t.Error(err)
	}
}

// Load: requests of all kinds come, go, give up and are refused in any order. Counts stay right, and someone is next
// as long as one waits.
func TestQueueStaysWholeUnderRandomLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q := New(20)
	waiting := make(map[*Ticket]bool)
	for step := range 20_000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			ticket, evicted, err := q.Join(now, randomRequest(random, now), turnTime)
			delete(waiting, evicted)
			if err == nil {
				waiting[ticket] = true
			}
		case 2:
			if next := q.Next(); next != nil {
				q.Admit(now, next)
				delete(waiting, next)
			}
		case 3:
			for _, refused := range q.Refuse(now, turnTime) {
				delete(waiting, refused)
			}
			for ticket := range waiting {
				q.Leave(ticket)
				q.Leave(ticket)
				delete(waiting, ticket)
				break
			}
		}
		if q.Len() != len(waiting) || (q.Next() == nil) != (len(waiting) == 0) || q.Next() != nil && !waiting[q.Next()] {
			t.Fatalf("step %d: %d wait, %d expected", step, q.Len(), len(waiting))
		}
	}
}

func randomRequest(random *rand.Rand, now time.Time) Request {
	r := Request{Rank: wigeonfork.Rank(random.IntN(4)), Resume: random.IntN(5) == 0}
	r.Workspace = wigeonfork.Workspace(rune('a' + random.IntN(3)))
	r.Caller = string(rune('a' + random.IntN(2)))
	if random.IntN(3) > 0 {
		r.StartBy = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
	return r
}
