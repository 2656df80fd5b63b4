// Package workpool runs short tasks on a fixed number of workers with a bounded queue.
package workpool

import "sync"

// Pool is a fixed number of workers that run queued tasks. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	queue   chan func()
	closed  bool
	workers sync.WaitGroup
}

// New returns a Pool of the given number of workers with a queue of at most queued tasks.
func New(workers, queued int) *Pool {
	p := &Pool{queue: make(chan func(), queued)}
	for range workers {
		p.workers.Add(1)
		go p.work()
	}
	return p
}

func (p *Pool) work() {
	defer p.workers.Done()
	for task := range p.queue {
		task()
	}
}

// Submit queues a task. It returns false, without blocking, if the queue is
// full or the pool is closed.
func (p *Pool) Submit(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	select {
	case p.queue <- task:
		return true
	default:
		return false
	}
}

// Close stops the pool. It returns when the queued tasks have run and all workers have stopped.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.queue)
	}
	p.mu.Unlock()
	p.workers.Wait()
}
