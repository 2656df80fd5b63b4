// Package upstream sends HTTP/1.1 requests to backend servers. It sends each request at most once
// and reports for each failure whether any byte may have been sent. The client of net/http does
// neither and may resend a request by itself.
package upstream

import (
	"bufio"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 4 << 10

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
}

// reusable reports whether an idle connection is open and has received no data. Data that arrives
// on an idle connection belongs to no request, so the connection can't be used any more.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}
