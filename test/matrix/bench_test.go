package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/test/process"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

const (
	entries = 2
	engines = 3
	// tokens is the length of an answer.
	tokens          = 90
	tokensPerSecond = 100
	// companions are the other requests under way while a fault comes.
	companions = 2
	// stepTimeout bounds the wait for a step that is never reached.
	stepTimeout = 15 * time.Second
	// resumeHoldStep is the step in which an agent leaves just after the end of its
	// answers. Only there agents hold them back: elsewhere each cell's end would
	// wait for that.
	resumeHoldStep = "agent drain"
	// drainLimit is the setting of all processes.
	drainLimit = 5 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// The two versions that take traffic in equal shares, so that an answer from
// two of them shows.
const (
	firstVersion  wigeonfork.Version = "v1"
	secondVersion wigeonfork.Version = "v2"
)

// testbed is one cell's system and what its callers got.
type testbed struct {
	*realsystem.System
	random *rand.Rand
	name   string
	// targetIndex is the index of the engine or service, and its agent, that the
	// fault is for.
	targetIndex int
	// plannedStops are the processes that were asked to stop.
	plannedStops []*plannedStop
	// killed are those that the fault ended.
	killed map[*process.Process]bool
	// abandons: callers of actions do not send again what was not run.
	abandons bool
	// sendsToLeaving breaks the rule for leaving backend servers on purpose.
	sendsToLeaving bool
	// revertsConfiguration takes an accepted configuration back on purpose.
	revertsConfiguration bool
	// corrupt goes to the main reader; see there.
	corrupt func(index int, event caller.Event) []caller.Event
	// undos undo faults, in their order.
	undos []func() error

	workers sync.WaitGroup
	mu      sync.Mutex
	answers []readResult
	actions []actionResult
	// failedAttempts counts those of callers of actions; faultLong is closed
	// when there are enough of them.
	failedAttempts int
	enoughFailures chan struct{}
}

// versions are those of the model that every engine holds.
func versions() []backend.LoadedVersion {
	return []backend.LoadedVersion{
		{Model: embedded.Model, Version: firstVersion, Ready: true},
		{Model: embedded.Model, Version: secondVersion, Ready: true},
	}
}

// configuration returns the change that makes a cell's first configuration.
func configuration(engines, services int) *template.Change {
	change := &template.Change{PutTemplates: []template.Template{{Name: embedded.Template}}}
	if engines > 0 {
		d := deployment(embedded.Deployment, embedded.Model, engines, embedded.ServerID)
		d.Versions = []template.VersionShare{
			{Version: firstVersion, Share: template.FullShare / 2},
			{Version: secondVersion, Share: template.FullShare / 2},
		}
		change.PutDeployments = append(change.PutDeployments, d)
	}
	if services > 0 {
		d := deployment(embedded.ServiceDeployment, embedded.Service, services, embedded.ServiceID)
		change.PutDeployments = append(change.PutDeployments, d)
	}
	return change
}

func deployment(name template.DeploymentName, model wigeonfork.Model, servers int, id func(int) wigeonfork.BackendServerID) template.Deployment {
	d := template.Deployment{
		Name: name, Template: embedded.Template, Model: model,
		Workspaces: []template.Binding{{Workspace: embedded.Workspace}},
		Versions:   []template.VersionShare{{Version: firstVersion, Share: template.FullShare}},
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, id(i))
	}
	return d
}

// newTestbed starts a system for one cell.
func newTestbed(name string, engineCount, services int) (*testbed, error) {
	options := realsystem.Options{
		Binaries: binaries, Entries: entries, Services: services, Proxies: true,
		Change:      configuration(engineCount, services),
		Environment: []string{"WIGEON_DRAIN_LIMIT=" + drainLimit.String()},
	}
	if !strings.HasPrefix(name, resumeHoldStep) {
		options.Environment = append(options.Environment, "WIGEON_RESUME_HOLD=0s")
	}
	for range engineCount {
		options.Engines = append(options.Engines, engine.Options{
			Versions: versions(), TokensPerSecond: tokensPerSecond, BufferFor: time.Minute,
		})
	}
	system, err := realsystem.Start(options)
	if err != nil {
		return nil, err
	}
	return &testbed{System: system, random: newRandom(name), name: name, killed: map[*process.Process]bool{}, enoughFailures: make(chan struct{})}, nil
}

// newRandom returns the generator of a cell's sizes. It depends on the seed of
// the run and the cell alone.
func newRandom(name string) *rand.Rand {
	hash := uint64(14695981039346656037)
	for _, b := range []byte(name) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(uint64(*seed), hash))
}

func (b *testbed) addresses() []string {
	var addresses []string
	for _, e := range b.Entries {
		addresses = append(addresses, e.Address())
	}
	return addresses
}

// request returns a request whose prompt no other one of the cell has.
func (b *testbed) request(label string) caller.Request {
	return caller.Request{
		Workspace: embedded.Workspace, Model: embedded.Model, MaxTokens: tokens, Seed: uint64(*seed),
		Prompt: fmt.Sprintf("tokens=%d %s of %s", tokens+10, label, b.name),
	}
}

// startReader has a caller read an answer and calls onEvent with the count of events.
func (b *testbed) startReader(r *reader, onEvent func(int)) {
	r.onEvent = onEvent
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
		defer cancel()
		result := r.read(ctx)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.answers = append(b.answers, result)
	}()
}

// sendCompanions sends the other requests of the cell.
func (b *testbed) sendCompanions() {
	for i := range companions {
		b.startReader(newReader(b.addresses(), b.request(fmt.Sprintf("companion %d", i))), nil)
	}
}

// running returns the index of the engine that generates, or -1. It is asked
// while one request is under way.
func (b *testbed) running() int {
	for i, e := range b.Standins.Engines {
		for _, run := range e.Runs() {
			if run.End == engine.RunOpen && run.Until > run.From {
				return i
			}
		}
	}
	return -1
}

// heal undoes all faults.
func (b *testbed) heal() error {
	var failed error
	for _, undo := range b.undos {
		failed = errors.CombineErrors(failed, undo())
	}
	b.undos = nil
	return failed
}

func (b *testbed) onHeal(undo func() error) { b.undos = append(b.undos, undo) }

// poll waits until cond holds.
func poll(what string, cond func() bool) error {
	deadline := time.Now().Add(stepTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			return errors.Newf("%s: not within %s", what, stepTimeout)
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// await waits for an event.
func await(what string, event <-chan struct{}) error {
	select {
	case <-event:
		return nil
	case <-time.After(stepTimeout):
		return errors.Newf("%s: not within %s", what, stepTimeout)
	}
}
