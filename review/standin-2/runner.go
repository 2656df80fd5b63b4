//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// numEvents is the number of events in each stream.
const numEvents = 40

// runnerProcess is a model runner. It prints each run to standard output. Its streams have neither a length nor chunks, so
// that they end with their connection.
type runnerProcess struct {
	id       string
	born     int64
	prefill  time.Duration
	eventGap time.Duration

	mu sync.Mutex
}

// serveRunner runs a model runner until the process is killed.
func serveRunner(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "id of the runner")
	address := flags.String("address", "127.0.0.1:0", "address to listen on")
	prefill := flags.Duration("prefill", 300*time.Millisecond, "time before the first event")
	gap := flags.Duration("gap", 50*time.Millisecond, "time between two events")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &runnerProcess{id: *id, born: time.Now().UnixMilli(), prefill: *prefill, eventGap: *gap}
	fmt.Printf("listening %s\n", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// say prints a line on a run.
func (r *runnerProcess) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves the requests of one connection.
func (r *runnerProcess) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with the answer.
func (r *runnerProcess) answer(conn net.Conn, request *http.Request) bool {
	switch request.URL.Path {
	case "/health":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nWigeonfork-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		return true
	case "/report":
		body := fmt.Sprintf(`{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"running":1,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`, r.born)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	case "/kv-events":
		body := `{"epoch":1,"next":0,"lost":false,"events":[]}`
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	}
	id := request.Header.Get("Wigeonfork-Request-Id")
	if target := request.Header.Get("Wigeonfork-Target-Instance"); target != "" && target != r.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nWigeonfork-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
		return true
	}
	if request.Header.Get("Kv-From") != "" {
		// This runner keeps no copies.
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nWigeonfork-Request-Id: %s\r\nWigeonfork-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	r.stream(conn, request, id)
	return false
}

// stream answers with the events after Last-Event-Id, and closes the connection behind the last one.
func (r *runnerProcess) stream(conn net.Conn, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.say("run %s at %s from event %d", id, r.id, last+1)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWigeonfork-Request-Id: %s\r\nWigeonfork-Response-Signature: %s.%s\r\nWigeonfork-Instance-Load: 1,0,64\r\nConnection: close\r\n\r\n", id, r.id, id)
	time.Sleep(r.prefill)
	for event := last + 1; event <= numEvents; event++ {
		if _, err := io.WriteString(conn, eventText(id, event)); err != nil {
			r.say("run %s at %s is left at event %d", id, r.id, event)
			return
		}
		time.Sleep(r.eventGap)
	}
	r.say("run %s at %s is complete", id, r.id)
}

// eventText returns an event of the stream of a request.
func eventText(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", event, id, event)
}
