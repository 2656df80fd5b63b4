// Package gate decides at an entry which requests may run: admission by class and workspace,
// quarantine of requests that crash engines, and retry budgets. One lock protects the deterministic
// decision types. It is not held during I/O.
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

// tickInterval is the time between two passes over the queue.
const tickInterval = 20 * time.Millisecond

// Options configure a gate.
type Options struct {
	Seed    uint64
	Policy  admission.Policy
	Metrics telemetry.Registry
}

// Gate combines admission, quarantine and retry budgets. It is safe for concurrent use.
type Gate struct {
	metrics telemetry.Registry

	mu        sync.Mutex
	admission *admission.Controller
	// waiting holds, for each queued request, the channel that receives its decision.
	waiting      map[wigeonfork.RequestID]chan admission.Decision
	retryBudgets *retry.Budgets
	quarantine   *quarantine.Detector
	changed      chan struct{}
}

// New returns a gate without capacity. See SetCapacity.
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

// SetCapacity sets the number of requests that this entry may run at once and the number of engines
// in its view.
func (g *Gate) SetCapacity(now time.Time, capacity float64, engines int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.SetCapacity(capacity)
	g.quarantine.SetServerCount(engines)
	g.tick(now)
}

// Enter waits until the request may run and returns nil, or returns a refusal, which states that it
// was not run. If the request may run, Leave must follow.
func (g *Gate) Enter(ctx context.Context, request admission.Request) *problem.Error {
	decision, decisions := g.offer(time.Now(), request)
	if decision.Action == admission.Queue {
		select {
		case decision = <-decisions:
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
	decisions := make(chan admission.Decision, 1)
	g.waiting[request.ID] = decisions
	return decision, decisions
}

// withdraw removes a request whose caller disconnected while it was queued.
func (g *Gate) withdraw(id wigeonfork.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	g.admission.Release(time.Now(), id)
}

// Leave ends an admitted request.
func (g *Gate) Leave(id wigeonfork.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.admission.Release(now, id)
	g.tick(now)
}

// Run processes the queue until ctx ends.
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

// tick delivers due decisions to the requests that wait for them. The caller holds the lock.
func (g *Gate) tick(now time.Time) {
	for _, decision := range g.admission.Tick(now) {
		if decisions, ok := g.waiting[decision.ID]; ok {
			delete(g.waiting, decision.ID)
			decisions <- decision
		}
	}
}

// Stats returns the current counts for dumps.
func (g *Gate) Stats() (admission.Stats, quarantine.Stats) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Stats(), g.quarantine.Stats()
}
