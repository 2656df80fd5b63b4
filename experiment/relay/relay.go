// Package relay measures the cost of relaying tokens through real processes: the
// CPU time of an entry and an agent per token, and the latency added to first and
// later tokens.
package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/experiment/report"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/test/process"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// Targets set by the users.
const (
	boundFirstTokenAdded = 10.0   // milliseconds at p95
	boundLaterTokenAdded = 1.0    // milliseconds at p99
	boundEntryRate       = 33_000 // tokens a second with one core
	boundAgentRate       = 3_600  // tokens a second with a tenth of a core
	agentShare           = 0.1
)

// Sizes of the experiment.
const (
	agents          = 4
	slots           = 256
	tokensPerSecond = 50
	loadStreams     = 400
	loadTokens      = 300
	pacedStreams    = 200
	pacedTokens     = 40
	pacedParallel   = 4
	quickDivisor    = 10
	timeout         = 2 * time.Minute
)

// Part is a part of the experiment.
type Part string

// The parts of the experiment.
const (
	PartLatency    Part = "latency"
	PartThroughput Part = "throughput"
	PartStreams    Part = "streams"
)

// Options describe a run.
type Options struct {
	// Quick runs a tenth of the load, as a trial.
	Quick bool
	// Part is the part to run; empty runs latency and throughput.
	Part Part
	// Streams is the number of open streams of PartStreams.
	Streams int
	// CSV, if set, receives the rows as comma-separated values.
	CSV io.Writer
}

// Run runs the experiment with processes limited to one core each. It returns the
// number of targets missed.
func Run(out io.Writer, options Options) (int, error) {
	binaries, err := process.Build()
	if err != nil {
		return 0, err
	}
	defer func() { _ = binaries.Remove() }()
	var engines []engine.Options
	for range agents {
		engines = append(engines, options.engine())
	}
	system, err := realsystem.Start(realsystem.Options{Binaries: binaries, Engines: engines, Environment: []string{"WIGEON_LOG_LEVEL=warn", "GOMAXPROCS=1"}})
	if err != nil {
		return 0, err
	}
	defer system.Close()
	divisor := 1
	if options.Quick {
		divisor = quickDivisor
	}
	r := report.New(out, options.CSV, "measure", "samples", "direct", "through", "unit")
	if options.runs(PartLatency) {
		if err := latency(r, system, pacedStreams/divisor); err != nil {
			return 0, err
		}
	}
	if options.runs(PartThroughput) {
		if err := throughput(r, system, loadStreams/divisor); err != nil {
			return 0, err
		}
	}
	if options.Part == PartStreams {
		if err := openStreams(r, system, options.Streams/divisor); err != nil {
			return 0, err
		}
	}
	return r.Print()
}

func (o *Options) runs(part Part) bool { return o.Part == "" || o.Part == part }

// engine returns the options of an engine for the parts that run.
func (o *Options) engine() engine.Options {
	if o.Part == PartStreams {
		return engine.Options{TokensPerSecond: heldTokensPerSecond, Slots: o.Streams}
	}
	return engine.Options{TokensPerSecond: tokensPerSecond, Slots: slots}
}

// tokenTimes holds the first-token and inter-token times of many streams.
type tokenTimes struct {
	mu    sync.Mutex
	first *report.Samples
	later *report.Samples
}

func newTimes() *tokenTimes {
	return &tokenTimes{first: report.NewSamples(), later: report.NewSamples()}
}

// streamTimer measures the token times of one stream.
type streamTimer struct {
	times   *tokenTimes
	last    time.Time
	started bool
}

func (c *streamTimer) recordToken() {
	now := time.Now()
	c.times.mu.Lock()
	defer c.times.mu.Unlock()
	if c.started {
		c.times.later.Add(now.Sub(c.last))
	} else {
		c.times.first.Add(now.Sub(c.last))
	}
	c.started = true
	c.last = now
}

// latency compares streams requested from an engine directly with streams through
// the system. Each worker alternates between the two.
func latency(r *report.Report, system *realsystem.System, streams int) error {
	direct, through := newTimes(), newTimes()
	err := parallel(streams, pacedParallel, func(i int) error {
		if err := streamFromEngine(system, direct, i); err != nil {
			return err
		}
		return streamThroughEntry(system, through, i, pacedTokens)
	})
	if err != nil {
		return err
	}
	for _, quantile := range []float64{50, 95, 99} {
		r.Row(fmt.Sprintf("first token p%g", quantile), through.first.Count(), direct.first.Millis(quantile), through.first.Millis(quantile), "ms")
	}
	for _, quantile := range []float64{50, 95, 99} {
		r.Row(fmt.Sprintf("later tokens p%g", quantile), through.later.Count(), direct.later.Millis(quantile), through.later.Millis(quantile), "ms")
	}
	r.AtMost("first token added p95", through.first.Millis(95)-direct.first.Millis(95), boundFirstTokenAdded, "ms")
	r.AtMost("later token added p99", through.later.Millis(99)-direct.later.Millis(99), boundLaterTokenAdded, "ms")
	return nil
}

// streamFromEngine reads one answer from an engine directly.
func streamFromEngine(system *realsystem.System, t *tokenTimes, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	direct := httpbackend.NewEngine(httpbackend.Options{Address: system.Standins.Engines[i%agents].Addr()})
	defer direct.Close()
	c := streamTimer{times: t, last: time.Now()}
	stream, err := direct.Generate(ctx, backend.GenerateRequest{
		StreamID: fmt.Sprintf("direct-%d", i), Model: embedded.Model, Version: embedded.Version,
		Prompt: fmt.Sprintf("direct %d", i), MaxTokens: pacedTokens,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return readDirect(ctx, stream, &c)
}

// readDirect records a token when the text up to it ends at a rune boundary. A caller
// of an entry also waits for the rest of an incomplete rune.
func readDirect(ctx context.Context, stream backend.Stream, c *streamTimer) error {
	var log generation.Log
	var delivered wigeonfork.Position
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
		for _, token := range chunk.Tokens {
			log.Append(token)
		}
		if next := log.RuneBoundary(delivered); next > delivered {
			delivered = next
			c.recordToken()
		}
	}
}

// streamThroughEntry reads one answer through an entry. If t is nil, no times are
// recorded.
func streamThroughEntry(system *realsystem.System, t *tokenTimes, i, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := caller.Client{HTTP: http.DefaultClient}
	c := streamTimer{times: t, last: time.Now()}
	request := caller.Request{Workspace: embedded.Workspace, Model: embedded.Model, Prompt: fmt.Sprintf("through %d", i), MaxTokens: uint32(tokens), Seed: uint64(i)}
	_, last, err := client.Generate(ctx, []string{system.Entries[0].ServeAddress}, request, func(event caller.Event) {
		if t != nil && event.Text != "" {
			c.recordToken()
		}
	})
	if err == nil && last.FinishReason == "" {
		return errors.New("answer has no finish reason")
	}
	return err
}

// throughput measures the CPU time per token under many streams.
func throughput(r *report.Report, system *realsystem.System, streams int) error {
	before, err := readCPUTime(system)
	if err != nil {
		return err
	}
	generatedBefore := generated(system)
	if err := parallel(streams, streams, func(i int) error {
		return streamThroughEntry(system, nil, i, loadTokens)
	}); err != nil {
		return err
	}
	after, err := readCPUTime(system)
	if err != nil {
		return err
	}
	tokens := float64(generated(system) - generatedBefore)
	entryRate := tokens / (after.entry - before.entry).Seconds()
	agentRate := tokens / (after.agents - before.agents).Seconds()
	r.Row("entry tokens per core second", int(tokens), "", entryRate, "tokens/s")
	r.Row("agent tokens per core second", int(tokens), "", agentRate, "tokens/s")
	r.AtLeast("entry with one core", entryRate, boundEntryRate, "tokens/s")
	r.AtLeast("agent with a tenth of a core", agentRate*agentShare, boundAgentRate, "tokens/s")
	return nil
}

func generated(system *realsystem.System) uint64 {
	var tokens uint64
	for _, e := range system.Standins.Engines {
		tokens += e.TokensGenerated()
	}
	return tokens
}

type cpuTime struct {
	entry, agents time.Duration
}

func readCPUTime(system *realsystem.System) (cpuTime, error) {
	var u cpuTime
	var err error
	if u.entry, err = system.Entries[0].CPU(); err != nil {
		return u, err
	}
	for _, a := range system.Agents {
		used, err := a.CPU()
		if err != nil {
			return u, err
		}
		u.agents += used
	}
	return u, nil
}

// parallel calls do for each of n indexes from several workers, and returns the
// first error. An error does not stop the other calls.
func parallel(n, workers int, do func(i int) error) error {
	indexes := make(chan int)
	failures := make(chan error, workers)
	var wait sync.WaitGroup
	for range workers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range indexes {
				if err := do(i); err != nil {
					select {
					case failures <- err:
					default:
					}
				}
			}
		}()
	}
	for i := range n {
		indexes <- i
	}
	close(indexes)
	wait.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}
