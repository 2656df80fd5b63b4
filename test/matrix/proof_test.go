package matrix

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/caller"
	"github.com/wigeonfork/wigeonfork/entry/command"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/standin/engine"
)

// corruptedEvent is the index of the event that a broken caller corrupts.
const corruptedEvent = 10

// injectedViolation is a property that is violated on purpose.
type injectedViolation struct {
	property string
	// finding is the text that the check must report.
	finding string
	run     func(b *testbed) ([]string, error)
	// services is the number of plain services, or 0 for a system with engines.
	services int
}

var noFault = []fault{{"none", func(*testbed) error { return nil }}}

var injectedViolations = []injectedViolation{
	{"no token is missing", "no whole answer", withCorruption(func(_ *testbed, index int, event caller.Event) []caller.Event {
		if index == corruptedEvent {
			return nil
		}
		return []caller.Event{event}
	}), 0},
	{"no token is repeated", "position", withCorruption(func(_ *testbed, index int, event caller.Event) []caller.Event {
		if index == corruptedEvent {
			return []caller.Event{event, event}
		}
		return []caller.Event{event}
	}), 0},
	{"two generations are not mixed", "no whole answer of one version", withCorruption(mixVersions), 0},
	{"an answer is whole", "end says", withCorruption(func(_ *testbed, _ int, event caller.Event) []caller.Event {
		event.FinishReason = ""
		return []caller.Event{event}
	}), 0},
	{"a caller gets its own answer", "no whole answer", withCorruption(swapAnswer), 0},
	{"what is refused as not run was not run", "refused as not run", refuseRunningRequest, 0},
	{"an action refused as not run was not run", "refused as not run and ran", refuseRunningAction, services},
	{"an action runs at most once", "ran 2 times", repeatAction, services},
	{"a leaving backend server gets no new work", "new requests after", func(b *testbed) ([]string, error) {
		b.sendsToLeaving = true
		return b.runLeaving(noFault)
	}, 0},
	{"an accepted configuration does not revert", "is not from v2", func(b *testbed) ([]string, error) {
		b.revertsConfiguration = true
		return b.configure(false, noFault)
	}, 0},
	{"a planned stop cuts no request", "attempts broke", func(b *testbed) ([]string, error) {
		second := fault{"second signal", func(b *testbed) error { return b.Entries[0].Terminate() }}
		return b.generate(step{"entry drain", reachEntryDrain}, []fault{second}, allowance{noBrokenAttempts: true})
	}, 0},
	{"a planned stop ends in order", "ended with", func(b *testbed) ([]string, error) {
		kill := fault{"kill", func(b *testbed) error { b.Agents[b.targetIndex].Kill(); return nil }}
		return b.generate(step{"agent drain", reachAgentDrain}, []fault{kill}, allowance{})
	}, 0},
}

// withCorruption returns a cell without faults whose main caller corrupts its events.
func withCorruption(corrupt func(b *testbed, index int, event caller.Event) []caller.Event) func(*testbed) ([]string, error) {
	return func(b *testbed) ([]string, error) {
		b.corrupt = func(index int, event caller.Event) []caller.Event { return corrupt(b, index, event) }
		return b.generate(step{"mid stream", reachMidStream}, noFault, allowance{})
	}
}

// mixVersions replaces the text of the later events with that of the other version's tokens at the
// same positions.
func mixVersions(b *testbed, index int, event caller.Event) []caller.Event {
	if index < corruptedEvent || event.ID == "" {
		return []caller.Event{event}
	}
	request := b.request("main")
	first := textAt(request, firstVersion, index-1)
	second := textAt(request, secondVersion, index-1)
	if event.Text == first {
		event.Text = second
	} else {
		event.Text = first
	}
	return []caller.Event{event}
}

func textAt(request caller.Request, version wigeonfork.Version, position int) string {
	answer := engine.Answer(request.Model, version, request.Prompt, request.Seed, request.MaxTokens)
	return string(answer[min(position, len(answer)-1)].Text)
}

// swapAnswer replaces the answer with that to another request.
func swapAnswer(b *testbed, index int, event caller.Event) []caller.Event {
	event.Text = ""
	if index == 1 {
		event.Text = expected(b.request("other"), firstVersion)
	}
	return []caller.Event{event}
}

// falseRefusalServer is a proxy to an entry. It forwards each request, drops the response and
// reports that the request was not run.
func falseRefusalServer(b *testbed) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+b.Entries[0].Address()+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		request.Header = r.Header.Clone()
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		id := wigeonfork.RequestID(response.Header.Get(command.HeaderRequestID))
		problem.Write(w, problem.New(problem.CodeOverloaded, problem.RunNot, problem.StepAdmit, "no room").For(id).After(reconnectDelay))
	}))
}

// refuseRunningRequest makes a caller receive a refusal as not run for a request that was run.
func refuseRunningRequest(b *testbed) ([]string, error) {
	server := falseRefusalServer(b)
	defer server.Close()
	addresses := append([]string{strings.TrimPrefix(server.URL, "http://")}, b.addresses()...)
	b.startReader(newReader(addresses, b.request("main")), nil)
	b.workers.Wait()
	return b.violations(allowance{}), nil
}

func refuseRunningAction(b *testbed) ([]string, error) {
	server := falseRefusalServer(b)
	defer server.Close()
	b.abandons = true
	if err := b.sendAction(b.actionBody("main"), []string{strings.TrimPrefix(server.URL, "http://")}); err != nil {
		return nil, err
	}
	b.workers.Wait()
	return b.actionViolations(allowance{}), nil
}

// repeatAction repeats the call to the service directly, bypassing the system.
func repeatAction(b *testbed) ([]string, error) {
	repeat := fault{"repeat call", func(b *testbed) error {
		address := b.Standins.ServiceServers[b.targetIndex].Addr()
		response, err := http.Post("http://"+address+actionPath, "application/json", strings.NewReader(b.actionBody("main")))
		if err != nil {
			return err
		}
		return response.Body.Close()
	}}
	return b.runAction(step{"outcome record", reachOutcomeRecord}, []fault{repeat}, allowance{})
}

func (k injectedViolation) findings() ([]string, error) {
	engineCount := engines
	if k.services > 0 {
		engineCount = 0
	}
	b, err := newTestbed("break: "+k.property, engineCount, k.services)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	return k.run(b)
}

func TestChecksDetectInjectedViolations(t *testing.T) {
	for _, k := range injectedViolations {
		Convey("A check detects the violation of the property: "+k.property, t, func() {
			wrong, err := k.findings()
			So(err, ShouldBeNil)
			So(strings.Join(wrong, "; "), ShouldContainSubstring, k.finding)
		})
	}
}
