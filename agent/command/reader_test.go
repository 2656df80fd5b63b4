package command

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
)

func TestHeartbeatOnlyOnIdleStream(t *testing.T) {
	Convey("A stream sends a heartbeat after an idle interval, and none shortly after tokens", t, func() {
		out := httptest.NewRecorder()
		r := newReader(out, session.New(&agentapi.Generate{Generation: 3}, time.Now(), func() {}), 0, noLoad, writeTimeout)
		r.lastFlush = time.Now().Add(time.Hour)
		So(r.heartbeat(), ShouldBeGreaterThan, time.Hour)
		So(out.Body.Len(), ShouldEqual, 0)

		r.lastFlush = time.Now().Add(-agentapi.HeartbeatInterval)
		So(r.heartbeat(), ShouldEqual, agentapi.HeartbeatInterval)
		var f frame.Frame
		So(frame.NewReader(bytes.NewReader(out.Body.Bytes())).Read(&f), ShouldBeNil)
		So(f.Kind, ShouldEqual, frame.KindHeartbeat)
		So(f.Generation, ShouldEqual, 3)
	})
}

// blockedEntry is the response writer of an entry that reads nothing. A write
// blocks until its deadline is set to less than a minute from now.
type blockedEntry struct {
	http.ResponseWriter
	writing chan struct{}
	expired chan struct{}
}

func (e *blockedEntry) Write([]byte) (int, error) {
	close(e.writing)
	<-e.expired
	return 0, io.ErrClosedPipe
}

func (e *blockedEntry) Flush() {}

func (e *blockedEntry) SetWriteDeadline(deadline time.Time) error {
	if time.Until(deadline) < time.Minute {
		close(e.expired)
	}
	return nil
}

func TestBlockedReaderIsDisplaced(t *testing.T) {
	Convey("An entry that reads nothing blocks neither the tokens nor the entry that displaces it", t, func() {
		const tokens = 400
		s := session.New(&agentapi.Generate{Generation: 1}, time.Now(), func() {})
		blocked := &blockedEntry{ResponseWriter: httptest.NewRecorder(), writing: make(chan struct{}), expired: make(chan struct{})}
		firstReturned := make(chan struct{})
		first := newReader(blocked, s, 0, noLoad, time.Hour)
		// Without the initial wake-up, the producer's goroutine sends the first frame.
		<-first.wake
		go func() {
			defer close(firstReturned)
			first.serve(context.Background())
		}()
		for !s.Summary().Attached {
			runtime.Gosched()
		}
		produced := make(chan bool)
		go func() {
			text := bytes.Repeat([]byte("x"), frame.MaxTextBytes/3)
			appended := true
			for p := range tokens {
				appended = s.Append(backend.Chunk{Position: wigeonfork.Position(p), Tokens: []backend.Token{{ID: 1, Text: text}}}) && appended
			}
			produced <- appended && s.End(backend.Chunk{Position: tokens, Stop: backend.StopEnd}, time.Now())
		}()
		<-blocked.writing
		second := httptest.NewRecorder()
		newReader(second, s, 0, noLoad, time.Hour).serve(context.Background())
		So(readToEnd(second.Body), ShouldEqual, tokens)
		So(<-produced, ShouldBeTrue)
		<-firstReturned
	})
}

func TestDisplacedReaderIsRefused(t *testing.T) {
	Convey("A displaced entry can neither attach again nor release the generation", t, func() {
		cancelled := false
		s := session.New(&agentapi.Generate{RequestID: "r", Generation: 2, OrphanMillis: 1000}, time.Now(), func() { cancelled = true })
		g := &Generations{Table: session.NewTable()}
		So(g.Table.Add(s), ShouldBeNil)
		first := s.Attach(make(chan struct{}, 1), func() {})
		second := s.Attach(make(chan struct{}, 1), func() {})
		serve := func(handler http.HandlerFunc, reader uint64) int {
			r := httptest.NewRequest(http.MethodGet, "/?from=0", nil)
			r.SetPathValue("request", "r")
			r.SetPathValue("generation", "2")
			r.Header.Set(agentapi.HeaderReader, strconv.FormatUint(reader, 10))
			out := httptest.NewRecorder()
			handler(out, r)
			return out.Code
		}
		So(serve(g.Attach, first), ShouldEqual, http.StatusConflict)
		So(serve(g.Release, first), ShouldEqual, http.StatusConflict)
		So(cancelled, ShouldBeFalse)
		So(serve(g.Release, second), ShouldEqual, http.StatusNoContent)
		So(cancelled, ShouldBeTrue)
	})
}

// readToEnd returns the number of tokens before the end frame. It returns -1 on a
// failure frame, a read error or tokens out of order.
func readToEnd(body io.Reader) int {
	in := frame.NewReader(body)
	var f frame.Frame
	next := wigeonfork.Position(0)
	for {
		if in.Read(&f) != nil || f.Position != next {
			return -1
		}
		switch f.Kind {
		case frame.KindTokens:
			next += wigeonfork.Position(len(f.Tokens))
		case frame.KindEnd:
			return int(next)
		case frame.KindFailure:
			return -1
		}
	}
}

// noLoad is the load function for an engine without a load report.
func noLoad() frame.Load { return frame.Load{} }
