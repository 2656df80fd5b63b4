package embedded

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/ctl"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// newVersion is the version to which traffic is moved.
const newVersion wigeonfork.Version = "v2"

const (
	moveTokens = 12
	callers    = 12
)

// startMoveSystem starts a system in which a move needs one second to evaluate a version.
func startMoveSystem(t *testing.T, faults ...engine.VersionFault) *System {
	options := Options{Entries: 2, MoveSettle: time.Second}
	for range 4 {
		options.Engines = append(options.Engines, engine.Options{
			TokensPerSecond: 200, Slots: 8, BufferFor: time.Minute, LoadDuration: 100 * time.Millisecond, Faults: faults,
		})
	}
	system, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	system.Standins.Weights.Set(Model, newVersion, 1<<20)
	return system
}

// wigeonctl runs the operators' command line against the first entry. It returns the exit code
// and the output.
func wigeonctl(s *System, args ...string) (int, string) {
	var out bytes.Buffer
	common := []string{"--entry", s.Entries[0].Control, "--operator-key", Credentials().Operator, "--timeout", "40s"}
	code := ctl.Run(append(common, args...), &out, &out)
	return code, out.String()
}

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "input.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// setMoveParameters gives the deployment the parameters of a quick move.
func setMoveParameters(t *testing.T, s *System) {
	code, out := wigeonctl(s, "template", "set", writeFile(t, `{"name":"default","parameters":[
		{"name":"move_min_requests","type":"integer","default":200},
		{"name":"move_watch","type":"duration","default":"10m"}]}`))
	if code != ctl.ExitOK {
		t.Fatal(out)
	}
	_, text := wigeonctl(s, "deployment", "get", string(Deployment))
	var d map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &d); err != nil {
		t.Fatal(err)
	}
	d["values"] = json.RawMessage(`{"move_min_requests":5,"move_watch":"500ms"}`)
	changed, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	if code, out := wigeonctl(s, "deployment", "set", writeFile(t, string(changed))); code != ctl.ExitOK {
		t.Fatal(out)
	}
}

// traffic sends requests through both entries until it is stopped. mixed counts the answers that
// are not the complete answer of either version.
type traffic struct {
	answered, failed, mixed atomic.Int64
	stop                    chan struct{}
	wait                    sync.WaitGroup
}

func startTraffic(s *System) *traffic {
	t := &traffic{stop: make(chan struct{})}
	for worker := range callers {
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			for i := 0; ; i++ {
				select {
				case <-t.stop:
					return
				default:
					t.send(s, fmt.Sprintf("move %d %d", worker, i), worker)
				}
			}
		}()
	}
	return t
}

func (t *traffic) send(s *System, prompt string, worker int) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := caller.Client{HTTP: http.DefaultClient}
	request := caller.Request{Workspace: Workspace, Model: Model, Prompt: prompt, MaxTokens: moveTokens, Seed: 3}
	text, _, err := client.Generate(ctx, []string{s.Entries[worker%len(s.Entries)].Address}, request, nil)
	switch {
	case err != nil:
		t.failed.Add(1)
	case text != answerText(Version, prompt) && text != answerText(newVersion, prompt):
		t.mixed.Add(1)
	default:
		t.answered.Add(1)
	}
}

func (t *traffic) stopAndWait() {
	close(t.stop)
	t.wait.Wait()
}

func answerText(version wigeonfork.Version, prompt string) string {
	var text strings.Builder
	for _, token := range engine.Answer(Model, version, prompt, 3, moveTokens) {
		text.Write(token.Text)
	}
	return text.String()
}

// countRuns returns the number of runs of a version.
func countRuns(s *System, version wigeonfork.Version) int {
	count := 0
	for _, e := range s.Standins.Engines {
		for _, run := range e.Runs() {
			if run.Version == version {
				count++
			}
		}
	}
	return count
}

func TestMoveCompletesOrReverts(t *testing.T) {
	Convey("A healthy version gets all traffic by the deadline", t, func() {
		system := startMoveSystem(t)
		defer system.Close()
		setMoveParameters(t, system)
		load := startTraffic(system)
		code, out := wigeonctl(system, "move", "start", string(Deployment), string(newVersion), "--within", "12s")
		So(out, ShouldStartWith, "accepted")
		So(code, ShouldEqual, ctl.ExitOK)
		code, out = wigeonctl(system, "move", "wait", string(Deployment))
		load.stopAndWait()
		SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		_, list := wigeonctl(system, "deployment", "list")
		So(list, ShouldContainSubstring, "[{v2 1000}]")
		So(load.mixed.Load(), ShouldEqual, 0)
		So(load.failed.Load(), ShouldEqual, 0)
		So(load.answered.Load(), ShouldBeGreaterThan, 0)
	})
	Convey("A move to a version that always fails is reverted, and the version gets no more requests", t, func() {
		system := startMoveSystem(t, engine.VersionFault{Version: newVersion, FailRate: 1})
		defer system.Close()
		setMoveParameters(t, system)
		load := startTraffic(system)
		defer load.stopAndWait()
		code, out := wigeonctl(system, "move", "start", string(Deployment), string(newVersion), "--within", "20s")
		SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		code, out = wigeonctl(system, "move", "wait", string(Deployment))
		SoMsg(out, code, ShouldEqual, ctl.ExitReverted)
		So(out, ShouldContainSubstring, "reverted")
		before := countRuns(system, newVersion)
		So(before, ShouldBeGreaterThan, 0)
		answered := load.answered.Load()
		for load.answered.Load() < answered+50 {
			time.Sleep(readyPoll)
		}
		So(countRuns(system, newVersion), ShouldEqual, before)
		So(load.mixed.Load(), ShouldEqual, 0)
	})
	Convey("Stopping a move reverts it", t, func() {
		system := startMoveSystem(t)
		defer system.Close()
		setMoveParameters(t, system)
		code, out := wigeonctl(system, "move", "start", string(Deployment), string(newVersion), "--within", "10m")
		SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		system.Standins.Weights.SetDown(true)
		code, out = wigeonctl(system, "move", "stop", string(Deployment), "--reason", "wrong weights")
		SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		code, out = wigeonctl(system, "move", "wait", string(Deployment))
		SoMsg(out, code, ShouldEqual, ctl.ExitReverted)
		So(out, ShouldContainSubstring, "wrong weights")
	})
	Convey("Invalid changes are refused, and a conflict names the author of the accepted change", t, func() {
		system := startMoveSystem(t)
		defer system.Close()
		code, out := wigeonctl(system, "move", "start", string(Deployment), "v9")
		SoMsg(out, code, ShouldEqual, ctl.ExitInvalid)
		system.Standins.Weights.SetRate(1 << 10)
		code, out = wigeonctl(system, "move", "start", string(Deployment), string(newVersion), "--within", "5s")
		SoMsg(out, code, ShouldEqual, ctl.ExitInvalid)
		So(out, ShouldContainSubstring, "earliest")
		_, text := wigeonctl(system, "deployment", "get", string(Deployment))
		withCanary := func(share int) string {
			return writeFile(t, strings.Replace(text, "{", fmt.Sprintf("{\"canary_share\":%d,", share), 1))
		}
		code, out = wigeonctl(system, "--author", "first", "deployment", "set", withCanary(40), "--base", "1")
		SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		code, out = wigeonctl(system, "--author", "second", "deployment", "set", withCanary(30), "--base", "1")
		SoMsg(out, code, ShouldEqual, ctl.ExitConflict)
		So(out, ShouldContainSubstring, "first")
		deadline := time.Now().Add(testTimeout)
		for !strings.Contains(out, "in force everywhere: true") && time.Now().Before(deadline) {
			code, out = wigeonctl(system, "in-force")
			SoMsg(out, code, ShouldEqual, ctl.ExitOK)
		}
		So(out, ShouldContainSubstring, "in force everywhere: true")
	})
}
