package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/infra"
)

// serve starts a server that calls script for each connection. n counts them from 0.
func serve(t *testing.T, script func(n int, conn net.Conn, in *bufio.Reader)) Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return Server{ID: "i", Address: listener.Addr().String()}
}

func readRequest(in *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

func newRequest() *Request {
	return &Request{Method: "GET", Target: "/x?y=%2f", Host: "h.example", Header: http.Header{"A": {"b"}}}
}

func readBody(t *testing.T, r *Response) string {
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExchange(t *testing.T) {
	Convey("A request is sent unchanged, and connections are reused", t, func() {
		var connections atomic.Int32
		server := serve(t, func(n int, conn net.Conn, in *bufio.Reader) {
			connections.Store(int32(n + 1))
			for {
				request, text, err := readRequest(in)
				if err != nil {
					return
				}
				answer := request.RequestURI + request.Host + request.Header.Get("A") + text
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			}
		})
		pool := NewPool(Options{})
		defer pool.Close()
		for range 3 {
			response, err := pool.Do(context.Background(), server, newRequest())
			So(err, ShouldBeNil)
			So(readBody(t, response), ShouldEqual, "/x?y=%2fh.exampleb")
		}
		So(connections.Load(), ShouldEqual, 1)
		Convey("but not if the request needs a fresh one", func() {
			request := newRequest()
			request.FreshConnection = true
			response, err := pool.Do(context.Background(), server, request)
			So(err, ShouldBeNil)
			So(response.Reused, ShouldBeFalse)
			readBody(t, response)
		})
	})
	Convey("If no connection can be opened, the outcome is not done", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		listener.Close()
		_, err = NewPool(Options{}).Do(context.Background(), Server{Address: address}, newRequest())
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
	})
	Convey("If the response is lost, the outcome is unknown, and the request was sent once", t, func() {
		requests := make(chan string, 10)
		server := serve(t, func(_ int, _ net.Conn, in *bufio.Reader) {
			if request, _, err := readRequest(in); err == nil {
				requests <- request.Method
			}
		})
		_, err := NewPool(Options{}).Do(context.Background(), server, newRequest())
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
		time.Sleep(20 * time.Millisecond)
		So(len(requests), ShouldEqual, 1)
	})
	Convey("A connection with unsolicited data is not reused", t, func() {
		server := serve(t, func(n int, conn net.Conn, in *bufio.Reader) {
			if _, _, err := readRequest(in); err != nil {
				return
			}
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			io.WriteString(conn, text+text)
			time.Sleep(time.Second)
		})
		pool := NewPool(Options{})
		for want := range 2 {
			response, err := pool.Do(context.Background(), server, newRequest())
			So(err, ShouldBeNil)
			So(readBody(t, response), ShouldEqual, fmt.Sprint(want))
		}
	})
	// Guards against a reuse of connections whose response ends where the server closes them.
	Convey("A connection is not reused after a response without a length", t, func() {
		server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			if _, _, err := readRequest(in); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall")
			}
		})
		pool := NewPool(Options{})
		response, err := pool.Do(context.Background(), server, newRequest())
		So(err, ShouldBeNil)
		So(response.ContentLength, ShouldEqual, -1)
		So(readBody(t, response), ShouldEqual, "all")
		So(pool.take(server), ShouldBeNil)
	})
	Convey("A connection is not reused if the response came before the body was sent", t, func() {
		server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
			time.Sleep(200 * time.Millisecond)
		})
		pool := NewPool(Options{})
		request := newRequest()
		request.Method, request.HasBody, request.Body = "POST", true, []byte(strings.Repeat("x", 8<<20))
		response, err := pool.Do(context.Background(), server, request)
		So(err, ShouldBeNil)
		So(readBody(t, response), ShouldEqual, "no")
		So(pool.take(server), ShouldBeNil)
	})
	Convey("A truncated response does not end with io.EOF", t, func() {
		for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
			server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, _, err := readRequest(in); err == nil {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head)
				}
			})
			response, err := NewPool(Options{}).Do(context.Background(), server, newRequest())
			So(err, ShouldBeNil)
			_, err = io.ReadAll(response.Body)
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
			response.Body.Close()
		}
	})
	Convey("The end of the context aborts the exchange", t, func() {
		server := serve(t, func(_ int, _ net.Conn, in *bufio.Reader) {
			readRequest(in)
			in.ReadByte()
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := NewPool(Options{}).Do(ctx, server, newRequest())
		So(err, ShouldNotBeNil)
	})
}
