package loopback

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// backlog is the maximum number of connections that wait to be accepted.
	backlog         = 512
	reserveAttempts = 200
	reserveRetry    = 2 * time.Millisecond
)

// Reservation holds a loopback port without listening on it. Connections are refused, and the
// kernel assigns the port to no other socket. Until Listen, a socket with SO_REUSEADDR can still
// bind the port by its number.
type Reservation struct {
	fd int
}

// Reserve binds the IPv4 address addr, such as 127.0.0.1:4000, whose listener was just closed. It
// retries for up to 400 ms.
func Reserve(addr string) (*Reservation, error) {
	var err error
	for range reserveAttempts {
		var r *Reservation
		if r, err = reserve(addr); err == nil {
			return r, nil
		}
		// The port is free once the accepting goroutine has closed the listener's socket.
		time.Sleep(reserveRetry)
	}
	return nil, err
}

func reserve(addr string) (*Reservation, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse address")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	if err := bind(fd, resolved); err != nil {
		return nil, errors.CombineErrors(err, syscall.Close(fd))
	}
	return &Reservation{fd: fd}, nil
}

func bind(fd int, addr *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "reuse address")
	}
	to := &syscall.SockaddrInet4{Port: addr.Port}
	copy(to.Addr[:], addr.IP.To4())
	return errors.Wrap(syscall.Bind(fd, to), "bind")
}

// Listen starts to listen on the reserved port. On success, r must not be used any more.
func (r *Reservation) Listen() (net.Listener, error) {
	if err := syscall.Listen(r.fd, backlog); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	file := os.NewFile(uintptr(r.fd), "reservation")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	return listener, errors.Wrap(err, "listen")
}

// Close releases the port.
func (r *Reservation) Close() error { return syscall.Close(r.fd) }
