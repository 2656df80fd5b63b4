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
	// tokens is the length of the answers of callers, in tokens.
	tokens          = 90
	tokensPerSecond = 100
	// companions is the number of other requests in progress while a fault is injected.
	companions = 2
	// stepTimeout bounds the wait for a step.
	stepTimeout = 15 * time.Second
	// resumeHoldStep is the step in which an agent exits just after the end of its answers. Agents
	// hold finished answers for a resume only there. In other steps this would delay the end of
	// each cell.
	resumeHoldStep = "agent drain"
	// drainLimit is set in all processes.
	drainLimit = 5 * time.Second
	pollEvery  = 5 * time.Millisecond
)

// The two versions have equal shares of the traffic, so that an answer mixed from both is detected.
const (
	firstVersion  wigeonfork.Version = "v1"
	secondVersion wigeonfork.Version = "v2"
)

// testbed is the system of one cell and the results of its callers.
type testbed struct {
	*realsystem.System
	random *rand.Rand
	name   string
	// targetIndex is the index of the engine or service, and of its agent, that the fault affects.
	targetIndex int
	// plannedStops are the stops that were requested.
	plannedStops []*plannedStop
	// killed holds the processes that a fault killed.
	killed map[*process.Process]bool
	// abandons makes callers of actions stop after a refusal as not run.
	abandons bool
	// sendsToLeaving injects a violation: a request reaches a leaving backend server.
	sendsToLeaving bool
	// revertsConfiguration injects a violation: an accepted configuration is reverted.
	revertsConfiguration bool
	// corrupt is passed to the main reader. See reader.corrupt.
	corrupt func(index int, event caller.Event) []caller.Event
	// undos are the functions with which heal undoes the faults, in this order.
	undos []func() error

	workers sync.WaitGroup
	mu      sync.Mutex
	answers []readResult
	actions []actionResult
	// failedAttempts counts the failed attempts of all callers of actions. enoughFailures is
	// closed when it reaches attemptsUntilHeal.
	failedAttempts int
	enoughFailures chan struct{}
}

// versions returns the versions of the model that every engine has loaded.
func versions() []backend.LoadedVersion {
	return []backend.LoadedVersion{
		{Model: embedded.Model, Version: firstVersion, Ready: true},
		{Model: embedded.Model, Version: secondVersion, Ready: true},
	}
}

// configuration returns the change that creates the first configuration of a cell. engines and
// services are the numbers of backend servers.
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

// newRandom returns the random generator of a cell. It depends only on the -seed flag and the name
// of the cell, which is hashed with FNV-1a.
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

// request returns a request whose prompt is unique within the cell.
func (b *testbed) request(label string) caller.Request {
	return caller.Request{
		Workspace: embedded.Workspace, Model: embedded.Model, MaxTokens: tokens, Seed: uint64(*seed),
		Prompt: fmt.Sprintf("tokens=%d %s of %s", tokens+10, label, b.name),
	}
}

// startReader starts r, which calls onEvent with the number of events so far.
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

// sendCompanions sends the companion requests of the cell.
func (b *testbed) sendCompanions() {
	for i := range companions {
		b.startReader(newReader(b.addresses(), b.request(fmt.Sprintf("companion %d", i))), nil)
	}
}

// running returns the index of the engine that is generating, or -1. It requires that only one
// request is in progress.
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

// poll waits until cond holds, for at most stepTimeout.
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

// await waits until event is closed, for at most stepTimeout.
func await(what string, event <-chan struct{}) error {
	select {
	case <-event:
		return nil
	case <-time.After(stepTimeout):
		return errors.Newf("%s: not within %s", what, stepTimeout)
	}
}
