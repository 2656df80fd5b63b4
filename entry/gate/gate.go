// Package gate decides at an entry which requests may run now: admission by
// class and workspace, quarantine of requests that crash engines, and budgets
// of retries. It guards the deterministic decision types with one lock that is
// not held over I/O.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/quarantine"
	"github.com/wigeonfork/wigeonfork/retry"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// tickInterval is the time between two looks at the queue.
const tickInterval = 20 * time.Millisecond

// Options describe a gate.
type Options struct {
	Seed    uint64
	Policy  admission.Policy
	Metrics telemetry.Registry
}

// Gate is safe for concurrent use.
type Gate struct {
	metrics telemetry.Registry

	mu           sync.Mutex
	admission    *admission.Controller
	waiting      map[wigeonfork.RequestID]chan admission.Decision
	retryBudgets *retry.Budgets
	quarantine   *quarantine.Detector
	changed      chan struct{}
}

// New returns a gate without capacity; see SetCapacity.
func New(options Options) *Gate {
	return &Gate{
		metrics:      options.Metrics,
		admission:    admission.New(admission.Options{Seed: options.Seed, Policy: options.Policy}),
		waiting:      map[wigeonfork.RequestID]chan admission.Decision{},
		retryBudgets: retry.NewBudgets(retry.Options{Seed: options.Seed}),
		quarantine:   quarantine.New(quarantine.Options{}),
		changed:      make(chan struct{}, 1),
	}
}

// SetCapacity sets the number of requests that this entry may run at once and
// the number of engines that it sees.
func (g *Gate) SetCapacity(now time.Time, capacity float64, engines int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetCapacity(capacity)
	g.quarantine.SetServerCount(engines)
	g.tick(now)
}

// Enter returns when the request may run, or its refusal, which says that it
// was not run. Leave must follow if it may run.
func (g *Gate) Enter(ctx context.Context, request admission.Request) *problem.Error {
	decision, wake := g.offer(time.Now(), request)
	if decision.Action == admission.Queue {
		select {
		case decision = <-wake:
		case <-ctx.Done():
			g.withdraw(request.ID)
			return problem.New(problem.CodeTooLate, problem.RunNot, problem.StepAdmit, "caller went away while queued")
		}
	}
	if decision.Action == admission.Refuse {
		telemetry.Counter(g.metrics, "gate.refused_"+decision.Reason.String()).Inc(1)
		return decision.Problem()
	}
	return nil
}

func (g *Gate) offer(now time.Time, request admission.Request) (admission.Decision, <-chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.admission.Offer(now, request)
	if decision.Action != admission.Queue {
		return decision, nil
	}
	wake := make(chan admission.Decision, 1)
	g.waiting[request.ID] = wake
	return decision, wake
}

// withdraw takes back a request whose caller went away while it was queued.
func (g *Gate) withdraw(id wigeonfork.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.admission.Release(time.Now(), id)
}

// Leave ends a request that was let in.
func (g *Gate) Leave(id wigeonfork.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.admission.Release(now, id)
	g.tick(now)
}

// Run looks after the queue until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.mu.Lock()
			g.tick(now)
			g.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// tick hands due decisions to the requests that wait for them.
func (g *Gate) tick(now time.Time) {
	for _, decision := range g.admission.Tick(now) {
		if wake, ok := g.waiting[decision.ID]; ok {
			delete(g.waiting, decision.ID)
			wake <- decision
		}
	}
}

// Stats returns the present counts for dumps.
func (g *Gate) Stats() (admission.Stats, quarantine.Stats) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats(), g.quarantine.Stats()
}
