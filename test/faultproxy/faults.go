package faultproxy

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// SetTarget sends later connections to target.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// ResetAll resets all open connections on both sides.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
}

// SetBlackHole holds back, or lets go on, all bytes in the given directions.
func (p *Proxy) SetBlackHole(directions Direction, on bool) {
	for _, l := range p.statesOf(directions) {
		if on {
			l.gate.Shut()
		} else {
			l.gate.Open()
		}
	}
}

// SetDelay delays all later bytes in the given directions.
func (p *Proxy) SetDelay(directions Direction, delay time.Duration) {
	states := p.statesOf(directions)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range states {
		l.delay = delay
	}
}

// DuplicateNext repeats the bytes of the next n chunks in the given
// directions. A chunk is what one read from the sender brings.
func (p *Proxy) DuplicateNext(directions Direction, n int) {
	states := p.statesOf(directions)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range states {
		l.duplicate = n
	}
}

// ArmCut sets the cut, in place of an earlier one.
func (p *Proxy) ArmCut(cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = &cut
	p.cutID++
}

// DisarmCut takes the cut off.
func (p *Proxy) DisarmCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
}

// SetHalfOpen makes later connections open without ever being forwarded.
func (p *Proxy) SetHalfOpen(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halfOpen = on
}

// RefuseConnections makes the system refuse new connections; open ones go on.
func (p *Proxy) RefuseConnections() {
	p.mu.Lock()
	listener := p.listener
	p.listener = nil
	p.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close()
	reserved, err := loopback.Reserve(p.addr)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = reserved
}

// AcceptConnections ends Refuse.
func (p *Proxy) AcceptConnections() error {
	var err error
	for range listenAttempts {
		err = p.listenAgain()
		if err == nil {
			return nil
		}
		time.Sleep(listenRetry)
	}
	return errors.Wrap(err, "listen again")
}

func (p *Proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := p.listen()
	if err != nil {
		return err
	}
	p.listener = listener
	p.workers.Add(1)
	go p.accept(listener)
	return nil
}

// listen listens on the proxy's port again. p.mu is held.
func (p *Proxy) listen() (net.Listener, error) {
	if p.reserved == nil {
		return net.Listen("tcp", p.addr)
	}
	reserved := p.reserved
	p.reserved = nil
	return reserved.Listen()
}

// Counters returns what was counted so far.
func (p *Proxy) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	counters := p.counters
	counters.Open = len(p.links)
	counters.BytesToServer = p.states[ToServer].bytes
	counters.BytesToClient = p.states[ToClient].bytes
	return counters
}

func (p *Proxy) statesOf(directions Direction) []*directionState {
	var states []*directionState
	for _, d := range []Direction{ToServer, ToClient} {
		if directions&d != 0 {
			states = append(states, p.states[d])
		}
	}
	return states
}
