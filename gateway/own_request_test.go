package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/standin/repeat"
	"github.com/wigeonfork/wigeonfork/upstream"
)

// echoTarget answers a request with its target.
func echoTarget(w http.ResponseWriter, q *http.Request) { _, _ = io.WriteString(w, q.RequestURI) }

// startRepeating starts a server that sends each answer twice, and returns its directory entry.
func startRepeating(t *testing.T, handler http.HandlerFunc) directory.Entry {
	server, err := repeat.Start(handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return directory.Entry{ID: "i-1", Service: "plain", Address: server.Addr(), Domain: "a", Slots: 1}
}

// ownAnswer makes a call on behalf of the gateway itself and returns an error unless the answer is that to the call.
func (g *Gateway) ownAnswer(ctx context.Context, entry directory.Entry, method, target string) error {
	request := &upstream.Request{Method: method, Target: target}
	if method == http.MethodPost {
		request.Body, request.HasBody = []byte("{}"), true
	}
	_, body, err := g.exchange(ctx, entry, request)
	if err == nil && string(body) != target {
		return errors.Newf("%s was answered with %q", target, body)
	}
	return err
}

// Guards against an answer to one of the gateway's own calls that is taken for the answer to another one, since it came
// twice, or after its call had ended.
func TestOwnCallsGetTheirOwnAnswers(t *testing.T) {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodDelete}
	Convey("Given a server that sends each answer twice", t, func() {
		entry, g := startRepeating(t, echoTarget), startPlainServer(t, nil)
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
		entry := startRepeating(t, func(w http.ResponseWriter, q *http.Request) {
			if q.RequestURI == "/slow" {
				time.Sleep(50 * time.Millisecond)
			}
			echoTarget(w, q)
		})
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
