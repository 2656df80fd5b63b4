package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork"
	agentquery "github.com/wigeonfork/wigeonfork/agent/query"
	"github.com/wigeonfork/wigeonfork/embedded"
	entryquery "github.com/wigeonfork/wigeonfork/entry/query"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/table"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// acceptTimeout bounds how long an operator waits for a change to be accepted.
const acceptTimeout = 20 * time.Second

// samplesUnderFault is the number of samples of all revisions before the faults end.
const samplesUnderFault = 3

// checkRequests is the number of requests to each entry once a change is in force.
const checkRequests = 4

// allTraffic returns the change that sends all traffic to one version.
func allTraffic(version wigeonfork.Version, servers int) template.Change {
	d := deployment(embedded.Deployment, embedded.Model, servers, embedded.ServerID)
	d.Versions = []template.VersionShare{{Version: version, Share: template.FullShare}}
	return template.Change{PutDeployments: []template.Deployment{d}}
}

// accept submits a change as an operator and returns its revision.
func (b *testbed) accept(change template.Change) (wigeonfork.Revision, error) {
	tableClient := httpinfra.NewTable(httpinfra.Options{Address: b.Standins.TableServer.Addr()})
	defer tableClient.Close()
	objects := httpinfra.NewObjects(httpinfra.Options{Address: b.Standins.ObjectsServer.Addr()})
	defer objects.Close()
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	accepted, err := store.New(tableClient, objects, store.Options{}).Accept(ctx, store.Request{
		OperationID: uuid.NewString(), Author: "operator", Change: change, Now: time.Now(),
	})
	return accepted.Revision, err
}

// revisionSampler samples the revisions of all processes and records each decrease within one
// process.
type revisionSampler struct {
	seen  map[string]wigeonfork.Revision
	wrong []string
}

// sample returns whether all processes respond and have at least the wanted revision.
func (r *revisionSampler) sample(b *testbed, wanted wigeonfork.Revision) bool {
	all := true
	note := func(control string, revision wigeonfork.Revision, err error) {
		if err != nil {
			all = false
			return
		}
		if revision < r.seen[control] {
			r.wrong = append(r.wrong, fmt.Sprintf("process at %s went from revision %d to %d", control, r.seen[control], revision))
		}
		r.seen[control] = revision
		all = all && revision >= wanted
	}
	for _, e := range b.Entries {
		var dump entryquery.Dump
		err := realsystem.Dump(e.ControlAddress, &dump)
		note(e.ControlAddress, dump.Revision, err)
	}
	for _, a := range b.Agents {
		var dump agentquery.Dump
		err := realsystem.Dump(a.ControlAddress, &dump)
		note(a.ControlAddress, dump.Status.Revision, err)
	}
	return all
}

// configurationCell accepts a change under faults. It checks that the change is in force everywhere
// once the faults have ended, and stays in force.
func configurationCell(stepName string, faultsFirst bool, faults ...fault) *cell {
	return &cell{step: stepName, fault: names(faults), ci: len(faults) == 1 && faults[0].name == "none", run: func(c *cell) ([]string, error) {
		b, err := newTestbed(c.name(), engines, 0)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		return b.configure(faultsFirst, faults)
	}}
}

// configure applies the faults before or after the change is accepted.
func (b *testbed) configure(faultsFirst bool, faults []fault) ([]string, error) {
	accepted, err := b.acceptUnderFaults(faultsFirst, faults)
	if err != nil {
		return nil, err
	}
	r := &revisionSampler{seen: map[string]wigeonfork.Revision{}}
	// Until the faults end, only a decrease of a revision is a violation.
	for range samplesUnderFault {
		r.sample(b, accepted)
	}
	if err := b.heal(); err != nil {
		return nil, err
	}
	if err := poll("the change is in force everywhere", func() bool { return r.sample(b, accepted) }); err != nil {
		r.wrong = append(r.wrong, err.Error())
	}
	if b.revertsConfiguration {
		if _, err := b.accept(allTraffic(firstVersion, engines)); err != nil {
			return nil, err
		}
		if err := poll("the reversal is in force", func() bool { return r.sample(b, accepted+1) }); err != nil {
			return nil, err
		}
	}
	b.sendCheckRequests()
	b.workers.Wait()
	wrong := append(r.wrong, b.answersNotFrom(secondVersion)...)
	b.stopAll()
	wrong = append(wrong, b.plannedStopViolations()...)
	return append(wrong, b.violations(allowance{})...), nil
}

func (b *testbed) acceptUnderFaults(faultsFirst bool, faults []fault) (wigeonfork.Revision, error) {
	if faultsFirst {
		if err := b.applyAll(faults); err != nil {
			return 0, err
		}
	}
	accepted, err := b.accept(allTraffic(secondVersion, engines))
	if err != nil && faultsFirst {
		// The operator receives an error, and submits the change again once the store is back.
		if healErr := b.heal(); healErr != nil {
			return 0, errors.CombineErrors(err, healErr)
		}
		accepted, err = b.accept(allTraffic(secondVersion, engines))
	}
	if err == nil && !faultsFirst {
		err = b.applyAll(faults)
	}
	return accepted, err
}

// sendCheckRequests sends checkRequests requests to each entry.
func (b *testbed) sendCheckRequests() {
	for i, e := range b.Entries {
		for j := range checkRequests {
			b.startReader(newReader([]string{e.Address()}, b.request(fmt.Sprintf("check %d at %d", j, i))), nil)
		}
	}
}

// answersNotFrom returns a violation for each answer that is not from version.
func (b *testbed) answersNotFrom(version wigeonfork.Version) []string {
	var wrong []string
	for _, answer := range b.answers {
		if string(answer.text) != expected(answer.request, version) {
			wrong = append(wrong, fmt.Sprintf("%.40s: answer is not from %s, which has all traffic", answer.request.Prompt, version))
		}
	}
	return wrong
}

// restartWhileStoreIsDown makes the store unavailable and restarts an entry, which can then receive
// the configuration only from its peers.
func restartWhileStoreIsDown(b *testbed) error {
	if err := poll("an entry holds the change", func() bool { return b.someEntryUpdated() }); err != nil {
		return err
	}
	if err := b.updateTable(func(t *table.Table) { t.SetDown(true) }, func(t *table.Table) { t.SetDown(false) }); err != nil {
		return err
	}
	return restartEntry(b)
}

func (b *testbed) someEntryUpdated() bool {
	for _, e := range b.Entries[1:] {
		var dump entryquery.Dump
		if realsystem.Dump(e.ControlAddress, &dump) == nil && dump.Revision > 1 {
			return true
		}
	}
	return false
}

// configurationCells returns the cells with faults while a change is accepted and while it spreads.
func configurationCells() []*cell {
	var cells []*cell
	for _, f := range append(noFault[:1:1], platformFaults...) {
		cells = append(cells, configurationCell("configuration accept", true, f))
	}
	for _, f := range spreadFaults() {
		cells = append(cells, configurationCell("configuration spread", false, f))
	}
	return cells
}

func spreadFaults() []fault {
	peers := link{"entry control", func(b *testbed) *faultproxy.Proxy { return b.Entries[0].ControlProxy }}
	all := append(noFault[:1:1], platformFaults...)
	all = append(all,
		fault{"restart entry with empty memory", restartEntry},
		fault{"restart agent with empty memory", restartAgent},
		fault{"pause entry", pauseEntry},
		fault{"pause agent", pauseAgent},
		fault{"restart entry while the store is down", restartWhileStoreIsDown},
	)
	all = append(all, faultsOf(links[2])...)
	all = append(all, faultsOf(links[4])...)
	return append(all, faultsOf(peers)...)
}
