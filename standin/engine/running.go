package engine

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/standin/loopback"
)

// Running is a Server on a port of its own, with the life of a process.
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

// Addr returns the IP and port of the engine, also while it is dead.
func (r *Running) Addr() string { return r.listener.Addr() }

// Kill resets all connections and loses all state. Connections are refused
// until Restart.
func (r *Running) Kill() {
	r.listener.Kill()
	r.Reset()
	r.gate.Open()
}

// Restart serves again on the same port after Kill. It does nothing to a live
// engine.
func (r *Running) Restart() error { return r.listener.Restart() }

// Pause stops all generating and answering; connections stay open.
func (r *Running) Pause() {
	r.gate.Close()
	r.listener.Pause()
}

// Continue ends a pause.
func (r *Running) Continue() {
	r.gate.Open()
	r.listener.Continue()
}

// Close ends the engine for good and waits for its goroutines.
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

// handleCrash is called by the stream that kills the engine.
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
		// A port that was taken in the meantime leaves the engine dead.
		_ = r.Restart()
	}
}
