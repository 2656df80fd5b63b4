package loopback

import "sync"

// Gate blocks its waiters while it is closed. The zero Gate is open.
type Gate struct {
	mu sync.Mutex
	// opened is nil while the gate is open. Open closes the channel.
	opened chan struct{}
}

// Close makes later calls of Wait block.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// Open releases all waiters.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// Wait returns true once the gate is open, or false once done is closed.
func (g *Gate) Wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return true
		}
		select {
		case <-opened:
		case <-done:
			return false
		}
	}
}
