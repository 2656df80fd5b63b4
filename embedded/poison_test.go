package embedded

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// maxEngineDeaths is the highest number of engines that one request may kill.
const maxEngineDeaths = 3

func TestPoisonRequestIsQuarantined(t *testing.T) {
	Convey("Given engines that crash on a poison request", t, func() {
		options := Options{Entries: 2}
		for range 6 {
			options.Engines = append(options.Engines, engine.Options{
				TokensPerSecond: 40, BufferFor: time.Minute,
				Poison: "POISON", PoisonAfterTokens: 5, RestartAfter: 100 * time.Millisecond,
			})
		}
		system, err := Start(options)
		So(err, ShouldBeNil)
		defer system.Close()
		Convey("at most three engines crash however often the request is resent, and all other answers are complete", func() {
			results := startHealthyRequests(system, 8)
			var last *problem.Error
			for round := range 8 {
				last = sendPoison(system, round)
			}
			So(last, ShouldNotBeNil)
			So(last.Code, ShouldEqual, problem.CodeQuarantined)
			So(countCrashes(system), ShouldBeBetweenOrEqual, 1, maxEngineDeaths)
			for err := range results {
				So(err, ShouldBeNil)
			}
		})
	})
}

// startHealthyRequests starts n requests that kill no engine and returns the result of each.
func startHealthyRequests(system *System, n int) <-chan error {
	results := make(chan error, n)
	var wait sync.WaitGroup
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			prompt := fmt.Sprintf("innocent %d", i)
			text, _, err := generateWithFault(system, prompt, func(int) {})
			if err == nil && text != expectedText(prompt) {
				err = errors.Newf("answer %d differs", i)
			}
			results <- err
		}()
	}
	go func() {
		wait.Wait()
		close(results)
	}()
	return results
}

// sendPoison sends the poison request through the entry of the round and returns its final error,
// or nil.
func sendPoison(system *System, round int) *problem.Error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := caller.Client{HTTP: http.DefaultClient}
	request := testRequest("POISON summary")
	request.Seed = uint64(round)
	_, _, err := client.Generate(ctx, []string{system.Entries[round%2].Address}, request, nil)
	var typed *problem.Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}

// countCrashes returns the number of incarnations that were killed while they ran a stream.
func countCrashes(system *System) int {
	incarnations := map[string]bool{}
	for _, e := range system.Standins.Engines {
		for _, run := range e.Runs() {
			if run.End == engine.RunKilled {
				incarnations[run.Incarnation] = true
			}
		}
	}
	return len(incarnations)
}
