package matrix

import (
	"bytes"

	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// step is a step of a request's processing at which faults are injected.
type step struct {
	name string
	// reach sends the main request, which the fault affects, and returns when it has reached the
	// step. It sets targetIndex. release lets the request continue.
	reach func(b *testbed) (release func(), err error)
}

// midEvents is the number of events after which an answer counts as in the middle.
const midEvents = 25

// generationSteps are the steps of a generation at which faults are injected.
var generationSteps = []step{
	{"accept", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToServer, containing("POST /v1/completions"), b.Entries[0].CallerProxy)
	}},
	{"dispatch", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToServer, containing("POST /v1/generate"), proxiesOf(b.Agents, requestsProxy)...)
	}},
	{"engine call", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToServer, containing("POST /v1/completions"), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"first token", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToClient, containing(`"tokens":`), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"mid stream", reachMidStream},
	{"resume", reachResume},
	{"end frame at agent", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToClient, containing(`"finish_reason":`), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"end frame at entry", reachEndFrame},
	{"end event", func(b *testbed) (func(), error) {
		return b.reachHeld(faultproxy.ToClient, containing("[DONE]"), b.Entries[0].CallerProxy)
	}},
	{"agent drain", reachAgentDrain},
	{"entry drain", reachEntryDrain},
}

// containing returns a function that matches the chunks that contain text.
func containing(text string) func([]byte) bool {
	return func(data []byte) bool { return bytes.Contains(data, []byte(text)) }
}

func requestsProxy(a *realsystem.Agent) *faultproxy.Proxy { return a.RequestProxy }
func backendProxy(a *realsystem.Agent) *faultproxy.Proxy  { return a.BackendProxy }

func proxiesOf(agents []*realsystem.Agent, which func(*realsystem.Agent) *faultproxy.Proxy) []*faultproxy.Proxy {
	var all []*faultproxy.Proxy
	for _, a := range agents {
		all = append(all, which(a))
	}
	return all
}

// holds are the holds of one step at several proxies. The request reaches only one of them.
type holds struct {
	proxies []*faultproxy.Proxy
	holds   []*faultproxy.Hold
}

func holdAll(direction faultproxy.Direction, matches func([]byte) bool, proxies ...*faultproxy.Proxy) *holds {
	h := &holds{proxies: proxies}
	for _, p := range proxies {
		h.holds = append(h.holds, p.Hold(direction, matches))
	}
	return h
}

// reached returns the index of the hold that was reached, or -1 if none was.
func (h *holds) reached() int {
	for i, hold := range h.holds {
		select {
		case <-hold.Reached():
			return i
		default:
		}
	}
	return -1
}

func (h *holds) release() {
	for i, p := range h.proxies {
		p.Release(h.holds[i])
	}
}

// wait waits until one hold is reached and releases the others. It returns the index of that hold
// and the function that releases it.
func (h *holds) wait() (int, func(), error) {
	index := -1
	err := poll("the step", func() bool {
		index = h.reached()
		return index >= 0
	})
	if err != nil {
		h.release()
		return -1, nil, err
	}
	for i, p := range h.proxies {
		if i != index {
			p.Release(h.holds[i])
		}
	}
	return index, func() { h.proxies[index].Release(h.holds[index]) }, nil
}

func (b *testbed) sendMain(onEvent func(int)) {
	b.startReader(b.newMain(), onEvent)
}

func (b *testbed) newMain() *reader {
	r := newReader(b.addresses(), b.request("main"))
	r.corrupt = b.corrupt
	return r
}

// reachHeld sends the main request and waits until its bytes are held at one of the proxies. The
// index of that proxy becomes targetIndex.
func (b *testbed) reachHeld(direction faultproxy.Direction, matches func([]byte) bool, proxies ...*faultproxy.Proxy) (func(), error) {
	h := holdAll(direction, matches, proxies...)
	b.sendMain(nil)
	index, release, err := h.wait()
	b.targetIndex = max(index, 0)
	return release, err
}

// sendUntilMidStream sends the main request and waits until its caller has received midEvents
// events.
func (b *testbed) sendUntilMidStream() error {
	middle := make(chan struct{})
	b.sendMain(func(count int) {
		if count == midEvents {
			close(middle)
		}
	})
	if err := await("the middle of the stream", middle); err != nil {
		return err
	}
	b.targetIndex = max(b.running(), 0)
	return nil
}

func noRelease() {}

func reachMidStream(b *testbed) (func(), error) {
	return noRelease, b.sendUntilMidStream()
}

// reachResume kills the engine in the middle of the stream and waits until the entry sends the
// request to another agent.
func reachResume(b *testbed) (func(), error) {
	if err := b.sendUntilMidStream(); err != nil {
		return nil, err
	}
	h := holdAll(faultproxy.ToServer, containing("POST /v1/generate"), proxiesOf(b.Agents, requestsProxy)...)
	b.Standins.Engines[b.targetIndex].Kill()
	index, release, err := h.wait()
	b.targetIndex = max(index, 0)
	return release, err
}

// reachEndFrame waits until the engine has finished the answer and the next bytes from the agent
// are held.
func reachEndFrame(b *testbed) (func(), error) {
	finished := func([]byte) bool {
		for _, e := range b.Standins.Engines {
			if e.RunsEnded(engine.RunFinished) > 0 {
				return true
			}
		}
		return false
	}
	return b.reachHeld(faultproxy.ToClient, finished, proxiesOf(b.Agents, requestsProxy)...)
}

// reachAgentDrain asks the agent to stop in the middle of the stream and waits until its drain has
// started.
func reachAgentDrain(b *testbed) (func(), error) {
	if err := b.sendUntilMidStream(); err != nil {
		return nil, err
	}
	return noRelease, b.drain(b.Agents[b.targetIndex].Process, "agent")
}

func reachEntryDrain(b *testbed) (func(), error) {
	if err := b.sendUntilMidStream(); err != nil {
		return nil, err
	}
	return noRelease, b.drain(b.Entries[0].Process, "entry")
}
