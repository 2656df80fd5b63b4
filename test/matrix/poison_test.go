package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
)

const (
	poison         = "POISON"
	poisonEngines  = 6
	poisonRounds   = 6
	normalRequests = 6
	// maxEngineCrashes is the required upper bound on the engines that one request may crash.
	maxEngineCrashes   = 3
	poisonRestartDelay = 100 * time.Millisecond
	poisonTokens       = 5
)

// poisonCell repeatedly sends a request that crashes engines, and injects a fault after the first
// round. One version has all traffic, or two versions share it.
func poisonCell(stepName string, twoVersions bool, f fault) *cell {
	return &cell{step: stepName, fault: f.name, ci: f.name == "none", run: func(c *cell) ([]string, error) {
		b, err := newTestbed(c.name(), poisonEngines, 0)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		if !twoVersions {
			if err := b.useOneVersion(); err != nil {
				return nil, err
			}
		}
		return b.runPoison(f)
	}}
}

// useOneVersion sends all traffic to one version.
func (b *testbed) useOneVersion() error {
	accepted, err := b.accept(allTraffic(firstVersion, poisonEngines))
	if err != nil {
		return err
	}
	r := &revisionSampler{seen: map[string]wigeonfork.Revision{}}
	return poll("one version has all traffic", func() bool { return r.sample(b, accepted) })
}

func (b *testbed) runPoison(f fault) ([]string, error) {
	for _, e := range b.Standins.Engines {
		e.Update(func(o *engine.Options) {
			o.Poison, o.PoisonAfterTokens, o.RestartAfter = poison, poisonTokens, poisonRestartDelay
			o.SlowFactor = slowAnswerFactor
		})
	}
	for i := range normalRequests {
		b.startReader(newReader(b.addresses(), b.request(fmt.Sprintf("innocent %d", i))), nil)
	}
	var last error
	for round := range poisonRounds {
		if round == 1 {
			if err := f.apply(b); err != nil {
				return nil, err
			}
		}
		last = b.sendPoison(round)
	}
	err := b.heal()
	b.workers.Wait()
	b.stopAll()
	wrong := append(b.plannedStopViolations(), b.violations(allowance{})...)
	var typed *problem.Error
	if !errors.As(last, &typed) || typed.Code != problem.CodeQuarantined {
		wrong = append(wrong, fmt.Sprintf("last answer to the request is no quarantine: %v", last))
	}
	if n := b.crashedIncarnations(); n > maxEngineCrashes {
		wrong = append(wrong, fmt.Sprintf("%d engines died", n))
	}
	return wrong, err
}

// sendPoison sends the request and returns its final error. The rounds alternate between the
// entries.
func (b *testbed) sendPoison(round int) error {
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	defer cancel()
	request := b.request(poison)
	request.Seed = uint64(round)
	return newReader([]string{b.addresses()[round%entries]}, request).read(ctx).err
}

// crashedIncarnations counts the incarnations of engines that crashed while they ran a stream.
func (b *testbed) crashedIncarnations() int {
	incarnations := map[string]bool{}
	for _, e := range b.Standins.Engines {
		for _, run := range e.Runs() {
			if run.End == engine.RunKilled {
				incarnations[run.Incarnation] = true
			}
		}
	}
	return len(incarnations)
}

// poisonCells returns the cells with a fault while a request crashes engines.
func poisonCells() []*cell {
	peers := link{"entry control", func(b *testbed) *faultproxy.Proxy { return b.Entries[0].ControlProxy }}
	cells := []*cell{
		poisonCell("poison request", false, noFault[0]),
		poisonCell("poison request on two versions", true, noFault[0]),
	}
	for _, f := range append(platformFaults[:2:2], fault{"restart entry with empty memory", restartEntry}) {
		cells = append(cells, poisonCell("poison request", false, f))
	}
	for _, f := range faultsOf(peers) {
		cells = append(cells, poisonCell("poison request", false, f))
	}
	return cells
}
