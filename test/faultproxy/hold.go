package faultproxy

// Hold is a breakpoint for one connection in one direction. It stops the connection before the
// matching bytes, so that a test can act at that point.
type Hold struct {
	direction Direction
	matches   func(data []byte) bool
	reached   chan struct{}
	released  chan struct{}
}

// Reached is closed as soon as the matching bytes have arrived and are held.
func (h *Hold) Reached() <-chan struct{} { return h.reached }

// Hold arms a hold for the next chunk that matches. It replaces an earlier hold in that direction.
// A chunk is the data of one read from the sender. Other connections continue. The caller must
// call Release.
func (p *Proxy) Hold(direction Direction, matches func(data []byte) bool) *Hold {
	h := &Hold{direction: direction, matches: matches, reached: make(chan struct{}), released: make(chan struct{})}
	states := p.statesOf(direction)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range states {
		l.hold = h
	}
	return h
}

// Release forwards the held bytes and disarms the hold. It must be called exactly once.
func (p *Proxy) Release(h *Hold) {
	states := p.statesOf(h.direction)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range states {
		if l.hold == h {
			l.hold = nil
		}
	}
	close(h.released)
}

// matchHold returns the hold that data must wait for, or nil. A hold matches once.
func (p *Proxy) matchHold(d Direction, data []byte) *Hold {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.states[d].hold
	if h == nil || !h.matches(data) {
		return nil
	}
	for _, l := range p.states {
		if l.hold == h {
			l.hold = nil
		}
	}
	close(h.reached)
	return h
}

// waitHold waits while c is held. It returns false if the link ended.
func (l *link) waitHold(d Direction, c chunk) bool {
	h := l.proxy.matchHold(d, c.data)
	if h == nil {
		return true
	}
	select {
	case <-h.released:
		return true
	case <-l.done:
		return false
	}
}
