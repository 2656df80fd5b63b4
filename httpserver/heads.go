package httpserver

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/memquota"
)

const (
	// headByteCost is the number of bytes that are counted in the quota for each byte of a head, and headLineCost the number
	// that is counted for each line in addition.
	headByteCost = 2
	headLineCost = 128
	// readAhead is the number of bytes that the server may read beyond the end of a head.
	readAhead = 4 << 10
	// While memory for heads is short, each read of a head longer than memquota.SmallBytes is followed by a wait of
	// largeTurnTime. At most largeTurns heads wait at the same time, and the others queue. When the buffer of a head grows,
	// its old copy becomes garbage: the waits give the garbage collector time to free these.
	largeTurns    = 8
	largeTurnTime = time.Millisecond
	// maxLingering bounds the number of connections that are still read after a refusal, for callers that read the answer only
	// after they have sent the whole request. Further connections are closed at once.
	maxLingering = 16
	// lingerTime and lingerBytes bound how long, and for how many bytes, such a connection is read.
	lingerTime  = 5 * time.Second
	lingerBytes = 16 << 20
	// lingerPiece bytes are read of it at a time, with lingerPause after each, so that a caller that keeps sending does not
	// use much processor time.
	lingerPiece = 32 << 10
	lingerPause = time.Millisecond
	// answerTimeout bounds the write of a refusal.
	answerTimeout = 500 * time.Millisecond
)

// HeadRefusal is why a head was refused before it was complete.
type HeadRefusal string

// The refusals.
const (
	// HeadTooLarge means that the head exceeds the limit. The answer is 431.
	HeadTooLarge HeadRefusal = "too_large"
	// HeadEvicted means that incomplete heads held too many bytes, and that this one had the greatest product of bytes held
	// and time since its first byte among those of its address. The answer is 503: the request has not run.
	HeadEvicted HeadRefusal = "evicted"
	// HeadTooSlow means that the head took too long while memory was short. The answer is 408: the request has not run.
	HeadTooSlow HeadRefusal = "too_slow"
	// HeadNoMemory means that the quota had no room for the head. The answer is 503: the request has not run.
	HeadNoMemory HeadRefusal = "no_memory"
)

// refusedAnswers are the answers to refused heads.
var refusedAnswers = map[HeadRefusal]string{
	HeadTooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	HeadEvicted:  "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	HeadTooSlow:  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	HeadNoMemory: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// errHeadRefused ends the read of a head that is refused.
var errHeadRefused = errors.New("the head of the request is refused")

// HeadGuard counts the heads of callers' requests in a quota from the first byte to the end of the request, and ends those
// that are too large or hold too much. It takes the place of the limit of http.Server, which can't follow a configuration.
// Configure must be called for a server before it serves the Listener.
type HeadGuard struct {
	quota *memquota.Quota
	// maxHead returns the present limit on a head in bytes.
	maxHead   func() int64
	onRefused func(HeadRefusal)
	lingering chan struct{}
	turns     chan struct{}

	mu    sync.Mutex
	heads *memquota.Heads
	conns map[*memquota.Head]*headConn
}

// NewHeadGuard returns a guard whose incomplete heads hold at most incomplete bytes of the quota.
func NewHeadGuard(quota *memquota.Quota, incomplete int64, maxHead func() int64, onRefused func(HeadRefusal)) *HeadGuard {
	return &HeadGuard{
		quota: quota, maxHead: maxHead, onRefused: onRefused, lingering: make(chan struct{}, maxLingering),
		turns: make(chan struct{}, largeTurns), heads: memquota.NewHeads(incomplete), conns: make(map[*memquota.Head]*headConn),
	}
}

// Listener returns a listener whose connections are guarded.
func (g *HeadGuard) Listener(inner net.Listener) net.Listener {
	return &headListener{Listener: inner, guard: g}
}

// Incomplete returns the bytes that incomplete heads hold.
func (g *HeadGuard) Incomplete() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.Held()
}

func (g *HeadGuard) isShort() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.Short()
}

// Configure makes a server leave the limit on heads to the guard, and tell it of its connections.
func (g *HeadGuard) Configure(server *http.Server) {
	server.MaxHeaderBytes = math.MaxInt32
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		g.observe(conn, state)
		if next != nil {
			next(conn, state)
		}
	}
}

// observe follows the state of a connection.
func (g *HeadGuard) observe(conn net.Conn, state http.ConnState) {
	c, isGuarded := conn.(*headConn)
	if !isGuarded {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.beginHead()
	case http.StateActive:
		c.completeHead()
	default:
		c.endHead()
	}
}

// EndOverdue refuses the heads whose first bytes arrived longer than limit ago, if memory for heads is short.
func (g *HeadGuard) EndOverdue(now time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuseLocked(g.heads.EndOverdue(now, limit), HeadTooSlow)
}

// refuseLocked records why heads are refused, and ends the reads that wait for their next bytes. The lock must be held.
func (g *HeadGuard) refuseLocked(heads []*memquota.Head, reason HeadRefusal) {
	for _, h := range heads {
		c := g.conns[h]
		delete(g.conns, h)
		c.refused = reason
		// The reader then writes the answer. This fails only if the connection is closed, which needs no answer.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// headListener accepts guarded connections.
type headListener struct {
	net.Listener
	guard *HeadGuard
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		address = conn.RemoteAddr().String()
	}
	return &headConn{Conn: conn, guard: l.guard, address: address}, nil
}

// headConn is a guarded connection.
type headConn struct {
	net.Conn
	guard   *HeadGuard
	address string
	// reading is set while a head is read.
	reading atomic.Bool
	// hold counts the head until the request ends, and received the bytes of the head.
	hold     *memquota.Hold
	received int64
	// answered is set once the answer to a refused head was written.
	answered atomic.Bool

	// head and refused are guarded by the guard's lock. head is nil while no head is incomplete.
	head    *memquota.Head
	refused HeadRefusal
}

// Unwrap returns the connection below one that a HeadGuard may have accepted.
func Unwrap(conn net.Conn) net.Conn {
	if c, isGuarded := conn.(*headConn); isGuarded {
		return c.Conn
	}
	return conn
}

// CloseWrite closes the sending direction. It returns an error if the connection can't close one direction alone.
func (c *headConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection can't close one direction alone")
	}
	return half.CloseWrite()
}

// beginHead counts what is read from now on as a head.
func (c *headConn) beginHead() {
	c.endHead()
	c.guard.mu.Lock()
	c.head = memquota.NewHead(c.address)
	c.guard.mu.Unlock()
	c.hold = c.guard.quota.Begin(memquota.CallerHead, c.address)
	c.received = 0
	c.reading.Store(true)
}

// completeHead ends the count of what is read. The head is held until the request ends.
func (c *headConn) completeHead() {
	c.reading.Store(false)
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.head == nil {
		return
	}
	g.heads.End(c.head)
	delete(g.conns, c.head)
	c.head = nil
	if c.refused != "" && !c.answered.Load() {
		// The head was complete before the refusal took effect, so the request is served.
		c.refused = ""
		_ = c.SetReadDeadline(time.Time{})
	}
}

// endHead releases the head.
func (c *headConn) endHead() {
	c.completeHead()
	c.hold.End()
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	if !c.reading.Load() {
		return c.Conn.Read(p)
	}
	if reason := c.refusal(); reason != "" {
		return 0, c.answer(reason)
	}
	n, err := c.Conn.Read(p)
	reason := c.refusal()
	if reason == "" && n > 0 {
		reason = c.count(p[:n])
	}
	if reason == "" && c.received > memquota.SmallBytes {
		reason = c.awaitTurn()
	}
	if reason != "" {
		return 0, c.answer(reason)
	}
	return n, err
}

// awaitTurn slows a large head down while memory for heads is short. It returns why the head was refused meanwhile, or an
// empty string.
func (c *headConn) awaitTurn() HeadRefusal {
	if !c.guard.isShort() {
		return ""
	}
	c.guard.turns <- struct{}{}
	time.Sleep(largeTurnTime)
	<-c.guard.turns
	return c.refusal()
}

// refusal returns why the head was refused, or an empty string.
func (c *headConn) refusal() HeadRefusal {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.refused
}

// count counts bytes of a head. It returns why the head is refused, or an empty string.
func (c *headConn) count(data []byte) HeadRefusal {
	c.received += int64(len(data))
	if c.received > c.guard.maxHead()+readAhead {
		return HeadTooLarge
	}
	cost := headByteCost*int64(len(data)) + headLineCost*int64(bytes.Count(data, []byte{'\n'}))
	if err := c.hold.Grow(cost); err != nil {
		return HeadNoMemory
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.refused != "" {
		return c.refused
	}
	g.conns[c.head] = c
	g.refuseLocked(g.heads.Grow(c.head, time.Now(), cost), HeadEvicted)
	return c.refused
}

// answer writes the answer to a refused head. It returns a net.OpError of a read, upon which http.Server
// writes no answer of its own.
func (c *headConn) answer(reason HeadRefusal) error {
	if !c.answered.Swap(true) {
		c.guard.onRefused(reason)
		// A caller that doesn't read its answer, or has left, gets none.
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
		_, _ = io.WriteString(c.Conn, refusedAnswers[reason])
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRefused}
}

// Close implements net.Conn. After a refusal the connection is read for a while before it is closed, since a caller that
// still sends would otherwise get a reset in place of the answer. While memory for heads is short it is closed at once.
func (c *headConn) Close() error {
	if !c.answered.Load() || c.guard.isShort() {
		return c.Conn.Close()
	}
	select {
	case c.guard.lingering <- struct{}{}:
		go c.linger()
		return nil
	default:
		return c.Conn.Close()
	}
}

// linger reads the connection within lingerTime and lingerBytes, then closes it.
func (c *headConn) linger() {
	defer func() { <-c.guard.lingering }()
	// Errors mean that the caller has left.
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	for range lingerBytes / lingerPiece {
		if _, err := io.CopyN(io.Discard, c.Conn, lingerPiece); err != nil {
			break
		}
		time.Sleep(lingerPause)
	}
	_ = c.Conn.Close()
}
