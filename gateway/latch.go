package gateway

import (
	"sync"
	"sync/atomic"
)

// latch opens once each of several steps is done. It is safe for concurrent use.
type latch struct {
	opened chan struct{}
	once   []sync.Once
	left   atomic.Int32
}

// newLatch returns a latch for n steps, numbered from 0.
func newLatch(n int) *latch {
	l := &latch{opened: make(chan struct{}), once: make([]sync.Once, n)}
	l.left.Store(int32(n))
	return l
}

// mark records that a step is done. Later calls for it have no effect.
func (l *latch) mark(step int) {
	l.once[step].Do(func() {
		if l.left.Add(-1) == 0 {
			close(l.opened)
		}
	})
}

// isOpen reports whether all steps are done.
func (l *latch) isOpen() bool {
	select {
	case <-l.opened:
		return true
	default:
		return false
	}
}
