package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server identifies the destination of a request. It includes the ID, so that a connection is not
// used for the next server at the same address.
type Server struct {
	ID      string
	Address string
}

// Options configures a Pool. Zero values take the defaults.
type Options struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections kept for each server.
	MaxIdle int
	// MaxIdleTotal bounds the idle connections kept for all servers; 0 is no bound.
	MaxIdleTotal int
	// OnOpen is called for each connection that is opened.
	OnOpen func()
}

// Defaults of Options.
const (
	DefaultConnectTimeout = 300 * time.Millisecond
	DefaultIdleTimeout    = 5 * time.Second
	DefaultMaxIdle        = 16
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	if o.OnOpen == nil {
		o.OnOpen = func() {}
	}
	return o
}

// Pool keeps idle connections to backend servers for reuse. It is safe for concurrent use. The
// owner calls Expire regularly.
type Pool struct {
	options Options
	dialer  net.Dialer
	mu      sync.Mutex
	idle    map[Server][]*conn
	// idleTotal is the number of connections in idle.
	idleTotal int
}

// NewPool returns an empty Pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: -1},
		idle:    make(map[Server][]*conn),
	}
}

// get returns a connection and whether it came from the pool. fresh forbids one from the pool.
func (p *Pool) get(ctx context.Context, server Server, fresh bool) (*conn, bool, error) {
	for !fresh {
		c := p.take(server)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < p.options.IdleTimeout && c.reusable() {
			return c, true, nil
		}
		closeConn(c)
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, false, errors.Wrap(err, "connect")
	}
	p.options.OnOpen()
	return newConn(opened), false, nil
}

// Connect opens a connection and keeps it for a later request, unless maxIdle others are kept
// (see Request.MaxIdle). Success shows that the server's host is reachable.
func (p *Pool) Connect(ctx context.Context, server Server, maxIdle int) error {
	c, _, err := p.get(ctx, server, true)
	if err != nil {
		return err
	}
	p.put(server, c, maxIdle)
	return nil
}

func (p *Pool) take(server Server) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[server]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[server] = idle[:len(idle)-1]
	p.idleTotal--
	return last
}

func (p *Pool) put(server Server, c *conn, maxIdle int) {
	if maxIdle == 0 {
		maxIdle = p.options.MaxIdle
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[server]
	isFull := p.options.MaxIdleTotal > 0 && p.idleTotal >= p.options.MaxIdleTotal
	if isFull || len(idle) >= min(maxIdle, p.options.MaxIdle) {
		closeConn(c)
		return
	}
	p.idle[server] = append(idle, c)
	p.idleTotal++
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server Server) {
	p.mu.Lock()
	idle := p.idle[server]
	delete(p.idle, server)
	p.idleTotal -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		closeConn(c)
	}
}

// Expire closes the connections that were idle for IdleTimeout.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for server, idle := range p.idle {
		keep := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < p.options.IdleTimeout {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = keep
		}
	}
	p.idleTotal -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		closeConn(c)
	}
}

// Close closes all idle connections. It does not affect exchanges in progress.
func (p *Pool) Close() {
	p.Expire(time.Now().Add(p.options.IdleTimeout))
}

// closeConn closes a connection that is no longer used. An error has no effect on any request.
func closeConn(c *conn) { _ = c.Conn.Close() }
