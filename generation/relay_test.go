package generation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
)

var start = time.Unix(1_700_000_000, 0)

// source is the complete output of one generation.
type source struct {
	generation wigeonfork.Generation
	first      wigeonfork.Position
	length     wigeonfork.Position
}

// tokenID encodes a token's generation and position in its id.
func tokenID(g wigeonfork.Generation, p wigeonfork.Position) uint32 {
	return uint32(g)<<16 | uint32(p)
}

func (s source) tokens(from, to wigeonfork.Position) []backend.Token {
	var tokens []backend.Token
	for p := from; p < to; p++ {
		tokens = append(tokens, backend.Token{ID: tokenID(s.generation, p), Text: []byte{'a' + byte(p%26)}})
	}
	return tokens
}

// frame draws any frame that s can send. Its range of positions is arbitrary, as in late or
// repeated frames.
func (s source) frame(t *rapid.T) frame.Frame {
	f := frame.Frame{Generation: s.generation}
	switch rapid.SampledFrom([]string{"tokens", "tokens", "tokens", "heartbeat", "end", "failure"}).Draw(t, "kind") {
	case "tokens":
		f.Kind = frame.KindTokens
		f.Position = wigeonfork.Position(rapid.Uint32Range(uint32(s.first), uint32(s.length)).Draw(t, "from"))
		to := wigeonfork.Position(rapid.Uint32Range(uint32(f.Position), uint32(s.length)).Draw(t, "to"))
		f.Tokens = s.tokens(f.Position, to)
	case "heartbeat":
		f.Kind = frame.KindHeartbeat
	case "end":
		f.Kind = frame.KindEnd
		f.Position = s.length
		f.Stop = backend.StopEnd
	case "failure":
		f.Kind = frame.KindFailure
		f.Failure = frame.FailureEngineDead
	}
	return f
}

// TestRelayKeepsAcceptedTokens feeds a relay frames of all its generations in random order, with
// source losses in between. No accepted token may change, and no stale frame may add one.
func TestRelayKeepsAcceptedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.MaxAttempts = 1000
		relay := NewRelay(limits)
		length := wigeonfork.Position(rapid.Uint32Range(1, 30).Draw(t, "length"))
		sources := []source{{generation: relay.Begin(start), length: length}}
		var delivered []uint32
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			if relay.Ended() {
				break
			}
			if rapid.IntRange(0, 9).Draw(t, "action") == 0 {
				relay.SourceLost(rapid.Bool().Draw(t, "reachable"))
				sources = append(sources, source{first: relay.Log().Len(), length: length, generation: relay.Begin(start)})
				continue
			}
			current := sources[len(sources)-1]
			f := rapid.SampledFrom(sources).Draw(t, "source").frame(t)
			before := relay.Log().Len()
			verdict := relay.Accept(start, &f)
			checkVerdict(t, relay, verdict, &f, before, current)
			delivered = checkGrowth(t, relay, delivered, current)
		}
		if relay.State() == StateComplete && relay.Log().Len() != length {
			t.Fatalf("complete with %d of %d tokens", relay.Log().Len(), length)
		}
	})
}

func checkVerdict(t *rapid.T, relay *Relay, verdict Verdict, f *frame.Frame, before wigeonfork.Position, current source) {
	if f.Generation != current.generation && verdict != VerdictStale {
		t.Fatalf("frame of generation %d accepted in generation %d: verdict %d", f.Generation, current.generation, verdict)
	}
	if (verdict == VerdictAppended) != (relay.Log().Len() > before) {
		t.Fatalf("verdict %d, length from %d to %d", verdict, before, relay.Log().Len())
	}
}

// checkGrowth checks that delivered tokens are unchanged and that new ones are of the current
// generation, each at its own position.
func checkGrowth(t *rapid.T, relay *Relay, delivered []uint32, current source) []uint32 {
	ids := relay.Log().IDs()
	for p, id := range delivered {
		if ids[p] != id {
			t.Fatalf("token %d changed", p)
		}
	}
	for p := len(delivered); p < len(ids); p++ {
		if ids[p] != tokenID(current.generation, wigeonfork.Position(p)) {
			t.Fatalf("position %d holds token %x", p, ids[p])
		}
		delivered = append(delivered, ids[p])
	}
	return delivered
}

func tokensFrame(g wigeonfork.Generation, from wigeonfork.Position, n int) *frame.Frame {
	s := source{generation: g}
	return &frame.Frame{Kind: frame.KindTokens, Generation: g, Position: from, Tokens: s.tokens(from, from+wigeonfork.Position(n))}
}

func TestRelaySuspectsSourceAfterTimeouts(t *testing.T) {
	Convey("Given a relay that has received 50 tokens at intervals of 20 ms", t, func() {
		relay := NewRelay(DefaultLimits())
		now := start
		g := relay.Begin(now)
		for p := range 50 {
			now = now.Add(20 * time.Millisecond)
			So(relay.Accept(now, tokensFrame(g, wigeonfork.Position(p), 1)), ShouldEqual, VerdictAppended)
		}
		Convey("the path is suspected after one second without a frame", func() {
			So(relay.Check(now.Add(650*time.Millisecond)), ShouldEqual, SuspicionNone)
			So(relay.Check(now.Add(time.Second)), ShouldEqual, SuspicionPathTimeout)
		})
		Convey("a stalled engine is suspected while heartbeats arrive", func() {
			late := now.Add(600 * time.Millisecond)
			So(relay.Accept(late, &frame.Frame{Kind: frame.KindHeartbeat, Generation: g}), ShouldEqual, VerdictHeartbeat)
			So(relay.Check(late), ShouldEqual, SuspicionEngineStalled)
		})
		Convey("a slower engine gets a longer timeout, up to MaxStallTimeout", func() {
			for p := 50; p < 120; p++ {
				now = now.Add(300 * time.Millisecond)
				relay.Accept(now, tokensFrame(g, wigeonfork.Position(p), 1))
			}
			late := now.Add(900 * time.Millisecond)
			relay.Accept(late, &frame.Frame{Kind: frame.KindHeartbeat, Generation: g})
			So(relay.Check(late), ShouldEqual, SuspicionNone)
			later := now.Add(1300 * time.Millisecond)
			relay.Accept(later, &frame.Frame{Kind: frame.KindHeartbeat, Generation: g})
			So(relay.Check(later), ShouldEqual, SuspicionEngineStalled)
		})
	})
}

func TestRelayAllowsMaxStallTimeoutAfterFirstToken(t *testing.T) {
	Convey("After one token there is no interval sample, so MaxStallTimeout applies", t, func() {
		relay := NewRelay(DefaultLimits())
		g := relay.Begin(start)
		So(relay.Accept(start, tokensFrame(g, 0, 1)), ShouldEqual, VerdictAppended)
		heartbeatAt := func(after time.Duration) Suspicion {
			relay.Accept(start.Add(after), &frame.Frame{Kind: frame.KindHeartbeat, Generation: g})
			return relay.Check(start.Add(after))
		}
		So(heartbeatAt(500*time.Millisecond), ShouldEqual, SuspicionNone)
		So(heartbeatAt(DefaultLimits().MaxStallTimeout+time.Millisecond), ShouldEqual, SuspicionEngineStalled)
	})
}

func TestRelayNextStepAfterSourceLoss(t *testing.T) {
	Convey("Given a relay that has received tokens", t, func() {
		relay := NewRelay(DefaultLimits())
		g := relay.Begin(start)
		relay.Accept(start, tokensFrame(g, 0, 3))
		Convey("the first loss leads to a reattachment, the second to a new generation", func() {
			So(relay.SourceLost(true), ShouldEqual, StepReattach)
			relay.Reattach(start)
			So(relay.SourceLost(true), ShouldEqual, StepContinue)
		})
		Convey("there is no reattachment after a frame that reports the engine as dead", func() {
			relay.Accept(start, &frame.Frame{Kind: frame.KindFailure, Generation: g, Failure: frame.FailureEngineDead})
			So(relay.SourceLost(true), ShouldEqual, StepContinue)
		})
		Convey("an end frame with a higher token count than received is a gap", func() {
			So(relay.Accept(start, &frame.Frame{Kind: frame.KindEnd, Generation: g, Position: 4}), ShouldEqual, VerdictGap)
			So(relay.Ended(), ShouldBeFalse)
		})
		Convey("tokens beyond the next position are a gap and are not appended", func() {
			So(relay.Accept(start, tokensFrame(g, 4, 1)), ShouldEqual, VerdictGap)
			So(relay.Log().Len(), ShouldEqual, 3)
		})
		Convey("the answer fails if the request is rejected", func() {
			relay.Accept(start, &frame.Frame{Kind: frame.KindFailure, Generation: g, Failure: frame.FailureRejected})
			So(relay.SourceLost(false), ShouldEqual, StepFail)
		})
	})
	Convey("Without tokens the answer restarts until MaxAttempts is reached", t, func() {
		limits := DefaultLimits()
		relay := NewRelay(limits)
		for attempt := 1; attempt < limits.MaxAttempts; attempt++ {
			relay.Begin(start)
			So(relay.SourceLost(false), ShouldEqual, StepRestart)
		}
		relay.Begin(start)
		So(relay.SourceLost(false), ShouldEqual, StepFail)
	})
}

func TestLogEndsTextAtRuneBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		var log Log
		var got []byte
		var delivered wigeonfork.Position
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, min(4, len(rest))).Draw(t, "n")
			log.Append(backend.Token{Text: rest[:n]})
			rest = rest[n:]
			next := log.RuneBoundary(delivered)
			part := log.Text(delivered, next)
			if string([]rune(string(part))) != string(part) {
				t.Fatalf("part %q is cut inside a rune", part)
			}
			got = append(got, part...)
			delivered = next
		}
		if string(got) != text {
			t.Fatalf("got %q, want %q", got, text)
		}
	})
}

func TestHandlesAreAuthenticated(t *testing.T) {
	Convey("Given a sealed handle", t, func() {
		sealer, err := NewSealer([]byte("0123456789abcdef"))
		So(err, ShouldBeNil)
		handle := Handle{RequestID: "r1", Workspace: "w", Generation: 2, Agent: "127.0.0.1:1"}
		sealed, err := sealer.Seal(handle)
		So(err, ShouldBeNil)
		Convey("its event id yields the handle and the position under the same key", func() {
			text, position, err := ParseEventID(string(AppendEventID(nil, sealed, 17)))
			So(err, ShouldBeNil)
			So(position, ShouldEqual, 17)
			opened, err := sealer.Open(text)
			So(err, ShouldBeNil)
			So(opened, ShouldResemble, handle)
		})
		Convey("it is rejected with any byte changed or under another key", func() {
			for i := range sealed {
				changed := []byte(sealed)
				changed[i] ^= 1
				if _, err := sealer.Open(string(changed)); err == nil {
					So(string(changed), ShouldEqual, "refused")
				}
			}
			other, _ := NewSealer([]byte("fedcba9876543210"))
			_, err := other.Open(sealed)
			So(err, ShouldEqual, ErrInvalidHandle)
		})
	})
}

func FuzzOpenHandle(f *testing.F) {
	sealer, _ := NewSealer([]byte("0123456789abcdef"))
	sealed, _ := sealer.Seal(Handle{RequestID: "r1"})
	f.Add(sealed + ".3")
	f.Add("x.")
	f.Fuzz(func(t *testing.T, id string) {
		text, _, err := ParseEventID(id)
		if err != nil {
			return
		}
		if _, err := sealer.Open(text); err == nil && text != sealed {
			t.Fatalf("opened %q", text)
		}
	})
}
