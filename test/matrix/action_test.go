package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/service"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// services is the number of plain services of an action's cell.
const services = 2

// actionSteps are the steps of an action.
var actionSteps = []step{
	{"action accept", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToServer, holding("POST /v1/actions/"), b.Entries[0].CallerProxy)
	}},
	{"claim", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToServer, holding("POST /v1/commit"), b.Entries[0].TableProxy)
	}},
	{"claim written", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToClient, holding(`"applied":true`), b.Entries[0].TableProxy)
	}},
	{"action dispatch", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToServer, holding("POST /v1/actions/dispatch"), proxiesOf(b.ServiceAgents, requestsProxy)...)
	}},
	{"service call", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToServer, holding("POST "+actionPath), proxiesOf(b.ServiceAgents, backendProxy)...)
	}},
	{"service reply", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	}},
	{"agent reply", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, requestsProxy)...)
	}},
	{"outcome record", arriveOutcome},
	{"action reply", func(b *bench) (func(), error) {
		return b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), b.Entries[0].CallerProxy)
	}},
	{"action agent drain", arriveActionAgentDrain},
	{"action entry drain", arriveActionEntryDrain},
}

// perform has a caller send an action.
func (b *bench) perform(body string, entries []string) error {
	a, err := newActor(entries, body, b.givesUp, b.attemptFailed)
	if err != nil {
		return err
	}
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
		defer cancel()
		result := a.perform(ctx)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.actions = append(b.actions, result)
	}()
	return nil
}

// attemptsUntilHeal is how many attempts may fail before the fault of an
// action's cell ends; until then callers cannot learn an outcome that the
// fault keeps out of reach.
const attemptsUntilHeal = 4

func (b *bench) attemptFailed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAttempts++
	if b.failedAttempts == attemptsUntilHeal {
		close(b.faultLong)
	}
}

// waitAndHeal waits for the callers and ends the fault before, once enough
// attempts have failed under it.
func (b *bench) waitAndHeal() error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.workers.Wait()
	}()
	select {
	case <-ended:
	case <-b.faultLong:
	}
	err := b.heal()
	<-ended
	return err
}

func (b *bench) body(label string) string { return fmt.Sprintf(`{"action":%q}`, label+" of "+b.name) }

func (b *bench) arriveAction(direction faultproxy.Direction, matches func([]byte) bool, proxies ...*faultproxy.Proxy) (func(), error) {
	h := holdAll(direction, matches, proxies...)
	if err := b.perform(b.body("main"), b.addresses()); err != nil {
		h.release()
		return nil, err
	}
	index, release, err := h.wait()
	b.victim = max(index, 0)
	return release, err
}

// arriveOutcome waits until the entry writes the outcome. The service's reply
// is held before, so that the claim's write is past.
func arriveOutcome(b *bench) (func(), error) {
	replied, err := b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	h := holdAll(faultproxy.ToServer, holding("POST /v1/commit"), b.Entries[0].TableProxy)
	replied()
	_, release, err := h.wait()
	return release, err
}

// arriveActionAgentDrain asks the agent to stop while the service's reply is
// held.
func arriveActionAgentDrain(b *bench) (func(), error) {
	release, err := b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	return release, b.drain(b.ServiceAgents[b.victim].Process, "agent")
}

func arriveActionEntryDrain(b *bench) (func(), error) {
	release, err := b.arriveAction(faultproxy.ToClient, holding("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	return release, b.drain(b.Entries[0].Process, "entry")
}

// actionCell returns the cell of faults at a step of an action.
func actionCell(s step, allow allowance, faults ...fault) *cell {
	return &cell{step: s.name, fault: names(faults), allow: allow, run: func(c *cell) ([]string, error) {
		b, err := newBench(c.name(), 0, services)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		b.givesUp = b.random.IntN(2) == 0
		return b.act(s, faults, c.allow)
	}}
}

// act brings the faults about at the step of an action and returns what is
// wrong once all is done and all processes have stopped.
func (b *bench) act(s step, faults []fault, allow allowance) ([]string, error) {
	release, err := s.arrive(b)
	if err == nil {
		err = b.performCompanions()
	}
	if err == nil {
		err = b.applyAll(faults)
		release()
	}
	if healErr := b.waitAndHeal(); err == nil {
		err = healErr
	}
	wrong := b.resendAll()
	b.stopAll()
	wrong = append(wrong, b.plannedFailures()...)
	wrong = append(wrong, b.actionViolations(allow)...)
	return append(wrong, b.checkLogs()...), err
}

func (b *bench) performCompanions() error {
	for i := range companions {
		addresses := b.addresses()
		if err := b.perform(b.body(fmt.Sprintf("companion %d", i)), []string{addresses[1], addresses[0]}); err != nil {
			return err
		}
	}
	return nil
}

// resendAll sends each action that was done once more through the second
// entry, which must give the same reply.
func (b *bench) resendAll() []string {
	var wrong []string
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	defer cancel()
	for _, first := range b.actions {
		if !first.done {
			continue
		}
		again := &actor{client: newActorClient(), entries: b.addresses()[1:], result: performed{key: first.key, body: first.body}}
		result := again.perform(ctx)
		if !result.done || result.reply != first.reply {
			wrong = append(wrong, fmt.Sprintf("%s: sent again: %q, first %q, %v %v", first.body, result.reply, first.reply, result.err, result.lastRefusals()))
		}
	}
	return wrong
}

// executions returns what the services carried out for an action.
func executions(system *realsystem.System, body string) []service.Execution {
	var all []service.Execution
	for _, s := range system.Standins.Services {
		for _, e := range s.Executions() {
			if bytes.Equal(e.Body, []byte(body)) {
				all = append(all, e)
			}
		}
	}
	return all
}

// actionViolations returns what the services' records and the callers' answers
// show to be wrong.
func (b *bench) actionViolations(allow allowance) []string {
	var wrong []string
	for _, p := range b.actions {
		wrong = append(wrong, checkAction(p, executions(b.System, p.body), allow)...)
	}
	return wrong
}

func checkAction(p performed, ran []service.Execution, allow allowance) []string {
	var wrong []string
	add := func(format string, args ...any) {
		wrong = append(wrong, p.body+": "+fmt.Sprintf(format, args...))
	}
	if len(ran) > 1 {
		add("ran %d times", len(ran))
	}
	switch {
	case p.err != nil:
		add("%v; refusals %v", p.err, p.lastRefusals())
	case p.done && len(ran) != 1:
		add("has a reply and ran %d times", len(ran))
	case p.done && !ownReply(p.reply, ran[0]):
		add("reply %q is not that of its run", p.reply)
	case p.givenUp && len(ran) != 0:
		add("was refused as not run and ran: %v", p.lastRefusals())
	case p.lost && !allow.unknown:
		add("outcome is lost: %v", p.lastRefusals())
	}
	return append(wrong, refusedAfterRun(p)...)
}

// refusedAfterRun finds a refusal as not run of an action that had a reply or
// unknown outcome before; it would be sent again under a new key.
func refusedAfterRun(p performed) []string {
	if p.lost && len(p.refusals) > 0 && p.refusals[len(p.refusals)-1].Run == problem.RunNot {
		return []string{p.body + ": lost outcome told as not run"}
	}
	return nil
}

func ownReply(reply string, ran service.Execution) bool {
	var told service.Execution
	return json.Unmarshal([]byte(reply), &told) == nil && told.ClaimID == ran.ClaimID && bytes.Equal(told.Body, ran.Body)
}
