// Package faultproxy is a TCP proxy for tests that injects network faults between two processes.
//
// A black hole holds bytes back and delivers them when it ends, as TCP does after a partition. It
// also holds back the end of a connection. Connections that are opened meanwhile are accepted,
// since the proxy takes the place of the server's listener.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Direction is a set of the directions of a connection.
type Direction uint8

// The two directions, and both together.
const (
	ToServer Direction = 1 << iota
	ToClient
	Both = ToServer | ToClient
)

const (
	dialTimeout    = 2 * time.Second
	listenAttempts = 50
	listenRetry    = 20 * time.Millisecond
)

// Cut breaks a connection after a number of bytes.
type Cut struct {
	// Direction is the direction whose bytes are counted.
	Direction Direction
	// AfterBytes is the number of bytes that are still forwarded. They are counted from the call of
	// ArmCut or the start of the connection, whichever is later.
	AfterBytes int64
	// Silent stops the connection for good in both directions and keeps it open, instead of
	// resetting it.
	Silent bool
	// EveryConnection cuts each connection, not only the first that reaches AfterBytes.
	EveryConnection bool
}

// Counters describes the traffic through a Proxy. Open is the number of connections that are open
// now. Duplicated is a number of chunks. All values except Open are totals since New.
type Counters struct {
	Accepted      int
	Open          int
	Cuts          int
	Duplicated    int
	BytesToServer int64
	BytesToClient int64
}

// directionState is the state of one direction, shared by all connections.
type directionState struct {
	gate      loopback.Gate
	delay     time.Duration
	duplicate int
	bytes     int64
	hold      *Hold
}

// Proxy forwards TCP connections to its target.
type Proxy struct {
	addr    string
	workers sync.WaitGroup

	mu       sync.Mutex
	target   string
	listener net.Listener
	// reserved keeps the port for the proxy while connections are refused.
	reserved *loopback.Reservation
	links    map[*link]struct{}
	states   map[Direction]*directionState
	halfOpen bool
	closed   bool
	cut      *Cut
	cutID    int
	counters Counters
}

// New returns a Proxy to target. The system chooses its loopback port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxy{
		addr:     listener.Addr().String(),
		target:   target,
		listener: listener,
		links:    make(map[*link]struct{}),
		states:   map[Direction]*directionState{ToServer: {}, ToClient: {}},
	}
	p.workers.Add(1)
	go p.accept(listener)
	return p, nil
}

// Addr returns the IP and port that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// Close resets all connections and waits until all goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	listener, reserved := p.listener, p.reserved
	p.listener, p.reserved = nil, nil
	p.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	if reserved != nil {
		_ = reserved.Close()
	}
	p.ResetAll()
	p.workers.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	defer p.workers.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.open(conn.(*net.TCPConn))
	}
}

// open starts to forward client, unless the proxy is closed.
func (p *Proxy) open(client *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		reset(client)
		return
	}
	p.counters.Accepted++
	l := &link{proxy: p, client: client, done: make(chan struct{}), frozen: make(chan struct{})}
	p.links[l] = struct{}{}
	p.workers.Add(1)
	if p.halfOpen {
		go l.discard()
		return
	}
	go l.run(p.target)
}

// remove removes l from the open links.
func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}
