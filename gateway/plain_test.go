package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// testRequest is the id of the requests of these tests.
const testRequest = "request-1"

// testCodec translates only what these tests need.
type testCodec struct{ Codec }

func (testCodec) AttemptHeaders(from http.Header, _ *Attempt) http.Header { return from.Clone() }

func (testCodec) ParseReply(_ int, h http.Header) Reply {
	return Reply{NotRun: h.Get("Not-Run") != "", Request: testRequest, Signed: true}
}

// startPlainServer returns a gateway that knows one plain server, which answers with handler.
func startPlainServer(t *testing.T, handler http.HandlerFunc) *Gateway {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	g := New(Options{Host: "h", Domain: "a", Bounds: DefaultBounds(), Codec: testCodec{}, Log: telemetry.Discard(), Metrics: telemetry.NewRegistry()})
	t.Cleanup(g.Stop)
	address := strings.TrimPrefix(server.URL, "http://")
	g.fleet.replaceServers(time.Now(), []directory.Entry{{ID: "i-1", Service: "plain", Address: address, Domain: "a", Slots: 1}})
	return g
}

// sendOnce sends a request to the server and returns the result.
func (g *Gateway) sendOnce() *sendResult {
	c := &call{
		Gateway: g, r: httptest.NewRequest(http.MethodGet, "/x", nil), service: "plain", began: time.Now(), caller: CallerRequest{ID: testRequest}, held: g.memory.NewGroup(),
		route: &routetable.Route{Name: "r", Kind: routetable.KindUnsafe},
	}
	place, err := g.fleet.choose(time.Now(), &query{service: "plain"})
	So(err, ShouldBeNil)
	result := c.exchange(context.Background(), place)
	p := &plainCall{call: c}
	p.reportOutcome(result)
	return result
}

// queuedWait returns the wait that is expected behind 20 requests at the server.
func (g *Gateway) queuedWait() time.Duration {
	now := time.Now()
	var last *placement
	var places []*placement
	for range 20 {
		var err error
		last, err = g.fleet.choose(now, &query{service: "plain"})
		So(err, ShouldBeNil)
		places = append(places, last)
	}
	for _, place := range places {
		g.fleet.failed(now, place, (&call{}).work)
	}
	return last.expectedWait
}

// Guards against a server that looks quick because it refuses or fails requests at once, so that it
// gets more of them than servers that serve.
func TestServiceTimeIsThatOfGoodAnswers(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"refuses requests": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"fails": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"breaks answers off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range answers {
		Convey("The expected wait at a server that "+name+" does not shrink", t, func() {
			g := startPlainServer(t, handler)
			before := g.queuedWait()
			for range 20 {
				g.sendOnce()
			}
			So(g.queuedWait(), ShouldBeGreaterThanOrEqualTo, before)
		})
	}
	Convey("The expected wait at a server that answers quickly shrinks", t, func() {
		g := startPlainServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
		before := g.queuedWait()
		for range 20 {
			So(g.sendOnce().succeeded(), ShouldBeTrue)
		}
		So(g.queuedWait(), ShouldBeLessThan, before)
	})
}
