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

// services is the number of plain services in the cells of actions.
const services = 2

// actionSteps are the steps of an action at which faults are injected.
var actionSteps = []step{
	{"action accept", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToServer, containing("POST /v1/actions/"), b.Entries[0].CallerProxy)
	}},
	{"claim", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToServer, containing("POST /v1/commit"), b.Entries[0].TableProxy)
	}},
	{"claim written", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToClient, containing(`"applied":true`), b.Entries[0].TableProxy)
	}},
	{"action dispatch", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToServer, containing("POST /v1/actions/dispatch"), proxiesOf(b.ServiceAgents, requestsProxy)...)
	}},
	{"service call", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToServer, containing("POST "+actionPath), proxiesOf(b.ServiceAgents, backendProxy)...)
	}},
	{"service reply", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	}},
	{"agent reply", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, requestsProxy)...)
	}},
	{"outcome record", reachOutcomeRecord},
	{"action reply", func(b *testbed) (func(), error) {
		return b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), b.Entries[0].CallerProxy)
	}},
	{"action agent drain", reachActionAgentDrain},
	{"action entry drain", reachActionEntryDrain},
}

// sendAction starts a caller that sends an action.
func (b *testbed) sendAction(body string, entries []string) error {
	a, err := newActionCaller(entries, body, b.abandons, b.attemptFailed)
	if err != nil {
		return err
	}
	b.workers.Add(1)
	go func() {
		defer b.workers.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
		defer cancel()
		result := a.send(ctx)
		b.mu.Lock()
		defer b.mu.Unlock()
		b.actions = append(b.actions, result)
	}()
	return nil
}

// attemptsUntilHeal is the number of failed attempts after which the fault of an action's cell is
// undone. Some faults keep the outcome unreachable for callers as long as they last.
const attemptsUntilHeal = 4

func (b *testbed) attemptFailed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAttempts++
	if b.failedAttempts == attemptsUntilHeal {
		close(b.enoughFailures)
	}
}

// waitAndHeal waits for the callers. It undoes the fault as soon as they have ended, or as soon as
// enough attempts have failed under it.
func (b *testbed) waitAndHeal() error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.workers.Wait()
	}()
	select {
	case <-ended:
	case <-b.enoughFailures:
	}
	err := b.heal()
	<-ended
	return err
}

func (b *testbed) actionBody(label string) string {
	return fmt.Sprintf(`{"action":%q}`, label+" of "+b.name)
}

func (b *testbed) reachHeldAction(direction faultproxy.Direction, matches func([]byte) bool, proxies ...*faultproxy.Proxy) (func(), error) {
	h := holdAll(direction, matches, proxies...)
	if err := b.sendAction(b.actionBody("main"), b.addresses()); err != nil {
		h.release()
		return nil, err
	}
	index, release, err := h.wait()
	b.targetIndex = max(index, 0)
	return release, err
}

// reachOutcomeRecord waits until the entry writes the outcome. It first holds the service's reply,
// so that the write of the claim is already done.
func reachOutcomeRecord(b *testbed) (func(), error) {
	replied, err := b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	h := holdAll(faultproxy.ToServer, containing("POST /v1/commit"), b.Entries[0].TableProxy)
	replied()
	_, release, err := h.wait()
	return release, err
}

// reachActionAgentDrain asks the agent to stop while the service's reply is held.
func reachActionAgentDrain(b *testbed) (func(), error) {
	release, err := b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	return release, b.drain(b.ServiceAgents[b.targetIndex].Process, "agent")
}

func reachActionEntryDrain(b *testbed) (func(), error) {
	release, err := b.reachHeldAction(faultproxy.ToClient, containing("HTTP/1.1 200"), proxiesOf(b.ServiceAgents, backendProxy)...)
	if err != nil {
		return nil, err
	}
	return release, b.drain(b.Entries[0].Process, "entry")
}

// actionCell returns the cell that injects the faults at a step of an action.
func actionCell(s step, allow allowance, faults ...fault) *cell {
	return &cell{step: s.name, fault: names(faults), allow: allow, run: func(c *cell) ([]string, error) {
		b, err := newTestbed(c.name(), 0, services)
		if err != nil {
			return nil, err
		}
		defer b.Close()
		b.abandons = b.random.IntN(2) == 0
		return b.runAction(s, faults, c.allow)
	}}
}

// runAction injects the faults at the step of an action. It returns the violations once all callers
// have ended and all processes have stopped.
func (b *testbed) runAction(s step, faults []fault, allow allowance) ([]string, error) {
	release, err := s.reach(b)
	if err == nil {
		err = b.sendCompanionActions()
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
	wrong = append(wrong, b.plannedStopViolations()...)
	wrong = append(wrong, b.actionViolations(allow)...)
	return append(wrong, b.checkLogs()...), err
}

func (b *testbed) sendCompanionActions() error {
	for i := range companions {
		addresses := b.addresses()
		if err := b.sendAction(b.actionBody(fmt.Sprintf("companion %d", i)), []string{addresses[1], addresses[0]}); err != nil {
			return err
		}
	}
	return nil
}

// resendAll resends each completed action through the second entry, which must return the same
// reply.
func (b *testbed) resendAll() []string {
	var wrong []string
	ctx, cancel := context.WithTimeout(context.Background(), cellTimeout)
	defer cancel()
	for _, first := range b.actions {
		if !first.done {
			continue
		}
		resend := &actionCaller{client: newActionClient(), entries: b.addresses()[1:], result: actionResult{key: first.key, body: first.body}}
		result := resend.send(ctx)
		if !result.done || result.reply != first.reply {
			wrong = append(wrong, fmt.Sprintf("%s: sent again: %q, first %q, %v %v", first.body, result.reply, first.reply, result.err, result.lastRefusals()))
		}
	}
	return wrong
}

// executionsOf returns the executions of an action by the services.
func executionsOf(system *realsystem.System, body string) []service.Execution {
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

// actionViolations returns the violations that the services' records and the callers' results show.
func (b *testbed) actionViolations(allow allowance) []string {
	var wrong []string
	for _, p := range b.actions {
		wrong = append(wrong, checkAction(p, executionsOf(b.System, p.body), allow)...)
	}
	return wrong
}

func checkAction(p actionResult, ran []service.Execution, allow allowance) []string {
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
	case p.done && !matchesExecution(p.reply, ran[0]):
		add("reply %q is not that of its run", p.reply)
	case p.abandoned && len(ran) != 0:
		add("was refused as not run and ran: %v", p.lastRefusals())
	case p.outcomeUnknown && !allow.unknownOutcome:
		add("outcome is lost: %v", p.lastRefusals())
	}
	return append(wrong, refusedAfterRun(p)...)
}

// refusedAfterRun returns a violation if the error for an unknown outcome says that the action was
// not run. A caller would then send the action again under a new key.
func refusedAfterRun(p actionResult) []string {
	if p.outcomeUnknown && len(p.refusals) > 0 && p.refusals[len(p.refusals)-1].Run == problem.RunNot {
		return []string{p.body + ": lost outcome told as not run"}
	}
	return nil
}

func matchesExecution(reply string, ran service.Execution) bool {
	var reported service.Execution
	return json.Unmarshal([]byte(reply), &reported) == nil && reported.ClaimID == ran.ClaimID && bytes.Equal(reported.Body, ran.Body)
}
