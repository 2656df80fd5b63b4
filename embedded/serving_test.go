package embedded

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// testTimeout limits the wait for an event that never comes.
const testTimeout = 30 * time.Second

const testTokens = 90

// startSystem starts entries and engines that generate 100 tokens per second.
func startSystem(t *testing.T, entries, engines int) *System {
	options := Options{Entries: entries}
	for range engines {
		options.Engines = append(options.Engines, engine.Options{TokensPerSecond: 100, BufferFor: time.Minute})
	}
	system, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	return system
}

func testRequest(prompt string) caller.Request {
	return caller.Request{Workspace: Workspace, Model: Model, Prompt: prompt, MaxTokens: testTokens, Seed: 11}
}

// expectedText returns the text that an engine without faults generates.
func expectedText(prompt string) string {
	var text strings.Builder
	for _, token := range engine.Answer(Model, Version, prompt, 11, testTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

// generateWithFault reads a complete answer. After 20 events it calls fault once with the index of
// the engine that runs the answer.
func generateWithFault(s *System, prompt string, fault func(engine int)) (string, caller.Event, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var entries []string
	for _, node := range s.Entries {
		entries = append(entries, node.Address)
	}
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	events := 0
	return client.Generate(ctx, entries, testRequest(prompt), func(caller.Event) {
		if events++; events == 20 {
			fault(s.RunningEngine())
		}
	})
}

func TestAnswerIsCompleteAfterFault(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	cases := []struct {
		name  string
		fault func(s *System, engine int)
	}{
		{"the engine dies", func(s *System, i int) { s.Standins.Engines[i].Kill() }},
		{"the agent dies", func(s *System, i int) { s.Agents[i].Process.Stop() }},
		{"the host dies", func(s *System, i int) { s.Standins.Engines[i].Kill(); s.Agents[i].Process.Stop() }},
		{"the engine pauses", func(s *System, i int) { s.Standins.Engines[i].Pause() }},
		{"the engine answers health checks but generates nothing", func(s *System, i int) {
			s.Standins.Engines[i].Update(func(o *engine.Options) { o.Stuck = true })
		}},
		{"the engine goes at a tenth of its speed", func(s *System, i int) {
			s.Standins.Engines[i].Update(func(o *engine.Options) { o.SlowFactor = 10 })
		}},
		{"the entry dies", func(s *System, _ int) { s.Entries[0].Process.Stop() }},
		{"the agent drains", func(s *System, i int) { go s.Agents[i].Process.Drain(context.Background()) }},
	}
	for _, c := range cases {
		Convey("An answer is complete when "+c.name, t, func() {
			system := startSystem(t, 2, 3)
			defer system.Close()
			prompt := "Summarise the hazards; " + c.name
			text, last, err := generateWithFault(system, prompt, func(i int) {
				So(i, ShouldBeGreaterThanOrEqualTo, 0)
				c.fault(system, i)
			})
			So(err, ShouldBeNil)
			So(text, ShouldEqual, expectedText(prompt))
			So(last.CompletionTokens, ShouldEqual, len(engine.Answer(Model, Version, prompt, 11, testTokens)))
			So(last.FinishReason, ShouldNotBeEmpty)
		})
	}
}

func TestAnswerMovesOffSlowEngine(t *testing.T) {
	Convey("An answer moves to another engine when its engine slows down to a tenth of its speed", t, func() {
		system := startSystem(t, 1, 3)
		defer system.Close()
		slow := -1
		text, _, err := generateWithFault(system, "Slow engine", func(i int) {
			slow = i
			system.Standins.Engines[i].Update(func(o *engine.Options) { o.SlowFactor = 10 })
		})
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText("Slow engine"))
		So(engineRuns(system), ShouldEqual, 2)
		So(slow, ShouldBeGreaterThanOrEqualTo, 0)
		So(len(system.Standins.Engines[slow].Runs()), ShouldEqual, 1)
	})
}

func TestAgentDrainLimitHandsStreamsOver(t *testing.T) {
	Convey("An agent near its drain limit hands over its streams with their positions", t, func() {
		options := Options{AgentDrainLimit: 50 * time.Millisecond}
		for range 3 {
			options.Engines = append(options.Engines, engine.Options{TokensPerSecond: 50, BufferFor: time.Minute})
		}
		system, err := Start(options)
		So(err, ShouldBeNil)
		defer system.Close()
		drained := make(chan struct{})
		text, _, err := generateWithFault(system, "Draft a letter", func(i int) {
			go func() {
				defer close(drained)
				system.Agents[i].Process.Drain(context.Background())
			}()
		})
		<-drained
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText("Draft a letter"))
		So(engineRuns(system), ShouldEqual, 2)
	})
}

func engineRuns(s *System) int {
	runs := 0
	for _, e := range s.Standins.Engines {
		runs += len(e.Runs())
	}
	return runs
}

func TestDrainingEntryFinishesStreamsAndRefusesNewRequests(t *testing.T) {
	Convey("A draining entry finishes its answers and refuses new requests as not run", t, func() {
		system := startSystem(t, 1, 2)
		defer system.Close()
		drained := make(chan struct{})
		client := caller.Client{HTTP: http.DefaultClient}
		var refusal error
		text, _, err := generateWithFault(system, "Long narrative", func(int) {
			go func() {
				defer close(drained)
				system.Entries[0].Process.Drain(context.Background())
			}()
			for refusal == nil {
				_, refusal = client.Start(context.Background(), system.Entries[0].Address, testRequest("late"))
			}
		})
		<-drained
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText("Long narrative"))
		var typed *problem.Error
		So(errors.As(refusal, &typed), ShouldBeTrue)
		So(typed.Code, ShouldEqual, problem.CodeDraining)
		So(typed.Run, ShouldEqual, problem.RunNot)
		So(typed.RetryAfter, ShouldBeGreaterThan, 0)
	})
}

func TestCallerDisconnectCancelsRun(t *testing.T) {
	Convey("The engine's run is cancelled when the caller disconnects", t, func() {
		system := startSystem(t, 1, 1)
		defer system.Close()
		system.Standins.Engines[0].Update(func(o *engine.Options) { o.TokensPerSecond = 5 })
		client := caller.Client{HTTP: http.DefaultClient}
		stream, err := client.Start(context.Background(), system.Entries[0].Address, testRequest("Go away"))
		So(err, ShouldBeNil)
		_, err = stream.Next()
		So(err, ShouldBeNil)
		So(stream.Close(), ShouldBeNil)
		deadline := time.Now().Add(testTimeout)
		for system.Standins.Engines[0].RunsEnded(engine.RunCancelled) == 0 && time.Now().Before(deadline) {
			time.Sleep(readyPoll)
		}
		So(system.Standins.Engines[0].RunsEnded(engine.RunCancelled), ShouldEqual, 1)
	})
}

func TestInvalidRequestsReachNoBackendServer(t *testing.T) {
	system := startSystem(t, 1, 1)
	defer system.Close()
	good := fmt.Sprintf(`{"model":%q,"prompt":"x"}`, Model)
	cases := []struct {
		name, workspace, class, body string
		code                         problem.Code
	}{
		{"no body", string(Workspace), "", "", problem.CodeInvalidRequest},
		{"no JSON", string(Workspace), "", "{", problem.CodeInvalidRequest},
		{"no prompt", string(Workspace), "", fmt.Sprintf(`{"model":%q}`, Model), problem.CodeInvalidRequest},
		{"no workspace", "", "", good, problem.CodeUnknownWorkspace},
		{"unknown workspace", "nobody", "", good, problem.CodeUnknownWorkspace},
		{"unknown model", string(Workspace), "", `{"model":"none","prompt":"x"}`, problem.CodeUnknownModel},
		{"unknown class", string(Workspace), "royal", good, problem.CodeInvalidRequest},
		{"zero tokens", string(Workspace), "", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":0}`, Model), problem.CodeInvalidRequest},
		{"too many tokens", string(Workspace), "", fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":99999999}`, Model), problem.CodeInvalidRequest},
		{"too large", string(Workspace), "", `{"prompt":"` + strings.Repeat("x", 5<<20) + `"}`, problem.CodeTooLarge},
	}
	for _, c := range cases {
		Convey("An invalid request is refused: "+c.name, t, func() {
			request, err := http.NewRequest(http.MethodPost, "http://"+system.Entries[0].Address+"/v1/completions", bytes.NewBufferString(c.body))
			So(err, ShouldBeNil)
			request.Header.Set("X-Workspace", c.workspace)
			request.Header.Set("X-Class", c.class)
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			typed := problem.Unmarshal(body)
			So(typed, ShouldNotBeNil)
			So(typed.Code, ShouldEqual, c.code)
			So(typed.Run, ShouldEqual, problem.RunNot)
			So(response.StatusCode, ShouldBeBetween, 399, 500)
		})
	}
	Convey("No request has reached the engine", t, func() {
		So(engineRuns(system), ShouldEqual, 0)
	})
}

func TestResumeHandleIsBoundToWorkspace(t *testing.T) {
	Convey("A resume handle is refused when guessed, modified or used by another workspace", t, func() {
		system := startSystem(t, 1, 1)
		defer system.Close()
		client := caller.Client{HTTP: http.DefaultClient}
		_, last, err := generateWithFault(system, "Private", func(int) {})
		So(err, ShouldBeNil)
		_ = last
		stream, err := client.Start(context.Background(), system.Entries[0].Address, testRequest("Private too"))
		So(err, ShouldBeNil)
		event, err := stream.Next()
		So(err, ShouldBeNil)
		defer func() { _ = stream.Close() }()
		sealed, _, err := generation.ParseEventID(event.ID)
		So(err, ShouldBeNil)
		attempts := []struct {
			workspace wigeonfork.Workspace
			id        string
		}{
			{"other", event.ID},
			{Workspace, "guess.1"},
			{Workspace, sealed[:len(sealed)-2] + "AA.1"},
			{Workspace, ""},
		}
		for _, attempt := range attempts {
			_, err := client.Resume(context.Background(), system.Entries[0].Address, attempt.workspace, attempt.id)
			var typed *problem.Error
			So(errors.As(err, &typed), ShouldBeTrue)
			So(typed.Status(), ShouldBeBetween, 399, 500)
		}
	})
}
