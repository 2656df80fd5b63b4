package engine

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Running is a Server on its own port that can be killed, paused and restarted like a process.
type Running struct {
	*Server
	listener *loopback.Server

	mu           sync.Mutex
	restartTimer *time.Timer
	closed       bool
}

// Start serves a new engine on addr, such as 127.0.0.1:0.
func Start(addr string, options Options) (*Running, error) {
	server := New(options)
	r := &Running{Server: server}
	server.onCrash = r.handleCrash
	listener, err := loopback.Start(addr, server.Handler())
	if err != nil {
		server.Close()
		return nil, err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	return r, nil
}

// Addr returns the IP and port of the engine, even while it is dead.
func (r *Running) Addr() string { return r.listener.Addr() }

// Kill resets all connections and discards the engine's state. Connections are refused until
// Restart.
func (r *Running) Kill() {
	r.listener.Kill()
	r.Reset()
	r.gate.Open()
}

// Restart serves again on the same port after Kill. It does nothing to a live engine.
func (r *Running) Restart() error { return r.listener.Restart() }

// Pause stops all generation and blocks all reads and writes. Connections stay open.
func (r *Running) Pause() {
	r.gate.Close()
	r.listener.Pause()
}

// Continue ends a pause.
func (r *Running) Continue() {
	r.gate.Open()
	r.listener.Continue()
}

// Close ends the engine permanently and waits for its goroutines.
func (r *Running) Close() {
	r.mu.Lock()
	r.closed = true
	if r.restartTimer != nil {
		r.restartTimer.Stop()
	}
	r.mu.Unlock()
	r.listener.Close()
	r.gate.Open()
	r.Server.Close()
}

// handleCrash is called by the stream that kills the engine. It schedules the restart.
func (r *Running) handleCrash(restartAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.Kill()
	if restartAfter > 0 {
		r.restartTimer = time.AfterFunc(restartAfter, r.restartUnlessClosed)
	}
}

func (r *Running) restartUnlessClosed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		// If the port is in use by now, the engine stays dead.
		_ = r.Restart()
	}
}
