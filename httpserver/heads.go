package httpserver

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/intake"
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

// Why a head is refused before it is complete.
const (
	// HeadTooLarge means that the head exceeds the limit. The answer is 431.
	HeadTooLarge intake.Refusal = "too_large"
	// HeadEvicted means that incomplete heads held too many bytes, and that this one had the greatest product of bytes held
	// and time since its first byte among those of its address. The answer is 503: the request has not run.
	HeadEvicted intake.Refusal = "evicted"
	// HeadTooSlow means that the head took too long while memory was short. The answer is 408: the request has not run.
	HeadTooSlow intake.Refusal = "too_slow"
	// HeadNoMemory means that the quota had no room for the head. The answer is 503: the request has not run.
	HeadNoMemory intake.Refusal = "no_memory"
)

// refusedAnswers are the answers to refused heads.
var refusedAnswers = map[intake.Refusal]string{
	HeadTooLarge: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	HeadEvicted:  "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	HeadTooSlow:  "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	HeadNoMemory: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// errHeadRefused ends the read of a head that is refused.
var errHeadRefused = errors.New("the head of the request is refused")

// Guard counts what the peers of one listener make the process hold, from the first byte to the end of each request: it counts
// connections, heads and bodies in the account of the process, and ends those that exceed its limits. It takes the place of the
// limit on heads of http.Server, which can't follow a configuration. Configure must be called for a server before it serves the
// Listener.
type Guard struct {
	intake *intake.Guard
	quota  *memquota.Quota
	// maxHead returns the present limit on a head in bytes.
	maxHead func() int64
	// onRefused is called with the peer's address for each head that is refused.
	onRefused func(reason intake.Refusal, address string)
	lingering chan struct{}
	turns     chan struct{}

	mu    sync.Mutex
	heads *memquota.Heads
	conns map[*memquota.Head]*guardedConn
}

// DefaultMaxHead returns the limit on heads of listeners without a configuration, in bytes.
func DefaultMaxHead() int64 { return maxHeaderBytes }

// NewGuard returns the guard of a listener. maxHead returns the limit on a head in bytes.
func NewGuard(of *intake.Guard, maxHead func() int64) *Guard {
	g := newGuard(of, of.Memory(), of.IncompleteLimit(), maxHead)
	of.ReportIncomplete(g.Incomplete)
	return g
}

// newGuard is NewGuard with a quota, and a number of bytes of it for incomplete heads.
func newGuard(of *intake.Guard, quota *memquota.Quota, incomplete int64, maxHead func() int64) *Guard {
	return &Guard{
		intake: of, quota: quota, maxHead: maxHead, onRefused: of.RefusedHead, lingering: make(chan struct{}, maxLingering),
		turns: make(chan struct{}, largeTurns), heads: memquota.NewHeads(incomplete), conns: make(map[*memquota.Head]*guardedConn),
	}
}

// Listener returns a listener whose connections are guarded.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &guardedListener{Listener: g.intake.Listener(inner), guard: g}
}

// Incomplete returns the bytes that incomplete heads hold.
func (g *Guard) Incomplete() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.Held()
}

func (g *Guard) isShort() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heads.Short()
}

// EndOverdue refuses the heads whose first bytes arrived longer than limit ago, if memory for heads is short.
func (g *Guard) EndOverdue(now time.Time, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuseLocked(g.heads.EndOverdue(now, limit), HeadTooSlow)
}

// refuseLocked records why heads are refused, and ends the reads that wait for their next bytes. The lock must be held.
func (g *Guard) refuseLocked(heads []*memquota.Head, reason intake.Refusal) {
	for _, h := range heads {
		c := g.conns[h]
		delete(g.conns, h)
		c.refused = reason
		// The reader then writes the answer. This fails only if the connection is closed, which needs no answer.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// guardedListener accepts guarded connections.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn.(*intake.Conn), guard: l.guard}, nil
}

// guardedConn is a guarded connection.
type guardedConn struct {
	*intake.Conn
	guard *Guard
	// reading is set while a head is read.
	reading atomic.Bool
	// hold counts the head until the request ends, and received the bytes of the head.
	hold     *memquota.Hold
	received int64
	// body counts the body of the request, or is nil. Only the request's handler uses it.
	body *memquota.Hold
	// answered is set once the answer to a refused head was written.
	answered atomic.Bool

	// head and refused are guarded by the guard's lock. head is nil while no head is incomplete.
	head    *memquota.Head
	refused intake.Refusal
}

// Unwrap returns the connection below one that a Guard may have accepted.
func Unwrap(conn net.Conn) net.Conn {
	for {
		outer, isWrapped := conn.(interface{ NetConn() net.Conn })
		if !isWrapped {
			return conn
		}
		conn = outer.NetConn()
	}
}

// CloseWrite closes the sending direction. It returns an error if the connection can't close one direction alone.
func (c *guardedConn) CloseWrite() error {
	half, ok := c.NetConn().(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection can't close one direction alone")
	}
	return half.CloseWrite()
}

// beginHead counts what is read from now on as a head.
func (c *guardedConn) beginHead() {
	c.endHead()
	c.guard.mu.Lock()
	c.head = memquota.NewHead(c.Address())
	c.guard.mu.Unlock()
	c.hold = c.guard.quota.Begin(memquota.CallerHead, c.Address())
	c.received = 0
	c.reading.Store(true)
}

// completeHead ends the count of what is read. The head is held until the request ends.
func (c *guardedConn) completeHead() {
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
func (c *guardedConn) endHead() {
	c.completeHead()
	c.hold.End()
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
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
func (c *guardedConn) awaitTurn() intake.Refusal {
	if !c.guard.isShort() {
		return ""
	}
	c.guard.turns <- struct{}{}
	time.Sleep(largeTurnTime)
	<-c.guard.turns
	return c.refusal()
}

// refusal returns why the head was refused, or an empty string.
func (c *guardedConn) refusal() intake.Refusal {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.refused
}

// count counts bytes of a head. It returns why the head is refused, or an empty string.
func (c *guardedConn) count(data []byte) intake.Refusal {
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
func (c *guardedConn) answer(reason intake.Refusal) error {
	if !c.answered.Swap(true) {
		c.guard.onRefused(reason, c.Address())
		// A caller that doesn't read its answer, or has left, gets none.
		_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
		_, _ = io.WriteString(c.Conn, refusedAnswers[reason])
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRefused}
}

// Close implements net.Conn. After a refusal the connection is read for a while before it is closed, since a caller that
// still sends would otherwise get a reset in place of the answer. While memory for heads is short it is closed at once.
func (c *guardedConn) Close() error {
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
func (c *guardedConn) linger() {
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
