// Package command implements the operations that change an agent's state: to
// start, read and end generations, to run calls to a plain service, and to
// execute orders.
package command

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent/session"
	"github.com/wigeonfork/wigeonfork/agentapi"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/httpserver"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// maxEngineResumes bounds the consecutive attempts to resume a broken engine
// stream that yield no token.
const maxEngineResumes = 2

// Generations starts the generations of one agent and streams them to entries.
type Generations struct {
	// Server is the backend server beside the agent.
	Server  wigeonfork.BackendServerID
	Engine  backend.Engine
	Table   *session.Table
	Metrics telemetry.Registry
	Log     *telemetry.Logger
	// Background is cancelled when the agent stops. Generations run under it, so that
	// they outlive the entry's request.
	Background context.Context
	// EngineIncarnation returns the engine incarnation of the last load report.
	EngineIncarnation func() string
	Deaths            *Deaths
	// MarkEngineDown marks the engine as down until it responds to a query again.
	MarkEngineDown func()
	// Load returns the engine's last reported load for the frames of a stream.
	Load func() frame.Load

	running sync.WaitGroup
}

// Wait blocks until no generation is running.
func (g *Generations) Wait() { g.running.Wait() }

// Begin starts a generation and streams its frames.
func (g *Generations) Begin(w http.ResponseWriter, r *http.Request) {
	body, readErr := httpserver.ReadBody(w, r, agentapi.MaxBodyBytes)
	if readErr != nil {
		problem.Write(w, readErr)
		return
	}
	var call agentapi.Generate
	if json.Unmarshal(body, &call) != nil {
		problem.Write(w, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepDispatch, "malformed generate call"))
		return
	}
	s, err := g.start(&call)
	if err != nil {
		problem.Write(w, err.For(call.RequestID))
		return
	}
	g.stream(w, r, s, s.FirstPosition)
}

func (g *Generations) start(call *agentapi.Generate) (*session.Session, *problem.Error) {
	if call.BackendServer != g.Server {
		return nil, problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepDispatch, "this address is that of backend server %s, not %s", g.Server, call.BackendServer)
	}
	ctx, cancel := context.WithCancel(g.Background)
	s := session.New(call, time.Now(), cancel)
	s.EngineIncarnation = g.EngineIncarnation()
	s.Epoch = g.Deaths.Epoch()
	switch err := g.Table.Add(s); {
	case errors.Is(err, session.ErrClosed):
		cancel()
		return nil, problem.New(problem.CodeDraining, problem.RunNot, problem.StepDispatch, "agent is leaving")
	case err != nil:
		cancel()
		return nil, problem.New(problem.CodeConflict, problem.RunUnknown, problem.StepDispatch, "generation %d exists", call.Generation)
	}
	telemetry.Counter(g.Metrics, "agent.generations").Inc(1)
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		g.produce(ctx, s, call.EngineRequest())
	}()
	return s, nil
}

// HandOverAll ends all running generations with FailureHandover, so that entries
// continue them on other agents. It returns their number.
func (g *Generations) HandOverAll() int {
	handedOver := 0
	for _, s := range g.Table.All() {
		if s.Fail(frame.FailureHandover, "", time.Now()) {
			s.Cancel()
			handedOver++
		}
	}
	return handedOver
}

// produce appends the engine's tokens to s until the answer is complete or the
// generation fails. It resumes a broken stream if the engine may still hold it.
func (g *Generations) produce(ctx context.Context, s *session.Session, request backend.GenerateRequest) {
	defer s.Cancel()
	stream, err := g.Engine.Generate(ctx, request)
	if err == nil {
		s.Accepted(time.Now())
	}
	for attempt := 0; ; attempt++ {
		if err == nil {
			before := s.Len()
			err = g.consume(ctx, s, stream)
			if err == nil {
				return
			}
			if s.Len() > before {
				attempt = 0
			}
		}
		if ctx.Err() != nil {
			g.abandon(s, request.StreamID)
			return
		}
		if attempt >= maxEngineResumes || !g.resumable(err) {
			g.fail(s, err)
			return
		}
		stream, err = g.Engine.Resume(ctx, request.StreamID, s.Len())
	}
}

// resumable reports whether the engine may still hold the stream.
func (g *Generations) resumable(err error) bool {
	return g.Engine.Capabilities().ResumeStream && infra.OutcomeOf(err) != infra.OutcomeNotDone
}

// consume appends the chunks of one engine stream to s. It returns nil once the
// answer is complete.
func (g *Generations) consume(ctx context.Context, s *session.Session, stream backend.Stream) error {
	defer func() { _ = stream.Close() }()
	tokens := telemetry.Counter(g.Metrics, "agent.tokens")
	decoding := false
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if !s.Append(chunk) {
			return errors.Newf("tokens missing before position %d", chunk.Position)
		}
		if !decoding && len(chunk.Tokens) > 0 {
			decoding = true
			s.FirstToken(time.Now())
		}
		tokens.Inc(int64(len(chunk.Tokens)))
		if !chunk.Done {
			continue
		}
		if !s.End(chunk, time.Now()) {
			return errors.Newf("engine reported %d tokens but sent %d", chunk.Position, s.Len())
		}
		return nil
	}
}

func (g *Generations) abandon(s *session.Session, streamID string) {
	s.Fail(frame.FailureCancelled, "", time.Now())
	if !g.Engine.Capabilities().Cancel {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.Background), cancelTimeout)
	defer cancel()
	if err := g.Engine.Cancel(ctx, streamID); err != nil {
		g.Log.Debug().Str("step", "cancel").Err(err).Msg("cancel_failed")
	}
}

// cancelTimeout bounds the request that cancels a stream on the engine.
const cancelTimeout = time.Second

func (g *Generations) fail(s *session.Session, err error) {
	failure := g.classifyFailure(s, err)
	telemetry.Counter(g.Metrics, "agent.failures."+failure.String()).Inc(1)
	g.Log.Warn().Str("request", string(s.Key.RequestID)).Uint32("generation", uint32(s.Key.Generation)).
		Str("failure", failure.String()).Err(err).Msg("generation_failed")
	message := ""
	if failure == frame.FailureEngineDead {
		message = g.Deaths.Record(s, time.Now())
		g.MarkEngineDown()
	}
	s.Fail(failure, message, time.Now())
}

// classifyFailure returns the reason why a generation failed. An engine that still
// responds in the same incarnation has failed only this generation.
func (g *Generations) classifyFailure(s *session.Session, err error) frame.Failure {
	switch {
	case errors.Is(err, backend.ErrRejected):
		return frame.FailureRejected
	case errors.Is(err, backend.ErrOverloaded):
		return frame.FailureOverloaded
	}
	if g.engineAlive(s) {
		// An engine that is about to exit may still respond to the first check.
		select {
		case <-time.After(engineRecheckDelay):
		case <-g.Background.Done():
		}
		if g.engineAlive(s) {
			return frame.FailureStream
		}
	}
	return frame.FailureEngineDead
}

// engineAlive reports whether the engine responds and is still in the incarnation
// in which the generation began.
func (g *Generations) engineAlive(s *session.Session) bool {
	ctx, cancel := context.WithTimeout(g.Background, engineCheckTimeout)
	defer cancel()
	load, err := g.Engine.Load(ctx)
	return err == nil && load.Incarnation == s.EngineIncarnation
}

const (
	// engineCheckTimeout bounds one check whether the engine is alive.
	engineCheckTimeout = 200 * time.Millisecond
	// engineRecheckDelay is the time between the first and the second check.
	engineRecheckDelay = 20 * time.Millisecond
)
