package main

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// caseOddEntry writes an entry without the field sequence to the list of runners, as another
// writer may. Its address is that of another program, which answers every request with a page of
// its own.
func caseOddEntry(w *world) (bool, error) {
	w.store.put("op", "config", configuration(1, oneTenant(key), routes()...))
	runners, err := w.runners("plain", 3, false, works(15*time.Millisecond))
	if err != nil {
		return false, err
	}
	g, err := w.gateway("front-a-1")
	if err != nil {
		return false, err
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	var reached atomic.Int64
	go http.Serve(other, http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		reached.Add(1)
		w.rec.add("the other program gets %s %s, request %s, tenant %q, body %q, and answers with its page", r.Method, r.URL.Path,
			r.Header.Get("Wigeonfork-Request-Id"), r.Header.Get("Wigeonfork-Tenant"), body)
		io.WriteString(out, "<html>another program</html>")
	}))
	if w.trouble {
		time.AfterFunc(2*time.Second, func() {
			w.rec.add("the other writer writes servers/other-1 without the field sequence")
			w.store.put("servers", "other-1", object{
				"service": "plain", "address": other.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6,
				"state": "ready", "cold_remaining_ms": 0,
			})
		})
	}
	var broken, notRun atomic.Int64
	sent := orders(8, 8*time.Second).run(w, g, func(id string, r *result) {
		if isMixed(runners, id, r) {
			broken.Add(1)
			if runsOf(runners, id) == 0 {
				notRun.Add(1)
			}
		}
	})
	w.rec.add("%d orders sent; %d successes without a runner's signature, %d of them for orders that no runner ran; %d requests reached the other program",
		sent, broken.Load(), notRun.Load(), reached.Load())
	return broken.Load() > 0, nil
}
