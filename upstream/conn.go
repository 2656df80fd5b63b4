// Package upstream sends HTTP/1.1 requests to backend servers. It sends each request at most once
// and reports for each failure whether any byte may have been sent. The client of net/http does
// neither and may resend a request by itself.
package upstream

import (
	"bufio"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/wigeonfork/wigeonfork/sockpeek"
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// maxHeadBytes bounds the head of a response in bytes, with the informational ones before it. A head
// has no length, so only this ends one that a failing server goes on sending.
const maxHeadBytes = 256 << 10

// freeHeadBytes is the part of a head that is not counted by Request.GrowHead, in bytes.
const freeHeadBytes = 16 << 10

// headFactor is the number of bytes that are held for each byte of a head, at most.
const headFactor = 2

// ErrHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// readingHead is set while the head of a response is read, and headLeft is the number of
	// bytes that it may still have.
	readingHead bool
	headLeft    int
	// growHead is the GrowHead of the request whose head is read.
	growHead func(int64) error
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c}
	n.reader = bufio.NewReaderSize(n, readBufferSize)
	return n
}

// beginHead bounds what is read until endHead, and counts it by grow.
func (c *conn) beginHead(grow func(int64) error) {
	c.readingHead, c.headLeft, c.growHead = true, maxHeadBytes, grow
}

func (c *conn) endHead() { c.readingHead, c.growHead = false, nil }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLarge
	}
	if c.growHead != nil && maxHeadBytes-c.headLeft >= freeHeadBytes {
		if err := c.growHead(headFactor * int64(len(p))); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	return n, err
}

// reusable reports whether an idle connection is open and has received no data. Data that arrives
// on an idle connection belongs to no request, so the connection can't be used any more.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := sockpeek.Peek(c.Conn)
	return state == sockpeek.Quiet || state == sockpeek.Unknown
}

// unacknowledged returns the number of bytes that were sent and that the peer has not acknowledged. It is 0 if that isn't
// known. A peer that ends the connection without a reset has acknowledged what it received.
func (c *conn) unacknowledged() int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var bytes int
	var queryErr error
	err = raw.Control(func(fd uintptr) { bytes, queryErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil || queryErr != nil {
		return 0
	}
	return bytes
}

// abort closes the connection at once. What was written and has not arrived is discarded, so that it
// doesn't reach the server later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	closeConn(c)
}
