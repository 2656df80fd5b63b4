package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

const (
	// leavingGrace is the time after which a leaving backend server must get no new requests.
	leavingGrace = 2 * time.Second
	// lateRequests is the number of requests that are sent after leavingGrace.
	lateRequests = 8
	// slowAnswerFactor slows the engines so that an answer lasts longer than leavingGrace.
	slowAnswerFactor = 5
)

// leavingCell asks an agent to stop while a long answer keeps it running. It sends more requests
// after leavingGrace.
func leavingCell(faults ...fault) *cell {
	return &cell{step: "leaving", fault: names(faults), run: func(c *cell) ([]string, error) {
		b, err := newTestbed(c.name(), engines, 0)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		return b.runLeaving(faults)
	}}
}

func (b *testbed) runLeaving(faults []fault) ([]string, error) {
	err := b.beginLeaving(faults)
	var wrong []string
	if err == nil {
		wrong, err = b.sendLate()
	}
	b.workers.Wait()
	if healErr := b.heal(); err == nil {
		err = healErr
	}
	b.stopAll()
	wrong = append(wrong, b.plannedStopViolations()...)
	return append(wrong, b.violations(allowance{})...), err
}

func (b *testbed) beginLeaving(faults []fault) error {
	if err := b.sendUntilMidStream(); err != nil {
		return err
	}
	for _, e := range b.Standins.Engines {
		e.Update(func(o *engine.Options) { o.SlowFactor = slowAnswerFactor })
	}
	if err := b.applyAll(faults); err != nil {
		return err
	}
	return b.drain(b.Agents[b.targetIndex].Process, "agent")
}

// sendLate sends requests after leavingGrace. It returns a violation if any of them reached the
// leaving backend server.
func (b *testbed) sendLate() ([]string, error) {
	// The grace period is the guaranteed bound, so the test sleeps for exactly this time.
	time.Sleep(leavingGrace)
	leaving := b.Standins.Engines[b.targetIndex]
	before := len(leaving.Runs())
	for i := range lateRequests {
		b.startReader(newReader(b.addresses(), b.request(fmt.Sprintf("late %d", i))), nil)
	}
	if b.sendsToLeaving {
		if err := b.runAt(leaving.Addr()); err != nil {
			return nil, err
		}
	}
	err := poll("late requests run", func() bool { return b.lateRuns(before) >= lateRequests })
	if late := len(leaving.Runs()) - before; late > 0 {
		return []string{fmt.Sprintf("leaving backend server got %d new requests after %s", late, leavingGrace)}, err
	}
	return nil, err
}

// lateRuns counts the runs of the late requests on all engines.
func (b *testbed) lateRuns(beforeAtLeaving int) int {
	runs := 0
	for i, e := range b.Standins.Engines {
		for _, run := range e.Runs() {
			if run.From == 0 {
				runs++
			}
		}
		if i == b.targetIndex {
			runs -= beforeAtLeaving
		}
	}
	return runs
}

// runAt sends a request directly to the engine at address, bypassing the system.
func (b *testbed) runAt(address string) error {
	client := httpbackend.NewEngine(httpbackend.Options{Address: address})
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	stream, err := client.Generate(ctx, backend.GenerateRequest{
		StreamID: "stray", Model: embedded.Model, Version: firstVersion, Prompt: "stray", MaxTokens: 1,
	})
	if err != nil {
		return err
	}
	return stream.Close()
}
