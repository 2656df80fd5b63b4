package lease

import (
	"sync"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
)

// DefaultGuardScopes is the default number of scopes that a Guard keeps.
const DefaultGuardScopes = 1024

// Guard rejects orders whose fencing number is lower than one seen before in the same scope. After
// a start of the process it also rejects all orders of a scope until Learn is called for it. Learn
// takes the number in the lease row or the one that the backend server reports. The number must
// have been requested after the start of the process.
//
// A Guard is safe for concurrent use. Orders of one scope must be applied one after another, each
// with Do.
type Guard struct {
	mu     sync.Mutex
	limit  int
	uses   uint64
	scopes map[string]*guardScope
}

type guardScope struct {
	applying      sync.Mutex
	number        wigeonfork.FencingNumber
	lastUse       uint64
	pendingOrders int
}

// NewGuard returns a Guard that keeps up to limit scopes, and more while orders run in them. Above
// the limit it evicts the least recently used scope, whose number then has to be learned again.
func NewGuard(limit int) *Guard {
	return &Guard{limit: max(limit, 1), scopes: make(map[string]*guardScope)}
}

// Learn records that scope has reached number. A number below the highest known has no effect.
func (g *Guard) Learn(scope string, number wigeonfork.FencingNumber) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.scopes[scope]
	if s == nil {
		g.evict()
		s = &guardScope{}
		g.scopes[scope] = s
	}
	g.markUsed(s)
	s.number = max(s.number, number)
}

// Learned reports whether the number of scope is known, so that its orders can be checked.
func (g *Guard) Learned(scope string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scopes[scope] != nil
}

// Highest returns the highest number known for scope, or 0.
func (g *Guard) Highest(scope string) wigeonfork.FencingNumber {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.scopes[scope]; s != nil {
		return s.number
	}
	return 0
}

// Check returns nil and records the number if an order with number may be applied in scope.
// Otherwise it returns a *problem.Error that states that the order was not run.
func (g *Guard) Check(scope string, number wigeonfork.FencingNumber) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.scopes[scope]
	if s == nil {
		return errNotLearned(scope)
	}
	g.markUsed(s)
	if number < s.number {
		return problem.New(problem.CodeStaleOrder, problem.RunNot, problem.StepOrder,
			"fencing number %d of scope %q is older than %d", number, scope, s.number)
	}
	s.number = number
	return nil
}

func errNotLearned(scope string) error {
	return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepOrder,
		"the fencing number of scope %q has not been learned since the start", scope)
}

// Do checks the number and runs apply if the order may be applied. No other Do of the scope runs
// between the check and the end of apply.
func (g *Guard) Do(scope string, number wigeonfork.FencingNumber, apply func() error) error {
	s := g.lockScope(scope)
	if s == nil {
		return errNotLearned(scope)
	}
	defer g.unlockScope(s)
	if err := g.Check(scope, number); err != nil {
		return err
	}
	return apply()
}

// lockScope waits until no other order of the scope runs. A scope with running or waiting orders
// is not evicted. It returns nil at once for a scope that has not been learned.
func (g *Guard) lockScope(scope string) *guardScope {
	g.mu.Lock()
	s := g.scopes[scope]
	if s != nil {
		s.pendingOrders++
	}
	g.mu.Unlock()
	if s != nil {
		s.applying.Lock()
	}
	return s
}

func (g *Guard) unlockScope(s *guardScope) {
	s.applying.Unlock()
	g.mu.Lock()
	s.pendingOrders--
	g.mu.Unlock()
}

func (g *Guard) markUsed(s *guardScope) {
	g.uses++
	s.lastUse = g.uses
}

func (g *Guard) evict() {
	if len(g.scopes) < g.limit {
		return
	}
	var oldest string
	var oldestUse uint64
	for scope, s := range g.scopes {
		if s.pendingOrders > 0 {
			continue
		}
		if oldest == "" || s.lastUse < oldestUse {
			oldest, oldestUse = scope, s.lastUse
		}
	}
	delete(g.scopes, oldest)
}
