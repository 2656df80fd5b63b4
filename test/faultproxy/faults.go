package faultproxy

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// SetTarget makes later connections go to target. Open connections continue.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// ResetAll sends a TCP reset to both sides of all open connections.
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

// SetBlackHole holds back all bytes in the given directions while on is set. Held bytes are
// delivered once it is switched off.
func (p *Proxy) SetBlackHole(directions Direction, on bool) {
	for _, l := range p.statesOf(directions) {
		if on {
			l.gate.Close()
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

// DuplicateNext sends the bytes of the next n chunks in the given directions twice. A chunk is
// the data of one read from the sender.
func (p *Proxy) DuplicateNext(directions Direction, n int) {
	states := p.statesOf(directions)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range states {
		l.duplicate = n
	}
}

// ArmCut sets the cut. It replaces an earlier one.
func (p *Proxy) ArmCut(cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = &cut
	p.cutID++
}

// DisarmCut removes the cut. Connections that were cut silently stay so.
func (p *Proxy) DisarmCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
}

// SetHalfOpen makes the proxy accept later connections without forwarding them, while on is set.
func (p *Proxy) SetHalfOpen(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.halfOpen = on
}

// RefuseConnections closes the listener, so that the kernel refuses new connections. Open
// connections continue.
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

// AcceptConnections listens again after RefuseConnections. It retries while the port is in use.
func (p *Proxy) AcceptConnections() error {
	var err error
	for range listenAttempts {
		err = p.listenAgain()
		if err == nil {
			return nil
		}
		time.Sleep(listenRetry)
	}
	return errors.Wrap(err, "listen on the port again")
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

// Counters returns a snapshot of the counters.
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
