// Package sockpeek tells what a TCP connection has received, without reading it.
package sockpeek

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is what a connection has received and nobody has read.
type State uint8

// The states of a connection.
const (
	// Quiet means that nothing was received.
	Quiet State = iota
	// Data means that bytes were received.
	Data
	// Ended means that the peer has ended or reset the connection, and that all bytes before were read.
	Ended
	// Unknown means that the connection isn't one of TCP.
	Unknown
)

// Peek returns the state of a connection. It never blocks, and may be called while another goroutine reads.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return Unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control doesn't wait for a reader, as Read would. It fails for a connection that is closed here.
	if err := raw.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return Ended
	}
	return state
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return Quiet
	case err == nil && n > 0:
		return Data
	}
	return Ended
}
