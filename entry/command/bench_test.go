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

// benchRelay relays the tokens of one generation from frames to events.
type benchRelay struct {
	answer   *session.Answer
	sink     sink
	input    *bytes.Reader
	reader   *frame.Reader
	encoded  []byte
	sent     frame.Frame
	received frame.Frame
	next     wigeonfork.Position
}

func newBenchRelay() *benchRelay {
	call := agentapi.Generate{RequestID: "request", Model: "model"}
	answer := session.NewAnswer(call, generation.DefaultLimits(), time.Now())
	answer.Begin(time.Now(), "agent", func() {})
	out := httptest.NewRecorder()
	out.Body = nil
	r := &benchRelay{answer: answer, input: bytes.NewReader(nil), sink: newSink(out, answer, responseFormat{stream: true})}
	r.sink.setHandle("handle")
	r.reader = frame.NewReader(r.input)
	r.sent = frame.Frame{Kind: frame.KindTokens, Generation: 1, Tokens: []backend.Token{{ID: 7, Text: []byte(" the")}}}
	return r
}

// relayToken relays the next token. It returns false if the token was not relayed.
func (r *benchRelay) relayToken(now time.Time) bool {
	r.sent.Position = r.next
	r.encoded = frame.Append(r.encoded[:0], &r.sent)
	r.input.Reset(r.encoded)
	if r.reader.Read(&r.received) != nil || r.answer.Accept(now, &r.received) != generation.VerdictAppended {
		return false
	}
	r.next++
	return r.sink.deliver(r.answer.Relay().Log().Text(r.next-1, r.next), r.next) == nil
}

// maxAllocsPerToken allows for the amortized growth of the token log.
const maxAllocsPerToken = 0.1

func TestRelayTokenAllocations(t *testing.T) {
	Convey("Relaying a token from its frame to its event allocates at most for the growth of the log", t, func() {
		const tokens = 2000
		r := newBenchRelay()
		now := time.Now()
		ok := r.relayToken(now)
		allocations := testing.AllocsPerRun(1, func() {
			for range tokens {
				ok = r.relayToken(now) && ok
			}
		})
		So(ok, ShouldBeTrue)
		So(allocations/tokens, ShouldBeLessThan, maxAllocsPerToken)
	})
}

func BenchmarkRelayToken(b *testing.B) {
	r := newBenchRelay()
	now := time.Now()
	b.ReportAllocs()
	for range b.N {
		if !r.relayToken(now) {
			b.Fatal("token was not relayed")
		}
	}
}
