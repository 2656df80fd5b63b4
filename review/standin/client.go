package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"time"
)

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a consumer's request.
func head(method, path, id, key string, deadlineMs int, more string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nWigeonfork-Request-Id: %s\r\nWigeonfork-Deadline-Ms: %d\r\n", method, path, id, deadlineMs)
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	return text + more + "\r\n"
}

// result is what a consumer gets.
type result struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is not complete.
	err error
}

func (r *result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	text := r.body
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return fmt.Sprintf("status %d, signature %q, request id %q, %d bytes of body %q, error %v", r.status,
		r.header.Get("Wigeonfork-Response-Signature"), r.header.Get("Wigeonfork-Request-Id"), len(r.body), text, r.err)
}

// channel is a consumer's connection.
type channel struct {
	net.Conn
	in *bufio.Reader
}

func open(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// receive reads one answer.
func (c *channel) receive(method string, wait time.Duration) *result {
	c.SetReadDeadline(time.Now().Add(wait))
	answer, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return &result{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	return &result{status: answer.StatusCode, header: answer.Header, body: string(body), err: err}
}

// exchange sends one request on a new channel and reads its answer.
func exchange(rec *record, addr, method, path, id, key string, deadlineMs int, more, body string) *result {
	rec.add("consumer sends request %s (%s %s, %d bytes of body)", id, method, path, len(body))
	c, err := open(addr)
	if err != nil {
		rec.add("consumer of %s: %v", id, err)
		return &result{err: err}
	}
	defer c.Close()
	if body != "" {
		more += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head(method, path, id, key, deadlineMs, more)+body); err != nil {
		rec.add("consumer of %s: %v", id, err)
		return &result{err: err}
	}
	r := c.receive(method, time.Duration(deadlineMs)*time.Millisecond+time.Second)
	rec.add("consumer of %s gets %v", id, r)
	return r
}
