// Package demo streams an answer through an embedded system, kills the engine
// midway and compares every token with the expected answer.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

const (
	engines         = 3
	tokensPerSecond = 60
	maxTokens       = 120
	killAfterEvents = 30
	seed            = 7
	prompt          = "Summarise the ascents of the north ridge."
	timeout         = 30 * time.Second
)

// Run runs the demo and writes its progress to out. It returns nil only if every
// token of the answer was compared and none was missing or repeated.
func Run(out io.Writer) error {
	var options []engine.Options
	for range engines {
		options = append(options, engine.Options{TokensPerSecond: tokensPerSecond, BufferFor: time.Minute})
	}
	system, err := embedded.Start(embedded.Options{Engines: options})
	if err != nil {
		return err
	}
	defer system.Close()
	fmt.Fprintf(out, "entry at http://%s with %d agents and engines; streaming %d tokens\n", system.Entries[0].Address, engines, maxTokens)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	got, err := stream(ctx, out, system)
	if err != nil {
		return err
	}
	return compare(out, got)
}

func compare(out io.Writer, got string) error {
	expected := engine.Answer(embedded.Model, embedded.Version, prompt, seed, maxTokens)
	var want strings.Builder
	for _, token := range expected {
		want.Write(token.Text)
	}
	if got != want.String() {
		return errors.Newf("answer differs: got %d bytes, want %d", len(got), want.Len())
	}
	fmt.Fprintf(out, "whole answer: all %d tokens compared, none missing, none repeated\n", len(expected))
	return nil
}

// stream reads the answer and kills the engine that serves it after
// killAfterEvents events.
func stream(ctx context.Context, out io.Writer, system *embedded.System) (string, error) {
	client := caller.Client{HTTP: http.DefaultClient}
	request := caller.Request{Workspace: embedded.Workspace, Model: embedded.Model, Prompt: prompt, MaxTokens: maxTokens, Seed: seed}
	events := 0
	text, last, err := client.Generate(ctx, []string{system.Entries[0].Address}, request, func(caller.Event) {
		if events++; events == killAfterEvents {
			killActiveEngine(out, system)
		}
	})
	if err != nil {
		return "", err
	}
	fmt.Fprintf(out, "finish_reason=%s completion_tokens=%d\n", last.FinishReason, last.CompletionTokens)
	return text, nil
}

// killActiveEngine kills the engine that runs the stream.
func killActiveEngine(out io.Writer, system *embedded.System) {
	i := system.RunningEngine()
	if i < 0 {
		return
	}
	fmt.Fprintf(out, "killing %s midway\n", embedded.ServerID(i))
	system.Standins.Engines[i].Kill()
}
