package httpbackend_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/standin/repeat"
)

// staleOrders answers like an engine that refuses all orders for their old fencing number.
func staleOrders(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case httpbackend.PathOrders:
		w.WriteHeader(http.StatusConflict)
	case httpbackend.PathLoad:
		// An answer of integers and texts can always be encoded.
		_ = json.NewEncoder(w).Encode(backend.LoadReport{Running: 7})
	case httpbackend.PathCacheEvents:
		_ = json.NewEncoder(w).Encode(httpbackend.CacheEvents{Events: []backend.CacheEvent{{Sequence: 1}}})
	}
}

// Guards against an engine's second answer to one call that is taken for the answer to the next: an order counts as done
// though the engine has refused it, or a busy engine as idle.
func TestRepeatedAnswersAnswerNoOtherCall(t *testing.T) {
	Convey("Given an engine that sends each answer twice", t, func() {
		server, err := repeat.Start(http.HandlerFunc(staleOrders))
		So(err, ShouldBeNil)
		client := httpbackend.NewEngine(httpbackend.Options{Address: server.Addr()})
		Reset(func() { client.Close(); server.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		Reset(cancel)
		Convey("Each call gets its own answer", func() {
			for range 5 {
				load, err := client.Load(ctx)
				So(err, ShouldBeNil)
				So(load.Running, ShouldEqual, 7)
				So(errors.Is(client.Order(ctx, backend.Order{Scope: "d"}), httpbackend.ErrStaleFencing), ShouldBeTrue)
				So(client.Cancel(ctx, "s1"), ShouldBeNil)
				events, err := client.CacheEvents(ctx, 0)
				So(err, ShouldBeNil)
				So(events, ShouldHaveLength, 1)
			}
		})
	})
}
