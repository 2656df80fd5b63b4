package engine

import (
	"container/heap"
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
)

type versionKey struct {
	model   wigeonfork.Model
	version wigeonfork.Version
}

// incarnation is the state of an engine between two restarts. Server.mu guards its mutable fields
// except running.
type incarnation struct {
	id      string
	ctx     context.Context
	cancel  context.CancelFunc
	started time.Time
	running atomic.Int64

	streams  map[string]*stream
	queue    waiters
	sequence uint64
	// versions holds the loaded versions with true and the loading ones with false.
	versions map[versionKey]bool
	// fencing holds the highest fencing number seen in each scope.
	fencing map[string]wigeonfork.FencingNumber
	cache   *prefixCache
	report  backend.LoadReport
}

// newIncarnation creates the next incarnation. It is called with s.mu held, or before s is shared.
func (s *Server) newIncarnation() *incarnation {
	s.incarnations++
	ctx, cancel := context.WithCancel(context.Background())
	options := s.options.Load()
	inc := &incarnation{
		id:       strconv.Itoa(s.incarnations) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		ctx:      ctx,
		cancel:   cancel,
		started:  time.Now(),
		streams:  make(map[string]*stream),
		versions: make(map[versionKey]bool),
		fencing:  make(map[string]wigeonfork.FencingNumber),
		cache:    newPrefixCache(),
	}
	for _, v := range options.Versions {
		inc.versions[versionKey{v.Model, v.Version}] = true
	}
	return inc
}

// waiter is a stream that waits for a slot.
type waiter struct {
	priority int
	sequence uint64
	granted  chan struct{}
	index    int
}

// waiters is a heap of waiters, ordered by highest priority and then by arrival.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].sequence < w[j].sequence
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return x
}

// enqueue adds a waiter. Server.mu is held.
func (inc *incarnation) enqueue(priority int, options *Options) *waiter {
	inc.sequence++
	w := &waiter{priority: priority, sequence: inc.sequence, granted: make(chan struct{})}
	heap.Push(&inc.queue, w)
	inc.grant(options)
	return w
}

// grant gives free slots to the first waiters. Server.mu is held.
func (inc *incarnation) grant(options *Options) {
	for len(inc.queue) > 0 && int(inc.running.Load()) < options.slots() {
		w := heap.Pop(&inc.queue).(*waiter)
		inc.running.Add(1)
		close(w.granted)
	}
}

// acquire waits for a slot. It returns false if ctx ended first.
func (s *Server) acquire(ctx context.Context, inc *incarnation, w *waiter) bool {
	select {
	case <-w.granted:
		s.log.recordConcurrency(int(inc.running.Load()))
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.granted:
		s.releaseLocked(inc)
	default:
		heap.Remove(&inc.queue, w.index)
	}
	return false
}

func (s *Server) release(inc *incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(inc)
}

func (s *Server) releaseLocked(inc *incarnation) {
	inc.running.Add(-1)
	inc.grant(s.options.Load())
}
