package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamers is the number of consumers that ask for streams which may not run again.
	streamers = 64
	// Such a stream has streamEvents events, one each eventGap.
	streamEvents = 30
	eventGap     = 100 * time.Millisecond
	// moveDuration is duration_s of the order.
	moveDuration = 12
)

// caseCompleted orders that a service's traffic be moved to a good version. The platform stops the
// old runners as soon as the system says that the move is completed.
func caseCompleted(w *world) (bool, error) {
	once := route("once", "/once/", "streaming", "pool", 25000, 1, false)
	w.store.put("op", "config", configuration(1, oneTenant(key), append(routes(), once)...))
	old, err := w.runners("pool", 4, true, evenStream)
	if err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	all := old
	if w.trouble {
		for i := range 4 {
			r := &runner{id: fmt.Sprintf("i-pool-new-%d", i+1), service: "pool", version: "v2", engine: true, rec: w.rec, serve: evenStream}
			if err := r.serveAt("127.0.0.1:0"); err != nil {
				return false, err
			}
			all = append(all, r)
		}
		go moveService(w, old, all[len(old):])
	}
	var whole, lost atomic.Int64
	var wait sync.WaitGroup
	until := time.Now().Add(16 * time.Second)
	for range streamers {
		wait.Go(func() { streamOnKept(w, g, all, until, &whole, &lost) })
	}
	wait.Wait()
	w.rec.add("%d streams were answered whole; %d on kept channels were passed on to a sound runner and their channels closed without a complete answer", whole.Load(), lost.Load())
	return lost.Load() > 3, nil
}

// moveService does what the operator and the platform do: the new runners are started beside the
// old ones, the order is given, and at completed the old runners stop at once, without draining.
func moveService(w *world, old, fresh []*runner) {
	time.Sleep(2 * time.Second)
	for _, r := range fresh {
		go r.register(w.store, w.stop)
	}
	w.store.put("op", "rollout/pool", object{"service": "pool", "to": "v2", "duration_s": moveDuration})
	w.rec.add("the operator orders that pool be moved to v2 within %d s", moveDuration)
	for {
		time.Sleep(20 * time.Millisecond)
		switch state := w.store.moveState("pool"); state {
		case "completed":
			w.rec.add("status/rollout/pool says completed: the platform stops the old runners")
			for _, r := range old {
				r.crash()
			}
			return
		case "rolled_back":
			w.rec.add("status/rollout/pool says rolled_back")
			return
		}
	}
}

// moveState returns the state that the system has written of a service's move.
func (s *store) moveState(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status struct{ State string }
	if json.Unmarshal(s.rows[rowKey{"status", "", "rollout/" + service}].Value, &status) != nil {
		return ""
	}
	return status.State
}

// evenStream is a short stream of a model runner.
func evenStream(r *runner, q *asked) []byte { return streamOf(r, q, streamEvents) }

// streamOf sends a stream with events at even times.
func streamOf(r *runner, q *asked, events int) []byte {
	header := r.signed(q)
	header["Content-Type"] = "text/event-stream"
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for name, value := range header {
		text += name + ": " + value + "\r\n"
	}
	io.WriteString(q.conn, text+"\r\n")
	for i := 1; i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, q.id)
		if _, err := fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil
		}
		time.Sleep(eventGap)
	}
	return []byte("0\r\n\r\n")
}

// streamOnKept asks for streams on one channel, one after another, and on a new one after a cut. It
// counts those that were passed on and whose channel ended without a complete answer.
func streamOnKept(w *world, g *gateway, runners []*runner, until time.Time, whole, lost *atomic.Int64) {
	var c *channel
	for time.Now().Before(until) {
		var err error
		if c == nil {
			if c, err = open(g.front); err != nil {
				return
			}
		}
		id := newID()
		w.rec.add("consumer sends request %s (POST /once/7) on a kept channel", id)
		headers := "Wigeonfork-Model: m\r\nWigeonfork-Token-Count: 800,150\r\nWigeonfork-Prompt-Prefix: " + id + ":800\r\nContent-Length: 5\r\n"
		io.WriteString(c, head("POST", "/once/7", id, key, 25000, headers)+"draft")
		r := c.receive("POST", 26*time.Second)
		w.rec.add("consumer of %s gets %v", id, r)
		switch {
		case r.err == nil && r.status == 200:
			whole.Add(1)
		case r.err != nil && runsOf(runners, id) > 0:
			lost.Add(1)
			w.rec.add("LOST: request %s was passed on to a sound runner, and its channel closed without a complete answer", id)
		}
		if r.err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.Intn(300)) * time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}
