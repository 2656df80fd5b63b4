package lease

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
)

// memoryTable is a table that can lose replies, be unavailable or forget operation ids.
type memoryTable struct {
	mu sync.Mutex
	modelState
	repliesToLose     int
	unavailable       bool
	forgetsOperations bool
}

func newMemoryTable() *memoryTable { return &memoryTable{} }

func (m *memoryTable) Get(_ context.Context, key string) (infra.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return infra.Row{}, infra.NewError(infra.OutcomeNotDone, "get", "table", errReplyLost)
	}
	row := m.row
	row.Key = key
	return row, nil
}

func (m *memoryTable) Scan(context.Context, infra.ScanQuery) (infra.Page, error) {
	return infra.Page{}, errors.New("not used")
}

func (m *memoryTable) Commit(_ context.Context, tx infra.Transaction) (infra.Commit, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return infra.Commit{}, infra.NewError(infra.OutcomeNotDone, "commit", "table", errReplyLost)
	}
	if m.forgetsOperations {
		m.applied = nil
	}
	m.row.Key = tx.Writes[0].Key
	commit := m.commit(tx)
	if m.repliesToLose > 0 {
		m.repliesToLose--
		return infra.Commit{}, infra.NewError(infra.OutcomeUnknown, "commit", "table", errReplyLost)
	}
	return commit, nil
}

// process runs one Keeper step by step on a clock of its own.
type process struct {
	*Keeper
	clock    *manualClock
	acquired []wigeonfork.FencingNumber
	lost     []wigeonfork.FencingNumber
}

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                          { return c.now }
func (c *manualClock) Wait(_ context.Context, d time.Duration) { c.now = c.now.Add(d) }

func (p *process) LeaseAcquired(n wigeonfork.FencingNumber) { p.acquired = append(p.acquired, n) }
func (p *process) LeaseLost(n wigeonfork.FencingNumber)     { p.lost = append(p.lost, n) }

func newProcess(owner string, offset time.Duration, table infra.Table) *process {
	p := &process{clock: &manualClock{now: time.Unix(1000, 0).Add(offset)}}
	keeper, err := NewKeeper(Config{Scope: "d", Owner: owner}, table, p.clock, p)
	if err != nil {
		panic(err)
	}
	p.Keeper = keeper
	return p
}

func (p *process) tick() { p.handle(context.Background(), Tick{}) }

// advance moves all clocks forward by d. The processes in running step every 500 ms.
func advance(d time.Duration, all []*process, running ...*process) {
	const stride = 500 * time.Millisecond
	for ; d > 0; d -= stride {
		for _, p := range all {
			p.clock.now = p.clock.now.Add(stride)
		}
		for _, p := range running {
			p.tick()
		}
	}
}

func TestLeaseUnderFaults(t *testing.T) {
	Convey("Given two processes whose clocks differ by a minute", t, func() {
		table := newMemoryTable()
		a := newProcess("a", 0, table)
		b := newProcess("b", time.Minute, table)
		both := []*process{a, b}
		a.tick()
		b.tick()
		first, holds := a.Fencing()
		So(holds, ShouldBeTrue)
		So(first, ShouldEqual, 1)

		Convey("renewal keeps the lease and its number, and the other process does not acquire it", func() {
			advance(time.Minute, both, a, b)
			again, holds := a.Fencing()
			So(holds, ShouldBeTrue)
			So(again, ShouldEqual, first)
			So(b.acquired, ShouldBeEmpty)
		})
		Convey("a holder that was paused beyond the lease duration no longer holds the lease", func() {
			advance(DefaultDuration, both, b)
			_, holds := a.Fencing()
			So(holds, ShouldBeFalse)
			advance(2*DefaultDuration, both, b)
			So(b.acquired, ShouldResemble, []wigeonfork.FencingNumber{2})
			a.tick()
			So(a.lost, ShouldResemble, []wigeonfork.FencingNumber{1})
			So(a.acquired, ShouldHaveLength, 1)
		})
		Convey("after the reply to a renewal was lost, a retry under its operation id keeps the lease", func() {
			table.repliesToLose = 2
			advance(time.Minute, both, a, b)
			So(table.repliesToLose, ShouldEqual, 0)
			So(a.lost, ShouldBeEmpty)
			So(b.acquired, ShouldBeEmpty)
		})
		Convey("after the reply was lost and the table forgot the operation id, the row shows that the renewal was applied", func() {
			table.repliesToLose = 1
			table.forgetsOperations = true
			advance(time.Minute, both, a, b)
			So(a.lost, ShouldBeEmpty)
		})
		Convey("in an outage of the table the lease expires by the holder's clock, and one process acquires it afterwards", func() {
			table.unavailable = true
			advance(DefaultDuration, both, a, b)
			_, holds := a.Fencing()
			So(holds, ShouldBeFalse)
			table.unavailable = false
			advance(3*DefaultDuration, both, a, b)
			So(len(a.acquired)+len(b.acquired), ShouldEqual, 2)
			_, aHolds := a.Fencing()
			_, bHolds := b.Fencing()
			So(aHolds, ShouldNotEqual, bHolds)
		})
		Convey("a released lease is acquired without waiting, with a higher number", func() {
			ended, end := context.WithCancel(context.Background())
			end()
			a.Run(ended)
			_, holds := a.Fencing()
			So(holds, ShouldBeFalse)
			advance(DefaultDuration/2, both, b)
			So(b.acquired, ShouldResemble, []wigeonfork.FencingNumber{2})
		})
		Convey("a restarted process acquires the lease with a new number", func() {
			c := newProcess("a2", 0, table)
			advance(2*DefaultDuration, []*process{a, b, c}, c)
			So(c.acquired, ShouldResemble, []wigeonfork.FencingNumber{2})
		})
	})
	Convey("If the reply to the first write is lost, the lease is acquired with number 1", t, func() {
		table := newMemoryTable()
		table.repliesToLose = 1
		a := newProcess("a", 0, table)
		advance(DefaultDuration/2, []*process{a}, a)
		number, holds := a.Fencing()
		So(holds, ShouldBeTrue)
		So(number, ShouldEqual, 1)
	})
	Convey("A row that cannot be decoded is not taken over", t, func() {
		table := newMemoryTable()
		table.row = infra.Row{Key: Key("d"), Value: []byte("?"), Revision: 7}
		a := newProcess("a", 0, table)
		advance(10*DefaultDuration, []*process{a}, a)
		So(a.acquired, ShouldBeEmpty)
	})
}

func TestGuard(t *testing.T) {
	code := func(err error) problem.Code { return problem.From(err, problem.StepOrder).Code }
	Convey("A guard rejects numbers below the highest of the scope as stale and not run", t, func() {
		g := NewGuard(2)
		g.Learn("d", 3)
		So(g.Check("d", 4), ShouldBeNil)
		err := g.Check("d", 3)
		So(code(err), ShouldEqual, problem.CodeStaleOrder)
		So(problem.From(err, problem.StepOrder).Run, ShouldEqual, problem.RunNot)
		So(g.Check("d", 4), ShouldBeNil)
	})
	Convey("A restarted guard rejects every order until it has learned the number", t, func() {
		g := NewGuard(2)
		applied := 0
		apply := func() error { applied++; return nil }
		So(code(g.Do("d", 9, apply)), ShouldEqual, problem.CodeStoreUnavailable)
		g.Learn("d", 10)
		So(code(g.Do("d", 9, apply)), ShouldEqual, problem.CodeStaleOrder)
		So(g.Do("d", 10, apply), ShouldBeNil)
		So(applied, ShouldEqual, 1)
	})
	Convey("An evicted scope has to be learned again", t, func() {
		g := NewGuard(2)
		g.Learn("a", 5)
		g.Learn("b", 5)
		So(g.Check("a", 5), ShouldBeNil)
		g.Learn("c", 5)
		So(g.Learned("b"), ShouldBeFalse)
		So(code(g.Check("b", 9)), ShouldEqual, problem.CodeStoreUnavailable)
		So(g.Check("a", 5), ShouldBeNil)
	})
}

// TestOrderOfScopeLearnedMeanwhile guards against two orders of a scope that are applied at the same
// time: the scope was learned between the first order's lock and its check, so the first one held
// no lock.
func TestOrderOfScopeLearnedMeanwhile(t *testing.T) {
	Convey("An order whose scope is learned while it waits is applied under the scope's lock, or not at all", t, func() {
		// Once a waiter of a mutex was overtaken after more than 1 ms, the mutex is handed over in
		// the order of arrival: to lockScope, then to Learn, then to Check.
		const waitForMutex = 20 * time.Millisecond
		g := NewGuard(2)
		pendingOrders := -1
		result := make(chan error)
		g.mu.Lock()
		go func() {
			result <- g.Do("d", 1, func() error {
				g.mu.Lock()
				defer g.mu.Unlock()
				pendingOrders = g.scopes["d"].pendingOrders
				return nil
			})
		}()
		time.Sleep(waitForMutex)
		learned := make(chan struct{})
		go func() {
			defer close(learned)
			g.Learn("d", 1)
		}()
		time.Sleep(waitForMutex)
		g.mu.Unlock()
		g.mu.Lock() // overtakes lockScope
		time.Sleep(waitForMutex)
		g.mu.Unlock()
		err := <-result
		<-learned
		if err == nil {
			So(pendingOrders, ShouldEqual, 1)
		}
	})
}

func TestConfigValidate(t *testing.T) {
	Convey("A config that cannot give a safe lease is not valid", t, func() {
		valid := Config{Scope: "d", Owner: "a"}.WithDefaults()
		So(valid.Validate(), ShouldBeNil)
		for _, change := range []func(*Config){
			func(c *Config) { c.Owner = "" },
			func(c *Config) { c.Margin = -1 },
			func(c *Config) { c.RenewInterval = c.Duration },
		} {
			broken := valid
			change(&broken)
			So(broken.Validate(), ShouldNotBeNil)
		}
	})
}
