package embedded

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// readRest reads a stream to its end and returns text with the stream's text appended.
func readRest(stream *caller.Stream, text string) (string, error) {
	for {
		event, err := stream.Next()
		if err != nil {
			return text, err
		}
		text += event.Text
	}
}

func TestResumeAtOtherEntryKeepsGeneration(t *testing.T) {
	Convey("A caller that resumes at another entry while its old connection is open gets the rest from the same generation", t, func() {
		system := startSystem(t, 2, 3)
		defer system.Close()
		client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		old, err := client.Start(ctx, system.Entries[0].Address, testRequest("Come back"))
		So(err, ShouldBeNil)
		defer func() { _ = old.Close() }()
		var event caller.Event
		text := ""
		for range 10 {
			event, err = old.Next()
			So(err, ShouldBeNil)
			text += event.Text
		}
		next, err := client.Resume(ctx, system.Entries[1].Address, Workspace, event.ID)
		So(err, ShouldBeNil)
		defer func() { _ = next.Close() }()
		text, err = readRest(next, text)
		So(errors.Is(err, io.EOF), ShouldBeTrue)
		So(text, ShouldEqual, expectedText("Come back"))
		_, err = readRest(old, "")
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		So(engineRuns(system), ShouldEqual, 1)
		So(telemetry.Counter(system.Entries[1].Metrics, "relay.losses").Count(), ShouldEqual, 0)
	})
}

func TestEntryDrainLimitHandsStreamsOver(t *testing.T) {
	Convey("An entry at its drain limit sends its callers to another entry and truncates no answer", t, func() {
		options := Options{Entries: 2, EntryDrainLimit: 50 * time.Millisecond}
		for range 2 {
			options.Engines = append(options.Engines, engine.Options{TokensPerSecond: 50, BufferFor: time.Minute})
		}
		system, err := Start(options)
		So(err, ShouldBeNil)
		defer system.Close()
		drained := make(chan struct{})
		text, last, err := generateWithFault(system, "Draft a decision", func(int) {
			go func() {
				defer close(drained)
				system.Entries[0].Process.Drain(context.Background())
				system.Entries[0].Process.Stop()
			}()
		})
		<-drained
		So(err, ShouldBeNil)
		So(text, ShouldEqual, expectedText("Draft a decision"))
		So(last.CompletionTokens, ShouldEqual, len(engine.Answer(Model, Version, "Draft a decision", 11, testTokens)))
		So(telemetry.Counter(system.Entries[0].Metrics, "relay.handed_over").Count(), ShouldEqual, 1)
		So(engineRuns(system), ShouldEqual, 1)
	})
}
