package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// repeatingServer answers each request with its target as body, after delay. Where the answer to a further request on a
// connection is expected, it first sends that to the one before a second time.
type repeatingServer struct {
	delay func(target string) time.Duration
}

// start starts the server and returns its directory entry.
func (s *repeatingServer) start(t *testing.T) directory.Entry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	t.Cleanup(func() { listener.Close(); wait.Wait() })
	wait.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wait.Go(func() { s.serve(conn) })
		}
	})
	return directory.Entry{ID: "i-1", Service: "plain", Address: listener.Addr().String(), Domain: "a", Slots: 1}
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	last := ""
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(s.delay(request.RequestURI))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.RequestURI), request.RequestURI)
		if _, err := io.WriteString(conn, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// ownAnswer makes a call on behalf of the gateway itself and returns an error unless the answer is that to the call.
func (g *Gateway) ownAnswer(ctx context.Context, entry directory.Entry, method, target string) error {
	request := &upstream.Request{Method: method, Target: target}
	if method == http.MethodPost {
		request.Body, request.HasBody = []byte("{}"), true
	}
	_, body, err := g.exchange(ctx, entry, request)
	if err == nil && string(body) != target {
		return fmt.Errorf("%s was answered with %q", target, body)
	}
	return err
}

// Guards against an answer to one of the gateway's own calls that is taken for the answer to another one, since it came
// twice, or after its call had ended.
func TestOwnCallsGetTheirOwnAnswers(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	Convey("Given a server that sends each answer twice", t, func() {
		entry := (&repeatingServer{delay: func(string) time.Duration { return 0 }}).start(t)
		g := startPlainServer(t, nil)
		Convey("Calls one after another get their own answers", func() {
			for i := range 20 {
				method := methods[i%len(methods)]
				So(g.ownAnswer(context.Background(), entry, method, "/"+method+strconv.Itoa(i)), ShouldBeNil)
			}
		})
		Convey("Calls at the same time get their own answers", func() {
			errs := make(chan error, 80)
			var wait sync.WaitGroup
			for worker := range 8 {
				wait.Go(func() {
					for i := range 10 {
						errs <- g.ownAnswer(context.Background(), entry, methods[i%len(methods)], fmt.Sprintf("/%d/%d", worker, i))
					}
				})
			}
			wait.Wait()
			close(errs)
			for err := range errs {
				So(err, ShouldBeNil)
			}
		})
		Convey("Calls after a check of the connection get their own answers", func() {
			for i := range 5 {
				So(g.connect(entry), ShouldBeNil)
				So(g.ownAnswer(context.Background(), entry, http.MethodGet, "/health"+strconv.Itoa(i)), ShouldBeNil)
			}
		})
	})
	Convey("A call after one that ended before its answer came gets its own answer", t, func() {
		entry := (&repeatingServer{delay: func(target string) time.Duration {
			if target == "/slow" {
				return 50 * time.Millisecond
			}
			return 0
		}}).start(t)
		g := startPlainServer(t, nil)
		for i := range 5 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			So(g.ownAnswer(ctx, entry, http.MethodPost, "/slow"), ShouldNotBeNil)
			cancel()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			So(g.ownAnswer(context.Background(), entry, http.MethodPost, "/next"+strconv.Itoa(i)), ShouldBeNil)
		}
	})
}
