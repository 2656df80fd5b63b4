package query

import (
	"context"
	"io"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// cachingEngine is an engine with a prefix cache. Only the methods that a Reporter calls exist.
type cachingEngine struct {
	backend.Engine
	incarnation string
	events      []backend.CacheEvent
}

func (e *cachingEngine) Capabilities() backend.Capabilities {
	return backend.Capabilities{CacheEvents: true}
}

func (e *cachingEngine) Load(context.Context) (backend.LoadReport, error) {
	return backend.LoadReport{Incarnation: e.incarnation}, nil
}

func (e *cachingEngine) CacheEvents(_ context.Context, since uint64) ([]backend.CacheEvent, error) {
	var later []backend.CacheEvent
	for _, event := range e.events {
		if event.Sequence > since {
			later = append(later, event)
		}
	}
	return later, nil
}

// fill makes the cache's first n events.
func (e *cachingEngine) fill(n int) {
	e.events = nil
	for i := range n {
		e.events = append(e.events, backend.CacheEvent{Sequence: uint64(i + 1), Prefix: uint64(i), Tokens: 16})
	}
}

func newTestReporter(engine backend.Engine) *Reporter {
	return NewReporter(ReporterOptions{
		Host:     "h",
		Engine:   engine,
		Table:    session.NewTable(),
		Revision: func() wigeonfork.Revision { return 0 },
		Log:      telemetry.NewLogger(io.Discard, "info", "test", "h"),
	})
}

// TestCacheEventsAfterEngineRestart guards against long times to the first token after an engine's
// restart: entries learned nothing of its cache until it had made as many events as before.
func TestCacheEventsAfterEngineRestart(t *testing.T) {
	Convey("The cache events of a restarted engine are reported from its first one, and none of before", t, func() {
		engine := &cachingEngine{incarnation: "first"}
		engine.fill(10)
		r := newTestReporter(engine)
		r.queryEngine(context.Background())
		So(len(r.status.CacheEvents), ShouldEqual, 10)
		engine.incarnation = "second"
		engine.fill(3)
		r.queryEngine(context.Background())
		So(r.status.CacheEvents, ShouldResemble, engine.events)
	})
}

// TestDumpIsNotChangedLater guards against a state dump with mixed cache events, and a data race
// while it is encoded: it shared them with the status, which drops the oldest in place.
func TestDumpIsNotChangedLater(t *testing.T) {
	Convey("A dump keeps its cache events while the status goes on", t, func() {
		engine := &cachingEngine{incarnation: "first"}
		r := newTestReporter(engine)
		for _, n := range []int{maxCacheEvents, maxCacheEvents + 1} {
			engine.fill(n)
			r.queryEngine(context.Background())
		}
		dump, err := r.Dump(context.Background(), nil, peer.None{})
		So(err, ShouldBeNil)
		before := slices.Clone(dump.Status.CacheEvents)
		for n := maxCacheEvents + 2; n < 3*maxCacheEvents; n++ {
			engine.fill(n)
			r.queryEngine(context.Background())
		}
		So(dump.Status.CacheEvents, ShouldResemble, before)
	})
}
