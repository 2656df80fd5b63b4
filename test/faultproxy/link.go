package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readBytes = 16 << 10
	// queuedChunks bounds the chunks in transit in one direction.
	queuedChunks = 256
)

// link is one connection through the proxy.
type link struct {
	proxy  *Proxy
	client *net.TCPConn

	mu     sync.Mutex
	server *net.TCPConn
	closed bool
	done   chan struct{}

	// frozen is closed once by a silent cut. Only the bytes before the cut are forwarded
	// afterwards.
	freezeOnce sync.Once
	frozen     chan struct{}
}

// chunk is the data of one read, or the end of the sender's stream. It is forwarded at due.
type chunk struct {
	data []byte
	due  time.Time
	end  bool
	// broken is set if the sender reset the connection.
	broken bool
}

// discard keeps a half-open connection without forwarding it.
func (l *link) discard() {
	defer l.proxy.workers.Done()
	defer l.reset()
	// Reading is necessary to detect that the client closes the connection.
	_, _ = io.Copy(io.Discard, l.client)
}

// run connects to target and forwards in both directions until both have ended.
func (l *link) run(target string) {
	defer l.proxy.workers.Done()
	defer l.reset()
	if !l.dial(target) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Add(2)
	go func() {
		defer pumps.Done()
		l.pump(ToServer, l.client, l.server)
	}()
	go func() {
		defer pumps.Done()
		l.pump(ToClient, l.server, l.client)
	}()
	pumps.Wait()
	l.finish()
}

func (l *link) dial(target string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		return false
	}
	server := conn.(*net.TCPConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		reset(server)
		return false
	}
	l.server = server
	return true
}

// pump forwards one direction until its sender closes it or the link is reset.
func (l *link) pump(d Direction, from, to *net.TCPConn) {
	chunks := make(chan chunk, queuedChunks)
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		l.read(d, from, chunks)
	}()
	l.write(d, to, chunks)
	reader.Wait()
}

func (l *link) read(d Direction, from *net.TCPConn, chunks chan<- chunk) {
	buffer := make([]byte, readBytes)
	for {
		n, err := from.Read(buffer)
		due := time.Now().Add(l.proxy.delay(d))
		if n > 0 && !l.send(chunks, chunk{data: append([]byte(nil), buffer[:n]...), due: due}) {
			return
		}
		if err != nil {
			l.send(chunks, chunk{due: due, end: true, broken: err != io.EOF})
			return
		}
	}
}

func (l *link) send(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) write(d Direction, to *net.TCPConn, chunks <-chan chunk) {
	progress := &cutProgress{}
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-l.done:
			return
		}
		if !l.waitHold(d, c) || !l.waitToForward(d, c.due) {
			return
		}
		if c.broken {
			l.reset()
			return
		}
		if c.end {
			_ = to.CloseWrite()
			return
		}
		if !l.forward(d, to, progress, c.data) {
			return
		}
	}
}

// waitToForward waits until a chunk is due and no black hole holds it. It returns false if the
// link ended.
func (l *link) waitToForward(d Direction, due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.done:
			return false
		}
	}
	if !l.proxy.states[d].gate.Wait(l.done) {
		return false
	}
	select {
	case <-l.frozen:
		<-l.done
		return false
	default:
		return true
	}
}

func (l *link) forward(d Direction, to *net.TCPConn, m *cutProgress, data []byte) bool {
	plan := l.proxy.plan(d, m, data)
	if plan.cut != nil && plan.cut.Silent {
		// Freeze first, so that no reply to the last bytes is forwarded.
		l.freezeOnce.Do(func() { close(l.frozen) })
	}
	if _, err := to.Write(plan.data); err != nil {
		l.reset()
		return false
	}
	if plan.cut == nil {
		return true
	}
	if !plan.cut.Silent {
		l.reset()
		return false
	}
	<-l.done
	return false
}

// finish closes both sides after both directions have ended without an error.
func (l *link) finish() {
	l.close(func(c *net.TCPConn) { _ = c.Close() })
}

// reset resets both sides. It does nothing if the link has ended.
func (l *link) reset() { l.close(reset) }

func (l *link) close(end func(*net.TCPConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	close(l.done)
	end(l.client)
	if l.server != nil {
		end(l.server)
	}
	l.proxy.remove(l)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
