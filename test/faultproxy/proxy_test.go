package faultproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

const testTimeout = 20 * time.Second

// echo is a server that sends back the bytes that it reads, in upper case.
type echo struct {
	listener net.Listener
	workers  sync.WaitGroup
	mu       sync.Mutex
	received []byte
}

func newEcho() *echo {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &echo{listener: listener}
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.workers.Add(1)
			go e.serve(conn)
		}
	}()
	return e
}

func (e *echo) serve(conn net.Conn) {
	defer e.workers.Done()
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 1024)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.received = append(e.received, buffer[:n]...)
		e.mu.Unlock()
		if _, err := conn.Write(bytes.ToUpper(buffer[:n])); err != nil {
			return
		}
	}
}

func (e *echo) receivedText() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return string(e.received)
}

func (e *echo) close() {
	_ = e.listener.Close()
	e.workers.Wait()
}

func dial(p *Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Addr())
	So(err, ShouldBeNil)
	So(conn.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
	Reset(func() { _ = conn.Close() })
	return conn
}

func send(conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	So(err, ShouldBeNil)
}

func receive(conn net.Conn, n int) string {
	buffer := make([]byte, n)
	_, err := io.ReadFull(conn, buffer)
	So(err, ShouldBeNil)
	return string(buffer)
}

// receivesNothing returns whether no byte arrives on conn for 50 ms.
func receivesNothing(conn net.Conn) bool {
	So(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), ShouldBeNil)
	n, err := conn.Read(make([]byte, 1))
	So(conn.SetReadDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
	var timeout net.Error
	return n == 0 && errors.As(err, &timeout) && timeout.Timeout()
}

// waitUntil polls until cond holds. The test's time limit bounds it.
func waitUntil(cond func() bool) {
	for !cond() {
		time.Sleep(time.Millisecond)
	}
}

func TestProxy(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Given a proxy in front of a server", t, func() {
		server := newEcho()
		p, err := New(server.listener.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() {
			p.Close()
			server.close()
		})
		conn := dial(p)
		send(conn, "a")
		So(receive(conn, 1), ShouldEqual, "A")

		Convey("a closed direction is forwarded as an end of stream", func() {
			So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_, err := conn.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			waitUntil(func() bool { return p.Counters().Open == 0 })
		})
		Convey("a reset is forwarded as a reset, and new connections work", func() {
			p.ResetAll()
			_, err := conn.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			again := dial(p)
			send(again, "b")
			So(receive(again, 1), ShouldEqual, "B")
		})
		Convey("a black hole delays the bytes of one direction and loses none", func() {
			p.SetBlackHole(ToClient, true)
			send(conn, "bc")
			waitUntil(func() bool { return server.receivedText() == "abc" })
			So(receivesNothing(conn), ShouldBeTrue)
			p.SetBlackHole(ToClient, false)
			So(receive(conn, 2), ShouldEqual, "BC")
			p.SetBlackHole(Both, true)
			send(conn, "d")
			So(receivesNothing(conn), ShouldBeTrue)
			So(server.receivedText(), ShouldEqual, "abc")
			p.SetBlackHole(Both, false)
			So(receive(conn, 1), ShouldEqual, "D")
		})
		Convey("a black hole also holds back a reset", func() {
			p.SetBlackHole(ToServer, true)
			So(conn.(*net.TCPConn).SetLinger(0), ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
			So(p.Counters().Open, ShouldEqual, 1)
			p.SetBlackHole(ToServer, false)
			waitUntil(func() bool { return p.Counters().Open == 0 })
		})
		Convey("each byte is delayed by at least the set delay", func() {
			p.SetDelay(ToServer, 30*time.Millisecond)
			start := time.Now()
			send(conn, "b")
			So(receive(conn, 1), ShouldEqual, "B")
			So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 30*time.Millisecond)
		})
		Convey("a cut forwards exactly its number of bytes, then resets one connection", func() {
			p.ArmCut(Cut{Direction: ToClient, AfterBytes: 3})
			send(conn, "bcdef")
			So(receive(conn, 3), ShouldEqual, "BCD")
			_, err := conn.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			again := dial(p)
			send(again, "ghijkl")
			So(receive(again, 6), ShouldEqual, "GHIJKL")
			So(p.Counters().Cuts, ShouldEqual, 1)
		})
		Convey("a silent cut keeps the connection open and forwards nothing more, even once disarmed", func() {
			p.ArmCut(Cut{Direction: ToServer, AfterBytes: 1, Silent: true, EveryConnection: true})
			send(conn, "bcd")
			waitUntil(func() bool { return server.receivedText() == "ab" })
			So(receivesNothing(conn), ShouldBeTrue)
			again := dial(p)
			send(again, "xyz")
			waitUntil(func() bool { return server.receivedText() == "abx" })
			p.DisarmCut()
			send(conn, "e")
			So(receivesNothing(conn), ShouldBeTrue)
			So(receivesNothing(again), ShouldBeTrue)
			So(server.receivedText(), ShouldEqual, "abx")
			So(p.Counters().Cuts, ShouldEqual, 2)
		})
		Convey("new connections are refused until they are accepted again, and open ones continue", func() {
			p.RefuseConnections()
			_, err := net.Dial("tcp", p.Addr())
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			send(conn, "b")
			So(receive(conn, 1), ShouldEqual, "B")
			So(p.AcceptConnections(), ShouldBeNil)
			again := dial(p)
			send(again, "c")
			So(receive(again, 1), ShouldEqual, "C")
		})
		Convey("a half-open connection is accepted and not forwarded", func() {
			p.SetHalfOpen(true)
			halfOpen := dial(p)
			send(halfOpen, "zz")
			So(receivesNothing(halfOpen), ShouldBeTrue)
			So(server.receivedText(), ShouldEqual, "a")
			p.SetHalfOpen(false)
			again := dial(p)
			send(again, "b")
			So(receive(again, 1), ShouldEqual, "B")
		})
		Convey("only the set number of chunks is duplicated", func() {
			p.DuplicateNext(ToClient, 1)
			send(conn, "bc")
			So(receive(conn, 4), ShouldEqual, "BCBC")
			send(conn, "d")
			So(receive(conn, 1), ShouldEqual, "D")
			So(receivesNothing(conn), ShouldBeTrue)
			So(p.Counters().Duplicated, ShouldEqual, 1)
		})
		Convey("a hold stops one connection before the matching bytes", func() {
			h := p.Hold(ToServer, func(data []byte) bool { return bytes.Contains(data, []byte("c")) })
			send(conn, "b")
			So(receive(conn, 1), ShouldEqual, "B")
			send(conn, "c")
			<-h.Reached()
			send(conn, "d")
			So(receivesNothing(conn), ShouldBeTrue)
			So(server.receivedText(), ShouldEqual, "ab")
			other := dial(p)
			send(other, "c")
			So(receive(other, 1), ShouldEqual, "C")
			p.Release(h)
			So(receive(conn, 2), ShouldEqual, "CD")
		})
		Convey("a held connection can be reset", func() {
			h := p.Hold(ToServer, func([]byte) bool { return true })
			send(conn, "b")
			<-h.Reached()
			p.ResetAll()
			waitUntil(func() bool { return p.Counters().Open == 0 })
			p.Release(h)
			So(server.receivedText(), ShouldEqual, "a")
		})
		Convey("later connections go to a new target", func() {
			other := newEcho()
			Reset(func() {
				p.ResetAll()
				other.close()
			})
			p.SetTarget(other.listener.Addr().String())
			again := dial(p)
			send(again, "q")
			So(receive(again, 1), ShouldEqual, "Q")
			So(other.receivedText(), ShouldEqual, "q")
		})
	})
}
