package lease

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
)

// Listener is notified of changes of a lease. The methods are called by the goroutine that runs
// the Keeper and must not block.
type Listener interface {
	LeaseAcquired(number wigeonfork.FencingNumber)
	LeaseLost(number wigeonfork.FencingNumber)
}

// Clock is the clock of one process. Wait returns when d has passed or ctx has ended.
type Clock interface {
	Now() time.Time
	Wait(ctx context.Context, d time.Duration)
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// Wait waits for d or the end of ctx.
func (SystemClock) Wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Keeper runs a Holder over a table. Fencing is safe for concurrent use.
type Keeper struct {
	table    infra.Table
	clock    Clock
	listener Listener
	timeout  time.Duration

	mu     sync.Mutex
	holder *Holder
}

// NewKeeper returns a Keeper. It returns an error if config is not valid.
func NewKeeper(config Config, table infra.Table, clock Clock, listener Listener) (*Keeper, error) {
	holder, err := NewHolder(config)
	if err != nil {
		return nil, err
	}
	timeout := holder.config.RenewInterval
	return &Keeper{table: table, clock: clock, listener: listener, timeout: timeout, holder: holder}, nil
}

// Fencing returns the fencing number for an order that is sent now, and whether the lease is held.
// It must be called again before each order.
func (k *Keeper) Fencing() (wigeonfork.FencingNumber, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Holds(k.clock.Now())
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.handle(ctx, Tick{})
		k.clock.Wait(ctx, k.untilNextStep())
	}
	k.release(context.WithoutCancel(ctx))
}

// release releases the lease. It gives the table at most one lease duration to respond.
func (k *Keeper) release(ctx context.Context) {
	limit := k.clock.Now().Add(k.holder.config.Duration)
	k.handle(ctx, ReleaseRequested{})
	for !k.released() && k.clock.Now().Before(limit) {
		k.clock.Wait(ctx, k.untilNextStep())
		k.handle(ctx, Tick{})
	}
}

func (k *Keeper) released() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Released()
}

func (k *Keeper) untilNextStep() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	return k.holder.NextStep(now).Sub(now)
}

// handle passes event to the holder, then the results of the actions that follow from it.
func (k *Keeper) handle(ctx context.Context, event Event) {
	queue := []Event{event}
	for len(queue) > 0 {
		actions := k.step(queue[0])
		queue = queue[1:]
		for _, action := range actions {
			if result := k.perform(ctx, action); result != nil {
				queue = append(queue, result)
			}
		}
	}
}

func (k *Keeper) step(event Event) []Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Step(k.clock.Now(), event)
}

// perform performs one action and returns the event with its result, or nil.
func (k *Keeper) perform(ctx context.Context, action Action) Event {
	switch a := action.(type) {
	case Read:
		callCtx, cancel := context.WithTimeout(ctx, k.timeout)
		defer cancel()
		row, err := k.table.Get(callCtx, a.Key)
		return ReadDone{Row: row, Err: err}
	case Commit:
		callCtx, cancel := context.WithTimeout(ctx, k.timeout)
		defer cancel()
		commit, err := k.table.Commit(callCtx, a.Transaction)
		return CommitDone{OperationID: a.Transaction.OperationID, Commit: commit, Err: err}
	case Acquired:
		k.listener.LeaseAcquired(a.Fencing)
	case Lost:
		k.listener.LeaseLost(a.Fencing)
	}
	return nil
}
