package command

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/httpserver"
)

const (
	// writeTimeout bounds one write to an entry.
	writeTimeout = 5 * time.Second
	// displacedTimeout bounds a blocked write to an entry that another one has
	// displaced, because that write delays the new entry's tokens.
	displacedTimeout = 100 * time.Millisecond
)

// reader sends the frames of a session to one entry. The goroutine that produces
// the tokens also sends them. The reader's own goroutine sends heartbeats, the end
// and tokens that could not be sent at once.
type reader struct {
	session *session.Session
	header  http.Header
	load    func() frame.Load
	number  uint64
	wake    chan struct{}

	// mu guards the fields below. It is held during writes to the entry.
	mu    sync.Mutex
	out   *httpserver.StreamWriter
	from  wigeonfork.Position
	frame frame.Frame
	buf   []byte
	// lastFlush is the time of the last flush, lastLoadSent the time at which the
	// load was last added to a frame.
	lastFlush    time.Time
	lastLoadSent time.Time
	done         bool
}

// newReader returns a reader that starts at position from. limit bounds each write.
func newReader(out http.ResponseWriter, s *session.Session, from wigeonfork.Position, load func() frame.Load, limit time.Duration) *reader {
	r := &reader{session: s, load: load, header: out.Header(), out: httpserver.NewStreamWriter(out, limit), from: from, wake: make(chan struct{}, 1)}
	r.wake <- struct{}{}
	return r
}

// serve attaches to the session and sends its frames. It returns when the
// generation ends, the entry disconnects or another reader displaces this one.
func (r *reader) serve(ctx context.Context) {
	r.mu.Lock()
	r.number = r.session.Attach(r.wake, r.push)
	// Flushing the header shows the entry that the agent is reachable, before
	// there is a token.
	r.header.Set(agentapi.HeaderReader, strconv.FormatUint(r.number, 10))
	r.done = r.flush() != nil
	r.mu.Unlock()
	defer func() {
		r.close()
		r.session.Detach(r.number, time.Now())
	}()
	r.run(ctx)
}

// run sends frames until a final frame was sent, a write fails or ctx ends.
func (r *reader) run(ctx context.Context) {
	heartbeat := time.NewTimer(agentapi.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-r.wake:
			r.lock()
			r.sendAvailable()
		case <-heartbeat.C:
			r.lock()
			heartbeat.Reset(r.heartbeat())
		case <-ctx.Done():
			return
		}
		done := r.done
		r.mu.Unlock()
		if done {
			return
		}
	}
}

// lock locks mu. If a write holds it and the reader is displaced, lock shortens the
// write's deadline.
func (r *reader) lock() {
	if r.mu.TryLock() {
		return
	}
	if r.session.Displaced(r.number) {
		r.out.AbortWriteAfter(displacedTimeout)
	}
	r.mu.Lock()
}

// push sends the new frames. If another goroutine holds the lock, push wakes the
// reader's goroutine to send them.
func (r *reader) push() {
	if r.mu.TryLock() {
		r.sendAvailable()
		done := r.done
		r.mu.Unlock()
		if !done {
			return
		}
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// close makes later pushes do nothing, because the response must not be used after
// the handler has returned.
func (r *reader) close() {
	r.lock()
	r.done = true
	r.mu.Unlock()
}

// sendAvailable sends all new frames and flushes them. The caller holds r.mu.
func (r *reader) sendAvailable() {
	sent := false
	for !r.done && r.session.Next(r.number, r.from, &r.frame) {
		sent = true
		r.from += wigeonfork.Position(len(r.frame.Tokens))
		r.addLoad()
		r.done = r.send() != nil || r.frame.Kind != frame.KindTokens
	}
	if sent && r.flush() != nil {
		r.done = true
	}
}

// heartbeat sends a heartbeat if nothing was sent for the heartbeat interval. It
// returns the time until the next check. The caller holds r.mu.
func (r *reader) heartbeat() time.Duration {
	if wait := agentapi.HeartbeatInterval - time.Since(r.lastFlush); wait > 0 || r.done {
		return wait
	}
	r.session.Heartbeat(&r.frame)
	r.addLoad()
	if r.send() != nil || r.flush() != nil {
		r.done = true
	}
	return agentapi.HeartbeatInterval
}

// addLoad adds the engine's load to the frame at most once per LoadInterval, so
// that the entry need not poll the agent.
func (r *reader) addLoad() {
	if now := time.Now(); now.Sub(r.lastLoadSent) >= agentapi.LoadInterval {
		r.lastLoadSent = now
		r.frame.Load = r.load()
	}
}

func (r *reader) send() error {
	r.buf = frame.Append(r.buf[:0], &r.frame)
	_, err := r.out.Write(r.buf)
	return err
}

func (r *reader) flush() error {
	r.lastFlush = time.Now()
	return r.out.Flush()
}
