package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/infra"
)

// maxEndlessBytes is the most that a server may send of an endless head, with what fits in socket
// buffers.
const maxEndlessBytes = 16 << 20

// serveEndless starts a server that sends first and then next without end. It returns the number of
// bytes sent.
func serveEndless(t *testing.T, first, next string) (Server, *atomic.Int64) {
	var sent atomic.Int64
	chunk := strings.Repeat(next, 1+4096/len(next))
	server := serve(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err != nil {
			return
		}
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for {
			n, err := io.WriteString(conn, chunk)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return server, &sent
}

// TestEndlessHead guards against a server that exhausts the memory of the process by a head that
// never ends.
func TestEndlessHead(t *testing.T) {
	heads := map[string][2]string{
		"status line":        {"HTTP/1.1 200 ", "x"},
		"header name":        {"HTTP/1.1 200 OK\r\n", "x"},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational ones": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no HTTP at all":     {"", "\x00\xff"},
	}
	for name, head := range heads {
		Convey("The exchange ends early, with an unknown outcome: "+name, t, func() {
			server, sent := serveEndless(t, head[0], head[1])
			pool := NewPool(Options{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, server, newRequest())
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			So(ctx.Err(), ShouldBeNil)
			So(sent.Load(), ShouldBeLessThan, maxEndlessBytes)
		})
	}
}

// TestEndlessBody guards against a connection that is read on after its body was given up.
func TestEndlessBody(t *testing.T) {
	bodies := map[string][2]string{
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for name, body := range bodies {
		Convey("The server sends no more once the body is closed: "+name, t, func() {
			server, sent := serveEndless(t, body[0], body[1])
			pool := NewPool(Options{})
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			response, err := pool.Do(ctx, server, newRequest())
			So(err, ShouldBeNil)
			_, _ = io.CopyN(io.Discard, response.Body, 1<<20)
			So(response.Body.Close(), ShouldBeNil)
			So(ctx.Err(), ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			before := sent.Load()
			time.Sleep(50 * time.Millisecond)
			So(sent.Load(), ShouldEqual, before)
			So(before, ShouldBeLessThan, 2*maxEndlessBytes)
		})
	}
}
