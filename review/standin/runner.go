package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// asked is a request that has reached a runner.
type asked struct {
	*http.Request
	id, body string
	// conn is the connection, for runners that answer by hand.
	conn net.Conn
}

// runner is a stand-in of a model runner or a plain back end. Its answers are made by serve,
// which returns the bytes to send, or nil to close the connection.
type runner struct {
	id, service, addr string
	version           string
	zone              string
	slots             int
	engine            bool
	rec               *record
	serve             func(r *runner, q *asked) []byte

	listener net.Listener
	crashed  chan struct{}
	mu       sync.Mutex
	ran      map[string]int
	conns    map[net.Conn]bool
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// start starts the runner at a free port and registers it in the store, with heartbeats.
func (r *runner) start(s *store, stop <-chan struct{}) error {
	if err := r.serveAt("127.0.0.1:0"); err != nil {
		return err
	}
	go r.register(s, stop)
	return nil
}

// serveAt makes the runner serve at an address. It is not registered by that.
func (r *runner) serveAt(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.listener, r.addr = listener, listener.Addr().String()
	r.crashed, r.ran, r.conns = make(chan struct{}), map[string]int{}, map[net.Conn]bool{}
	if r.zone == "" {
		r.zone = "zone-a"
	}
	if r.slots == 0 {
		r.slots = 64
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.handle(conn)
		}
	}()
	return nil
}

// register writes the runner's entry at each heartbeat, until it crashes. Three heartbeats after
// the last one the store removes the entry.
func (r *runner) register(s *store, stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		s.put("servers", r.id, map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": born,
		})
		if sequence == 1 {
			r.rec.add("runner %s of service %s is registered at %s", r.id, r.service, r.addr)
		}
		written := time.Now()
		select {
		case <-ticker.C:
		case <-r.crashed:
			time.Sleep(time.Until(written.Add(3 * heartbeat)))
			s.remove("servers", r.id)
			r.rec.add("the store has removed the entry of %s", r.id)
			return
		case <-stop:
			return
		}
	}
}

// crash ends the runner for good, as the end of its process does.
func (r *runner) crash() {
	r.listener.Close()
	close(r.crashed)
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	r.rec.add("runner %s has crashed", r.id)
}

func (r *runner) handle(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		q := &asked{Request: request, id: request.Header.Get("Wigeonfork-Request-Id"), body: string(body), conn: conn}
		answer := r.answer(q)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer handles what all runners have in common: reports, health and the check of the instance.
func (r *runner) answer(q *asked) []byte {
	switch {
	case q.URL.Path == "/report" && r.engine:
		return httpAnswer(200, map[string]string{"Content-Type": "application/json"},
			`{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":88000,"handles":0}`)
	case q.URL.Path == "/kv-events" && r.engine:
		return httpAnswer(200, map[string]string{"Content-Type": "application/json"}, `{"epoch":1,"next":0,"lost":false,"events":[]}`)
	case q.URL.Path == "/health":
		return httpAnswer(200, map[string]string{"Wigeonfork-Instance-Id": r.id}, "")
	}
	if target := q.Header.Get("Wigeonfork-Target-Instance"); target != "" && target != r.id {
		return httpAnswer(421, map[string]string{"Wigeonfork-Instance-Id": r.id, "Wigeonfork-Not-Executed": "1"}, "")
	}
	if q.id == "" {
		return httpAnswer(400, map[string]string{"Wigeonfork-Not-Executed": "1"}, "")
	}
	r.mu.Lock()
	r.ran[q.id]++
	r.mu.Unlock()
	r.rec.add("runner %s runs request %s (%s %s, %d bytes of body, tenant %q)", r.id, q.id, q.Method, q.URL.Path, len(q.body), q.Header.Get("Wigeonfork-Tenant"))
	return r.serve(r, q)
}

// runs returns how often a request has run here.
func (r *runner) runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// signed returns the headers of a runner's answer to a request.
func (r *runner) signed(q *asked) map[string]string {
	return map[string]string{
		"Wigeonfork-Request-Id": q.id, "Wigeonfork-Response-Signature": signature(r.id, q.id), "Wigeonfork-Instance-Id": r.id,
		"Wigeonfork-Instance-Load": fmt.Sprintf("1,0,%d", r.slots), "Content-Type": "text/plain",
	}
}

// signature is the MAC of a runner's answer.
func signature(runner, request string) string { return runner + "." + request }

// httpAnswer returns the bytes of an answer with a length.
func httpAnswer(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}
