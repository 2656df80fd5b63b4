package action

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// scriptedAgent answers dispatches and queries with functions of the test.
type scriptedAgent struct {
	mu       sync.Mutex
	runs     int
	dispatch func(claim Claim) (backend.Reply, error)
	resolve  func(query ResolveQuery) (Resolution, error)
}

func (a *scriptedAgent) Dispatch(_ context.Context, claim Claim, call backend.Call) (backend.Reply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dispatch != nil {
		return a.dispatch(claim)
	}
	a.runs++
	return backend.Reply{Status: 200, Body: call.Body}, nil
}

func (a *scriptedAgent) Resolve(_ context.Context, _ string, query ResolveQuery) (Resolution, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.resolve(query)
}

func (a *scriptedAgent) Acknowledge(context.Context, Target, []ClaimID) {}

type testSetup struct {
	table    *fakeTable
	agent    *scriptedAgent
	executor *Executor
	key      Key
}

func newTestSetup() *testSetup {
	limits := DefaultLimits()
	limits.ResolveDelay, limits.PollInterval, limits.StoreRetryInterval = time.Millisecond, time.Millisecond, time.Millisecond
	limits.ClaimTimeout = 5 * time.Millisecond
	limits.RecordTimeout = 5 * time.Millisecond
	b := &testSetup{table: newFakeTable(), agent: &scriptedAgent{}}
	b.executor = NewExecutor(Config{Table: b.table, Dispatcher: b.agent, Limits: limits, Batch: BatchLimits{MaxItems: 1, MaxInFlight: 1}})
	key, err := NewKey(time.Now())
	So(err, ShouldBeNil)
	b.key = key
	return b
}

func (b *testSetup) do(body string, timeout time.Duration) (backend.Reply, *problem.Error) {
	return b.executor.Do(context.Background(), Request{
		Workspace: "w", Key: string(b.key), Deadline: time.Now().Add(timeout), Target: Target{AgentAddress: "A", Incarnation: "1"},
		Call: backend.Call{Method: "POST", Path: "/pay", Body: []byte(body)},
	})
}

func unknownOutcomeErr() error {
	return infra.NewError(infra.OutcomeUnknown, "dispatch", "A", errInjected)
}

func TestTableFailures(t *testing.T) {
	Convey("While the table is unavailable, nothing is dispatched", t, func() {
		b := newTestSetup()
		b.table.fail = func(string) fault { return faultNotDone }
		_, refusal := b.do("5", time.Minute)
		So(refusal.Code, ShouldEqual, problem.CodeStoreUnavailable)
		So(refusal.Run, ShouldEqual, problem.RunUnknown)
		So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		So(b.agent.runs, ShouldEqual, 0)
	})
	Convey("If the table can be read but not written, the refusal says that nothing ran", t, func() {
		b := newTestSetup()
		b.table.fail = func(operation string) fault {
			if operation == "commit" {
				return faultNotDone
			}
			return faultNone
		}
		_, refusal := b.do("5", time.Minute)
		So(refusal.Run, ShouldEqual, problem.RunNot)
		So(b.agent.runs, ShouldEqual, 0)
	})
	Convey("If the response to the write of a claim is lost, the claim is read back and run once", t, func() {
		b := newTestSetup()
		first := true
		b.table.fail = func(operation string) fault {
			if operation == "commit" && first {
				first = false
				return faultResponseLost
			}
			return faultNone
		}
		reply, refusal := b.do("5", time.Minute)
		So(refusal, ShouldBeNil)
		So(string(reply.Body), ShouldEqual, "5")
		So(b.agent.runs, ShouldEqual, 1)
	})
	Convey("A reply that cannot be recorded reaches the caller, and a resent request is not run", t, func() {
		b := newTestSetup()
		commits := 0
		b.table.fail = func(operation string) fault {
			if operation == "commit" {
				commits++
			}
			if commits > 1 && operation == "commit" {
				return faultNotDone
			}
			return faultNone
		}
		_, refusal := b.do("5", time.Minute)
		So(refusal, ShouldBeNil)
		b.executor.requests.Wait()
		b.agent.resolve = func(ResolveQuery) (Resolution, error) { return Resolution{}, unknownOutcomeErr() }
		_, refusal = b.do("5", 20*time.Millisecond)
		So(refusal.Code, ShouldEqual, problem.CodeOutcomeUnknown)
		So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		So(b.agent.runs, ShouldEqual, 1)
	})
}

func TestRetriedClaimWriteIsIdentical(t *testing.T) {
	Convey("A retried write of a claim equals the first one, including its expiry", t, func() {
		now := time.Now()
		key, err := NewKey(now)
		So(err, ShouldBeNil)
		c := NewCoordinator(DefaultLimits(), Request{Workspace: "w", Key: string(key), Deadline: now.Add(time.Minute)}, "id")
		first := c.Start(now)[0]
		So(c.Handle(now, CommandResult{Err: unknownOutcomeErr()})[0].Kind, ShouldEqual, CommandRead)
		again := c.Handle(now.Add(time.Second/2), CommandResult{})[0]
		So(again.Transaction, ShouldResemble, first.Transaction)
	})
}

func TestResentRequests(t *testing.T) {
	Convey("A resent request gets the recorded reply; another body is refused", t, func() {
		b := newTestSetup()
		first, _ := b.do("5", time.Minute)
		b.executor.requests.Wait()
		again, refusal := b.do("5", time.Minute)
		So(refusal, ShouldBeNil)
		So(again, ShouldResemble, first)
		_, refusal = b.do("6", time.Minute)
		So(refusal.Code, ShouldEqual, problem.CodeKeyReused)
		So(b.agent.runs, ShouldEqual, 1)
	})
	Convey("If the service's reply is lost, the outcome is recorded as unknown and the call is not run again", t, func() {
		b := newTestSetup()
		b.agent.dispatch = func(Claim) (backend.Reply, error) { return backend.Reply{}, unknownOutcomeErr() }
		b.agent.resolve = func(ResolveQuery) (Resolution, error) { return Resolution{State: ResolvedUnknown}, nil }
		_, refusal := b.do("5", time.Minute)
		So(refusal.Code, ShouldEqual, problem.CodeOutcomeUnknown)
		b.executor.requests.Wait()
		b.agent.dispatch = nil
		_, refusal = b.do("5", time.Minute)
		So(refusal.Code, ShouldEqual, problem.CodeOutcomeUnknown)
		So(refusal.Run, ShouldEqual, problem.RunUnknown)
		So(b.agent.runs, ShouldEqual, 0)
	})
	Convey("If a dispatch was not sent, the claim is released, and a resent request is run", t, func() {
		b := newTestSetup()
		b.agent.dispatch = func(Claim) (backend.Reply, error) {
			return backend.Reply{}, infra.NewError(infra.OutcomeNotDone, "dispatch", "A", errInjected)
		}
		_, refusal := b.do("5", time.Minute)
		So(refusal.Run, ShouldEqual, problem.RunNot)
		b.agent.dispatch = nil
		_, refusal = b.do("5", time.Minute)
		So(refusal, ShouldBeNil)
		So(b.agent.runs, ShouldEqual, 1)
	})
	Convey("A key older than the retention is refused as expired", t, func() {
		b := newTestSetup()
		old, err := NewKey(time.Now().Add(-49 * time.Hour))
		So(err, ShouldBeNil)
		b.key = old
		_, refusal := b.do("5", time.Minute)
		So(refusal.Code, ShouldEqual, problem.CodeKeyExpired)
		So(b.table.commits, ShouldEqual, 0)
	})
	Convey("Two concurrent callers with the same key cause one run and get the same reply", t, func() {
		b := newTestSetup()
		b.agent.resolve = func(ResolveQuery) (Resolution, error) { return Resolution{State: ResolvedRunning}, nil }
		release := make(chan struct{})
		b.agent.dispatch = func(claim Claim) (backend.Reply, error) {
			<-release
			b.agent.runs++
			b.agent.resolve = func(ResolveQuery) (Resolution, error) {
				return Resolution{State: ResolvedDone, Reply: backend.Reply{Status: 200, Body: []byte(claim.ID)}}, nil
			}
			return backend.Reply{Status: 200, Body: []byte(claim.ID)}, nil
		}
		replies := make(chan string, 2)
		for range 2 {
			go func() {
				reply, _ := b.do("5", time.Minute)
				replies <- string(reply.Body)
			}()
		}
		close(release)
		So(<-replies, ShouldEqual, <-replies)
		So(b.agent.runs, ShouldEqual, 1)
	})
}
