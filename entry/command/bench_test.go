package command

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/entry/session"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/generation"
)

// relayed relays tokens of one generation from frames to events.
type relayed struct {
	answer *session.Answer
	sink   sink
	in     *bytes.Reader
	reader *frame.Reader
	encode []byte
	sent   frame.Frame
	got    frame.Frame
	next   wigeonfork.Position
}

func newRelayed() *relayed {
	call := agentapi.Generate{RequestID: "request", Model: "model"}
	answer := session.NewAnswer(call, generation.DefaultLimits(), time.Now())
	answer.Begin(time.Now(), "agent", func() {})
	out := httptest.NewRecorder()
	out.Body = nil
	r := &relayed{answer: answer, in: bytes.NewReader(nil), sink: newSink(out, answer, shape{stream: true})}
	r.sink.source("handle")
	r.reader = frame.NewReader(r.in)
	r.sent = frame.Frame{Kind: frame.KindTokens, Generation: 1, Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
	return r
}

// token relays the next token. It returns false if it got lost.
func (r *relayed) token(now time.Time) bool {
	r.sent.Position = r.next
	r.encode = frame.Append(r.encode[:0], &r.sent)
	r.in.Reset(r.encode)
	if r.reader.Read(&r.got) != nil || r.answer.Accept(now, &r.got) != generation.VerdictAppended {
		return false
	}
	r.next++
	return r.sink.deliver(r.answer.Relay().Log().Text(r.next-1, r.next), r.next) == nil
}

// maxAllocations is the bound on the allocations of one relayed token: those of
// a growing log, shared by many tokens.
const maxAllocations = 0.1

func TestRelayTokenAllocations(t *testing.T) {
	Convey("Reading a frame, taking its token and writing the event allocate next to nothing", t, func() {
		const tokens = 2000
		r := newRelayed()
		now := time.Now()
		whole := r.token(now)
		allocations := testing.AllocsPerRun(1, func() {
			for range tokens {
				whole = r.token(now) && whole
			}
		})
		So(whole, ShouldBeTrue)
		So(allocations/tokens, ShouldBeLessThan, maxAllocations)
	})
}

func BenchmarkRelayToken(b *testing.B) {
	r := newRelayed()
	now := time.Now()
	b.ReportAllocs()
	for range b.N {
		if !r.token(now) {
			b.Fatal("token lost")
		}
	}
}
