package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// caseReuse lets a model runner crash for good. After reuse_after_s its address goes to a runner of
// another service, which no configuration names. That runner registers itself half a heartbeat
// after it has begun to serve.
func caseReuse(w *world) (bool, error) {
	const reuseAfter = 2 * time.Second
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	runners, err := w.runners("pool", 7, true, shortStream)
	if err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	var foreign atomic.Int64
	other := &runner{id: "i-other-1", service: "other-pool", version: "v1", engine: true, rec: w.rec}
	other.serve = func(r *runner, q *asked) []byte {
		foreign.Add(1)
		w.rec.add("ROUTE: request %s of service pool is run by service other-pool", q.id)
		return shortStream(r, q)
	}
	go func() {
		addr := "127.0.0.1:0"
		if w.trouble {
			time.Sleep(2 * time.Second)
			runners[0].crash()
			time.Sleep(reuseAfter + 100*time.Millisecond)
			addr = runners[0].addr
		}
		if err := other.serveAt(addr); err != nil {
			w.rec.add("the other runner can't serve: %v", err)
			return
		}
		w.rec.add("runner %s of service other-pool serves at %s", other.id, other.addr)
		time.Sleep(heartbeat / 2)
		other.register(w.store, w.stop)
	}()
	var served atomic.Int64
	sent := drafts(24, 9*time.Second).run(w, g, func(_ string, r *result) {
		if r.status == 200 && r.err == nil {
			served.Add(1)
		}
	})
	w.rec.add("%d drafts asked for, %d served; %d were run by the other service", sent, served.Load(), foreign.Load())
	return foreign.Load() > 0, nil
}

// shortStream is a stream of a model runner: the prompt takes a second, then come three events.
func shortStream(r *runner, q *asked) []byte {
	time.Sleep(time.Second)
	header := r.signed(q)
	header["Content-Type"] = "text/event-stream"
	text := ""
	for i := 1; i <= 3; i++ {
		text += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, q.id)
	}
	return httpAnswer(200, header, text)
}
