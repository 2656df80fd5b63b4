package httpbackend_test

import (
	"context"
	"io"
	"net/http/httptrace"
	"strconv"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

const testTimeout = 20 * time.Second

var request = backend.GenerateRequest{
	StreamID: "s1", Workspace: "w", Model: "m", Version: "v1",
	Prompt: "tokens=200 summarise", Seed: 7, MaxTokens: 150,
}

func expected(r backend.GenerateRequest) []backend.Token {
	return engine.Answer(r.Model, r.Version, r.Prompt, r.Seed, r.MaxTokens)
}

func startEngine(t *testing.T, options engine.Options) (*engine.Running, *httpbackend.Engine, context.Context) {
	options.AnyVersion = true
	running, err := engine.Start("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	client := httpbackend.NewEngine(httpbackend.Options{Address: running.Addr()})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	Reset(func() {
		cancel()
		client.Close()
		running.Close()
	})
	return running, client, ctx
}

// readTokens reads tokens until the end of the stream or until it has limit tokens.
// A negative limit means no limit.
func readTokens(ctx context.Context, stream backend.Stream, from, limit int) ([]backend.Token, backend.Chunk, error) {
	var tokens []backend.Token
	for limit < 0 || len(tokens) < limit {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return tokens, chunk, err
		}
		if chunk.Done {
			return tokens, chunk, nil
		}
		if int(chunk.Position) != from+len(tokens) {
			return tokens, chunk, errors.Newf("position %d after %d", chunk.Position, from+len(tokens))
		}
		tokens = append(tokens, chunk.Tokens...)
	}
	return tokens, backend.Chunk{}, nil
}

func TestAnswer(t *testing.T) {
	Convey("Answers are valid UTF-8, have tokens that split runes, and differ between versions", t, func() {
		split := 0
		var text []byte
		for _, token := range expected(request) {
			if !utf8.Valid(token.Text) {
				split++
			}
			text = append(text, token.Text...)
		}
		So(split, ShouldBeGreaterThan, 0)
		So(utf8.Valid(text), ShouldBeTrue)
		other := request
		other.Version = "v2"
		So(expected(other), ShouldNotResemble, expected(request))
		for n := uint32(1); n < 60; n++ {
			other.MaxTokens = n
			text = text[:0]
			for _, token := range expected(other) {
				text = append(text, token.Text...)
			}
			So(utf8.Valid(text), ShouldBeTrue)
		}
	})
}

func TestGenerate(t *testing.T) {
	Convey("Given an engine", t, func() {
		running, client, ctx := startEngine(t, engine.Options{TokensPerChunk: 7, BufferFor: time.Minute, CacheBlocks: 8})

		Convey("a stream delivers every token, the usage and then io.EOF", func() {
			stream, err := client.Generate(ctx, request)
			So(err, ShouldBeNil)
			tokens, last, err := readTokens(ctx, stream, 0, -1)
			So(err, ShouldBeNil)
			So(tokens, ShouldResemble, expected(request))
			So(last.Position, ShouldEqual, 150)
			So(last.Stop, ShouldEqual, backend.StopLength)
			So(last.PromptTokens, ShouldEqual, 5)
			_, err = stream.Next(ctx)
			So(err, ShouldEqual, io.EOF)
			So(stream.Close(), ShouldBeNil)
		})

		Convey("a request with a prefix gets the remaining tokens, and a wrong prefix is refused", func() {
			complete := expected(request)
			for _, from := range []int{1, 77, 149, 150} {
				rest := request
				rest.StreamID += string(rune('a' + from%26))
				rest.Prefix = nil
				for _, token := range complete[:from] {
					rest.Prefix = append(rest.Prefix, token.ID)
				}
				stream, err := client.Generate(ctx, rest)
				So(err, ShouldBeNil)
				tokens, last, err := readTokens(ctx, stream, from, -1)
				So(err, ShouldBeNil)
				So(append(complete[:from:from], tokens...), ShouldResemble, complete)
				So(last.Position, ShouldEqual, 150)
				So(stream.Close(), ShouldBeNil)
			}
			wrong := request
			wrong.Prefix = []uint32{complete[0].ID, complete[1].ID + 1}
			_, err := client.Generate(ctx, wrong)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
		})

		Convey("a broken stream resumes at its position, and an unknown stream is not found", func() {
			running.Update(func(o *engine.Options) { o.TokensPerSecond = 2000 })
			stream, err := client.Generate(ctx, request)
			So(err, ShouldBeNil)
			tokens, _, err := readTokens(ctx, stream, 0, 30)
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			stream, err = client.Resume(ctx, "s1", wigeonfork.Position(len(tokens)))
			So(err, ShouldBeNil)
			rest, _, err := readTokens(ctx, stream, len(tokens), -1)
			So(err, ShouldBeNil)
			So(append(tokens, rest...), ShouldResemble, expected(request))
			So(stream.Close(), ShouldBeNil)
			So(len(running.Runs()), ShouldEqual, 1)
			_, err = client.Resume(ctx, "other", 0)
			So(errors.Is(err, infra.ErrNotFound), ShouldBeTrue)
		})

		Convey("a kill breaks the stream, later calls are not done, and a restarted engine has no stream", func() {
			running.Update(func(o *engine.Options) { o.TokensPerSecond = 20 })
			stream, err := client.Generate(ctx, request)
			So(err, ShouldBeNil)
			_, _, err = readTokens(ctx, stream, 0, 1)
			So(err, ShouldBeNil)
			before, err := client.Load(ctx)
			So(err, ShouldBeNil)
			running.Kill()
			_, _, err = readTokens(ctx, stream, 1, -1)
			So(err, ShouldNotBeNil)
			So(err, ShouldNotEqual, io.EOF)
			So(ctx.Err(), ShouldBeNil)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			_, err = client.Generate(ctx, request)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeNotDone)
			So(running.Restart(), ShouldBeNil)
			after, err := client.Load(ctx)
			So(err, ShouldBeNil)
			So(after.Incarnation, ShouldNotEqual, before.Incarnation)
			_, err = client.Resume(ctx, "s1", 1)
			So(errors.Is(err, infra.ErrNotFound), ShouldBeTrue)
		})

		Convey("a request to a paused engine gets no response until its caller cancels it", func() {
			running.Pause()
			sent, cancel := context.WithCancel(ctx)
			_, err := client.Generate(httptrace.WithClientTrace(sent, &httptrace.ClientTrace{
				WroteRequest: func(httptrace.WroteRequestInfo) { cancel() },
			}), request)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			running.Continue()
			other := request
			other.StreamID = "s2"
			stream, err := client.Generate(ctx, other)
			So(err, ShouldBeNil)
			tokens, _, err := readTokens(ctx, stream, 0, -1)
			So(err, ShouldBeNil)
			So(tokens, ShouldResemble, expected(other))
			So(stream.Close(), ShouldBeNil)
		})

		Convey("a poison prompt also breaks concurrent streams, and the engine restarts", func() {
			running.Update(func(o *engine.Options) {
				o.TokensPerSecond = 20
				o.Poison = "venom"
				o.RestartAfter = time.Millisecond
			})
			neighbour, err := client.Generate(ctx, request)
			So(err, ShouldBeNil)
			poison := request
			poison.StreamID, poison.Prompt = "p", "some venom"
			stream, err := client.Generate(ctx, poison)
			if err == nil {
				_, _, err = readTokens(ctx, stream, 0, -1)
			}
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			_, _, err = readTokens(ctx, neighbour, 0, -1)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			for err != nil && ctx.Err() == nil {
				_, err = client.Load(ctx)
			}
			So(err, ShouldBeNil)
		})
	})
}

func TestQueueAndFaults(t *testing.T) {
	Convey("Given an engine with one slot that makes no progress", t, func() {
		running, client, ctx := startEngine(t, engine.Options{Slots: 1, Stuck: true, TokensPerSecond: 1e6})

		Convey("of two waiting streams the one with higher priority runs first, and a cancelled one never", func() {
			streams := map[string]backend.Stream{}
			for _, queued := range []struct {
				id       string
				priority int
			}{{"first", 0}, {"low", 1}, {"gone", 9}, {"high", 5}} {
				req := request
				req.StreamID, req.Priority = queued.id, queued.priority
				stream, err := client.Generate(ctx, req)
				So(err, ShouldBeNil)
				streams[queued.id] = stream
			}
			So(client.Cancel(ctx, "gone"), ShouldBeNil)
			_, _, err := readTokens(ctx, streams["gone"], 0, -1)
			So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
			load, err := client.Load(ctx)
			So(err, ShouldBeNil)
			So([]int{load.Running, load.Waiting}, ShouldResemble, []int{1, 2})
			running.Update(func(o *engine.Options) { o.Stuck = false })
			_, _, err = readTokens(ctx, streams["high"], 0, -1)
			So(err, ShouldBeNil)
			So(running.RunsEnded(engine.RunCancelled), ShouldEqual, 1)
			_, _, err = readTokens(ctx, streams["low"], 0, -1)
			So(err, ShouldBeNil)
			order := map[string]int{}
			for _, run := range running.Runs() {
				order[run.StreamID] = run.Start
			}
			So(order, ShouldResemble, map[string]int{"first": 1, "high": 2, "low": 3, "gone": 0})
			So(running.MaxConcurrency(), ShouldEqual, 1)
			for _, stream := range streams {
				So(stream.Close(), ShouldBeNil)
			}
		})
	})

	Convey("A closed stream frees its slot after the buffering time, or at once if that is 0", t, func() {
		for _, bufferFor := range []time.Duration{0, 20 * time.Millisecond} {
			running, client, ctx := startEngine(t, engine.Options{Slots: 1, TokensPerSecond: 10, BufferFor: bufferFor})
			stream, err := client.Generate(ctx, request)
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			for load := (backend.LoadReport{Running: 1}); load.Running > 0; {
				load, err = client.Load(ctx)
				So(err, ShouldBeNil)
			}
			So(running.RunsEnded(engine.RunCancelled), ShouldEqual, 1)
			_, err = client.Resume(ctx, request.StreamID, 0)
			So(errors.Is(err, infra.ErrNotFound), ShouldBeTrue)
		}
	})

	Convey("Faults of a version affect only the requests that match them", t, func() {
		_, client, ctx := startEngine(t, engine.Options{Faults: []engine.VersionFault{
			{Version: "bad", Workspace: "w", FailRate: 1, FailAtToken: 20},
			{Version: "short", WrongStopRate: 1},
			{Version: "dead", FailRate: 1},
		}})
		ends := map[wigeonfork.Version]int{}
		for _, version := range []wigeonfork.Version{"good", "bad", "short"} {
			req := request
			req.StreamID, req.Version = string(version), version
			stream, err := client.Generate(ctx, req)
			So(err, ShouldBeNil)
			tokens, last, err := readTokens(ctx, stream, 0, -1)
			So(err == nil, ShouldEqual, version != "bad")
			So(err != nil || last.Stop != "", ShouldBeTrue)
			ends[version] = len(tokens)
			So(stream.Close(), ShouldBeNil)
		}
		So(ends, ShouldResemble, map[wigeonfork.Version]int{"good": 150, "bad": 20, "short": 75})
		req := request
		req.Version = "dead"
		_, err := client.Generate(ctx, req)
		So(infra.OutcomeOf(err), ShouldEqual, infra.OutcomeUnknown)
		req.StreamID, req.Version, req.Workspace = "other", "bad", "x"
		stream, err := client.Generate(ctx, req)
		So(err, ShouldBeNil)
		_, _, err = readTokens(ctx, stream, 0, -1)
		So(err, ShouldBeNil)
		So(stream.Close(), ShouldBeNil)
	})
}

func TestOrdersAndCache(t *testing.T) {
	Convey("An order with an old fencing number is refused only by an engine that checks the number", t, func() {
		for _, checks := range []bool{true, false} {
			running, client, ctx := startEngine(t, engine.Options{ChecksFencing: checks})
			order := backend.Order{Kind: backend.OrderLoad, Scope: "d", Fencing: 5, Model: "m", Version: "v9"}
			So(client.Order(ctx, order), ShouldBeNil)
			order.Fencing = 4
			err := client.Order(ctx, order)
			So(errors.Is(err, httpbackend.ErrStaleFencing), ShouldEqual, checks)
			So(err == nil, ShouldEqual, !checks)
			So(len(running.RefusedOrders()) == 1, ShouldEqual, checks)
			for ready := false; !ready; {
				load, err := client.Load(ctx)
				So(err, ShouldBeNil)
				ready = len(load.Versions) == 1 && load.Versions[0].Ready
			}
		}
	})
	Convey("A prompt's blocks are cached, reused by the next prompt, and reported in events", t, func() {
		_, client, ctx := startEngine(t, engine.Options{CacheBlocks: 2})
		req := request
		req.Prompt = "tokens=1 " + string(make([]byte, 2*httpbackend.PrefixBlockBytes))
		cached := []uint32{}
		for _, id := range []string{"a", "b"} {
			req.StreamID = id
			stream, err := client.Generate(ctx, req)
			So(err, ShouldBeNil)
			_, last, err := readTokens(ctx, stream, 0, -1)
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			cached = append(cached, last.CachedTokens)
		}
		So(cached, ShouldResemble, []uint32{0, 2 * httpbackend.PrefixBlockTokens})
		events, err := client.CacheEvents(ctx, 1)
		So(err, ShouldBeNil)
		So(len(events), ShouldEqual, 1)
		So(events[0].Prefix, ShouldEqual, httpbackend.PrefixHashes("m", "v1", "", req.Prompt)[0])
	})
}

func BenchmarkGenerate(b *testing.B) {
	running, err := engine.Start("127.0.0.1:0", engine.Options{AnyVersion: true})
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	client := httpbackend.NewEngine(httpbackend.Options{Address: running.Addr()})
	defer client.Close()
	req := request
	req.Prompt = "tokens=" + strconv.Itoa(b.N) + " p"
	req.MaxTokens = 0
	b.ReportAllocs()
	b.ResetTimer()
	stream, err := client.Generate(context.Background(), req)
	if err != nil {
		b.Fatal(err)
	}
	tokens, _, err := readTokens(context.Background(), stream, 0, -1)
	if err != nil || len(tokens) != b.N {
		b.Fatal(len(tokens), err)
	}
}
