package sockpeek

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client.(*net.TCPConn), server.(*net.TCPConn)
}

// awaitState waits until a connection is in a state.
func awaitState(t *testing.T, conn net.Conn, want State) {
	for end := time.Now().Add(10 * time.Second); Peek(conn) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection is in state %d, want %d", Peek(conn), want)
		}
	}
}

func TestPeek(t *testing.T) {
	Convey("A connection is quiet, then has data, and has ended after these were read", t, func() {
		client, server := pair(t)
		So(Peek(server), ShouldEqual, Quiet)
		_, err := client.Write([]byte("ab"))
		So(err, ShouldBeNil)
		awaitState(t, server, Data)
		So(client.Close(), ShouldBeNil)
		_, err = server.Read(make([]byte, 2))
		So(err, ShouldBeNil)
		awaitState(t, server, Ended)
	})
	Convey("A reset ends a connection", t, func() {
		client, server := pair(t)
		So(client.SetLinger(0), ShouldBeNil)
		So(client.Close(), ShouldBeNil)
		awaitState(t, server, Ended)
	})
	Convey("A connection that was closed here has ended", t, func() {
		_, server := pair(t)
		So(server.Close(), ShouldBeNil)
		So(Peek(server), ShouldEqual, Ended)
	})
	Convey("Peek doesn't wait for a reader", t, func() {
		_, server := pair(t)
		go func() { _, _ = server.Read(make([]byte, 1)) }()
		time.Sleep(10 * time.Millisecond)
		So(Peek(server), ShouldEqual, Quiet)
	})
	Convey("Nothing is known of a pipe", t, func() {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		So(Peek(a), ShouldEqual, Unknown)
	})
}
