package command

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

var errEngineGone = errors.New("engine is gone")

// tokenStream yields one token and then fails.
type tokenStream struct{ sent bool }

func (t *tokenStream) Next(context.Context) (backend.Chunk, error) {
	if t.sent {
		return backend.Chunk{}, errEngineGone
	}
	t.sent = true
	return backend.Chunk{Tokens: []backend.Token{{ID: 1, Text: []byte("a")}}}, nil
}

func (t *tokenStream) Close() error { return nil }

// TestDeathReportsTimeSinceFirstToken guards against a request that crashes engines with its first
// tokens and is quarantined late or never: without the time since the first token, its runs count
// from their start, so that a long prefill makes them look like ordinary deaths.
func TestDeathReportsTimeSinceFirstToken(t *testing.T) {
	Convey("The report of an engine's death says for each request how long ago its first token was", t, func() {
		table := session.NewTable()
		g := &Generations{Metrics: metrics.NewRegistry()}
		deaths := &Deaths{Server: "s", Incarnation: "i", Table: table}
		start := time.Now().Add(-10 * time.Second)
		decoding := session.New(&agentapi.Generate{RequestID: "decoding", Generation: 1}, start, func() {})
		prefilling := session.New(&agentapi.Generate{RequestID: "prefilling", Generation: 1}, start, func() {})
		for _, s := range []*session.Session{decoding, prefilling} {
			So(table.Add(s), ShouldBeNil)
			s.Accepted(start)
		}
		So(g.consume(context.Background(), decoding, &tokenStream{}), ShouldEqual, errEngineGone)
		now := time.Now().Add(time.Second)
		var death quarantine.Death
		So(cbor.Unmarshal([]byte(deaths.Record(decoding, now)), &death), ShouldBeNil)
		So(len(death.Residents), ShouldEqual, 2)
		longest := max(death.Residents[0].Decoded, death.Residents[1].Decoded)
		So(longest, ShouldBeBetween, time.Second/2, 5*time.Second)
		So(min(death.Residents[0].Decoded, death.Residents[1].Decoded), ShouldEqual, 0)
		So(death.Residents[0].Ran, ShouldBeGreaterThan, 10*time.Second)
	})
}
