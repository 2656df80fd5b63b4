package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// mode is what the callers of a crowd send.
type mode struct {
	name string
	// heads are the beginnings of heads; caller n sends that with index n modulo their number.
	heads []head
}

// head is the beginning of a head, and what follows it.
type head struct {
	first string
	// next returns the piece with index n of what follows.
	next func(n int) string
	// bytes are sent on each of so many connections, in bytes.
	bytes, connections int
	// pause is the time after each piece.
	pause time.Duration
	// last is sent after these bytes. answers is set if the caller then reads the answer.
	last    string
	answers bool
	// kept is the number of connections that a caller keeps open at the end; 0 means its last one.
	kept int
	// isUpload puts the head of an upload to the listener before first.
	isUpload bool
}

const requestLine = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"

func repeated(text string) func(int) string {
	piece := strings.Repeat(text, 1+1024/len(text))
	return func(int) string { return piece }
}

// shortLines are short lines that all differ, which take many times their size once they are read.
func shortLines(n int) string { return fmt.Sprintf("%x:\r\n", n) }

func stopping(first string, next func(int) string, last ...string) head {
	return head{first: first, next: next, bytes: slowHeadBytes, connections: 1, pause: slowPause, last: strings.Join(last, "")}
}

func flooding(first string, next func(int) string) head {
	return head{first: first, next: next, bytes: floodBytes, connections: floodConnections}
}

var modes = []mode{
	{"one line that stops below the limit", []head{stopping(requestLine+"A: ", repeated("x"))}},
	{"short lines that stop below the limit", []head{stopping(requestLine, shortLines)}},
	{"a target that stops below the limit", []head{stopping("GET /", repeated("x"))}},
	{"heads over the limit", []head{{first: requestLine, next: repeated("A: b\r\n"), bytes: 2 * maxHeaderBytes, connections: floodConnections, last: "\r\n", answers: true}}},
	{"lines without end", []head{flooding(requestLine, shortLines)}},
	{"target without end", []head{flooding("GET /", repeated("x"))}},
	{"version without end", []head{flooding("GET / HTTP/1.1", repeated("1"))}},
	{"a body that doesn't come", []head{stopping("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000\r\nA: ", repeated("x"), "\r\n\r\n")}},
	{"empty lines without end", []head{flooding("", repeated("\r\n"))}},
}

// mixed has callers of each mode.
var mixed = mix(modes)

func mix(all []mode) mode {
	m := mode{name: "all of them"}
	for _, other := range all {
		m.heads = append(m.heads, other.heads...)
	}
	return m
}

// bodyBytes is the announced size of a body that is held back, and sentBytes is what its caller sends of it.
const (
	bodyBytes = 900_000
	sentBytes = 800_000
)

// answered is a request that each HTTP listener answers and after which it keeps the connection.
const answered = "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n"

func silent(sent string) head {
	return head{first: sent, connections: keptConnections, kept: keptConnections}
}

func heldBack(first string, next func(int) string) head {
	return head{isUpload: true, first: first, next: next, bytes: sentBytes, connections: 1}
}

// listenerModes are what the clients of a listener send beside modes.
var listenerModes = []mode{
	{"empty lines before a later request", []head{flooding(answered, repeated("\r\n"))}},
	{"short lines of a later request that stop below the limit", []head{stopping(answered+requestLine, shortLines)}},
	{"bodies held back", []head{heldBack(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), repeated("x"))}},
	{"chunks held back", []head{heldBack(fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes), repeated("x"))}},
	{"connections that send nothing", []head{silent("")}},
	{"half a request line", []head{silent("GET /saf")}},
	{"short bodies held back", []head{{isUpload: true, first: "Content-Length: 1000\r\n\r\n", connections: keptConnections, kept: keptConnections}}},
}

// messageModes are what the clients of a listener for control messages send.
var messageModes = []mode{
	{"a message held back", []head{heldBack(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"id":"`, repeated("x"))}},
	{"a field held back that nobody reads", []head{heldBack(fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+`{"unknown":[`, repeated("{},"))}},
	{"lines without end before a message", []head{flooding("", repeated("A: b\r\n"))}},
	{"one line without end before a message", []head{flooding("", repeated("x"))}},
	{"empty messages", []head{flooding("", repeated("Content-Length: 2\r\n\r\n{}"))}},
	{"connections that send nothing", []head{silent("")}},
	{"half a line", []head{silent("Content-Le")}},
	{"heads of HTTP requests", []head{stopping(requestLine, shortLines)}},
}

// crowd is a number of callers. Each keeps its last connections open until all have sent what they send.
type crowd struct {
	callers int
	address string
	// upload is the head of an upload that the listener takes, without its last lines.
	upload string
	mode   mode
	// arrived is called once all callers have sent what they send, while their last connections are open.
	arrived func(*testing.T)
}

func (c *crowd) run(t *testing.T) {
	conns := make([][]net.Conn, c.callers)
	var wait sync.WaitGroup
	for i := range conns {
		wait.Go(func() { conns[i] = c.mode.heads[i%len(c.mode.heads)].send(c.address, c.upload) })
	}
	wait.Wait()
	c.arrived(t)
	for _, conn := range slices.Concat(conns...) {
		conn.Close()
	}
}

// send sends the head on each of its connections and returns those that are open. A refused connection is one of them.
func (h head) send(address, upload string) (open []net.Conn) {
	if h.isUpload {
		h.first = upload + h.first
	}
	for range h.connections {
		if len(open) == max(h.kept, 1) {
			awaitEnd(open[0])
			open = open[1:]
		}
		conn, err := net.DialTimeout("tcp", address, patience)
		if err != nil {
			continue
		}
		open = append(open, conn)
		// The process may refuse the head and close.
		_ = h.write(conn)
	}
	return open
}

// awaitEnd ends a connection and waits until the gateway has ended it too. What was written may wait in the buffers of the
// socket, so that the gateway would otherwise have as many connections as it is slow.
func awaitEnd(conn net.Conn) {
	defer conn.Close()
	// Errors mean that the gateway has ended the connection.
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

const (
	// pieceBytes is the size of one write in bytes.
	pieceBytes = 2 << 10
	// slowPause is the time between two writes of a head that is sent slowly, so that the gateway has read it before the
	// caller leaves.
	slowPause = 5 * time.Millisecond
)

func (h head) write(conn net.Conn) error {
	if _, err := io.WriteString(conn, h.first); err != nil {
		return err
	}
	var piece bytes.Buffer
	for n, sent := 0, 0; sent < h.bytes; {
		for piece.Reset(); piece.Len() < pieceBytes; n++ {
			piece.WriteString(h.next(n))
		}
		sent += piece.Len()
		if _, err := conn.Write(piece.Bytes()); err != nil {
			return err
		}
		time.Sleep(h.pause)
	}
	if _, err := io.WriteString(conn, h.last); err != nil || !h.answers {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}
