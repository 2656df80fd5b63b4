package gateway

import (
	"context"
	"sync"
	"time"
)

// maxUnsaved bounds the items of a saveQueue; more are not stored.
const maxUnsaved = 256

// saveQueue holds what waits to be saved in the store. It is safe for concurrent use.
type saveQueue[T any] struct {
	mu     sync.Mutex
	items  []T
	wakeup chan struct{}
}

func newSaveQueue[T any]() *saveQueue[T] {
	return &saveQueue[T]{wakeup: make(chan struct{}, 1)}
}

// add queues an item, unless maxUnsaved others wait.
func (q *saveQueue[T]) add(item T) {
	q.mu.Lock()
	if len(q.items) < maxUnsaved {
		q.items = append(q.items, item)
	}
	q.mu.Unlock()
	notify(q.wakeup)
}

func (q *saveQueue[T]) first() (item T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return item, false
	}
	return q.items[0], true
}

func (q *saveQueue[T]) dropFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = q.items[1:]
}

// saveAll saves the items of a queue until the gateway ends. It retries each until the store accepts
// it, so save must be idempotent. name is that of the dependency in the log.
func saveAll[T any](g *Gateway, name string, q *saveQueue[T], save func(context.Context, T) error) {
	store := g.newDependency(name)
	for {
		item, ok := q.first()
		if !ok {
			select {
			case <-q.wakeup:
				continue
			case <-g.background.Done():
				return
			}
		}
		err := g.callStore(func(ctx context.Context) error { return save(ctx, item) })
		if err != nil {
			if !g.pause(store.recordFailure(time.Now(), err)) {
				return
			}
			continue
		}
		store.recordSuccess(time.Now())
		q.dropFirst()
	}
}

// restoreWhileIsolated restores what the store keeps at the start, and again while no known peer is
// live that could report it, until the gateway ends. step is the one of g.restored that the first
// success marks.
func (g *Gateway) restoreWhileIsolated(name string, step int, restore func(context.Context) error) {
	store := g.newDependency(name)
	for {
		if err := g.callStore(restore); err != nil {
			if !g.pause(store.recordFailure(time.Now(), err)) {
				return
			}
			continue
		}
		store.recordSuccess(time.Now())
		g.restored.mark(step)
		if !g.awaitIsolation() {
			return
		}
	}
}

// awaitIsolation waits until no known peer is live. It returns false if the gateway is stopped.
func (g *Gateway) awaitIsolation() bool {
	for g.pause(isolatedReadInterval) {
		if g.gossip.isolated(time.Now()) {
			return true
		}
	}
	return false
}

// callStore makes a call to the store within storeReadTimeout.
func (g *Gateway) callStore(call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(g.background, storeReadTimeout)
	defer cancel()
	return call(ctx)
}
