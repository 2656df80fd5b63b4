package matrix

import (
	"bytes"

	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// step is a point in the life of a request.
type step struct {
	name string
	// arrive sends the request that the fault is for and returns when it is at
	// the step, with the bench's victim set. release lets it go on.
	arrive func(b *bench) (release func(), err error)
}

// midEvents is how many events a caller has when its answer counts as in the
// middle.
const midEvents = 25

// generationSteps are the steps of a generation.
var generationSteps = []step{
	{"accept", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToServer, holding("POST /v1/completions"), b.Entries[0].CallerProxy)
	}},
	{"dispatch", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToServer, holding("POST /v1/generate"), proxiesOf(b.Agents, requestsProxy)...)
	}},
	{"engine call", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToServer, holding("POST /v1/completions"), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"first token", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToClient, holding(`"tokens":`), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"mid stream", arriveMidStream},
	{"resume", arriveResume},
	{"end frame at agent", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToClient, holding(`"finish_reason":`), proxiesOf(b.Agents, backendProxy)...)
	}},
	{"end frame at entry", arriveEndFrame},
	{"end event", func(b *bench) (func(), error) {
		return b.arriveHeld(faultproxy.ToClient, holding("[DONE]"), b.Entries[0].CallerProxy)
	}},
	{"agent drain", arriveAgentDrain},
	{"entry drain", arriveEntryDrain},
}

// holding matches the chunks that hold text.
func holding(text string) func([]byte) bool {
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

// holds are the holds of one step at several proxies, of which one is reached.
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

// reached returns the index of the hold that was reached, or -1.
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

// wait waits until one is reached and disarms the others.
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

func (b *bench) askMain(onEvent func(int)) {
	b.ask(b.newMain(), onEvent)
}

func (b *bench) newMain() *reader {
	r := newReader(b.addresses(), b.request("main"))
	r.spoil = b.spoil
	return r
}

// arriveHeld sends the request and waits until its bytes are held at one of
// the proxies, whose index is the victim.
func (b *bench) arriveHeld(direction faultproxy.Direction, matches func([]byte) bool, proxies ...*faultproxy.Proxy) (func(), error) {
	h := holdAll(direction, matches, proxies...)
	b.askMain(nil)
	index, release, err := h.wait()
	b.victim = max(index, 0)
	return release, err
}

// arriveMid sends the request and waits until its caller has some events.
func (b *bench) arriveMid() error {
	middle := make(chan struct{})
	b.askMain(func(count int) {
		if count == midEvents {
			close(middle)
		}
	})
	if err := await("the middle of the stream", middle); err != nil {
		return err
	}
	b.victim = max(b.running(), 0)
	return nil
}

func nothingHeld() {}

func arriveMidStream(b *bench) (func(), error) {
	return nothingHeld, b.arriveMid()
}

// arriveResume kills the engine in the middle and waits until the entry sends
// the request to another agent.
func arriveResume(b *bench) (func(), error) {
	if err := b.arriveMid(); err != nil {
		return nil, err
	}
	h := holdAll(faultproxy.ToServer, holding("POST /v1/generate"), proxiesOf(b.Agents, requestsProxy)...)
	b.Standins.Engines[b.victim].Kill()
	index, release, err := h.wait()
	b.victim = max(index, 0)
	return release, err
}

// arriveEndFrame waits until the engine has finished the answer and the next
// bytes from the agent are held.
func arriveEndFrame(b *bench) (func(), error) {
	finished := func([]byte) bool {
		for _, e := range b.Standins.Engines {
			if e.RunsEnded(engine.RunFinished) > 0 {
				return true
			}
		}
		return false
	}
	return b.arriveHeld(faultproxy.ToClient, finished, proxiesOf(b.Agents, requestsProxy)...)
}

// arriveAgentDrain asks the agent in the middle of the stream to stop and
// waits until it says that it leaves.
func arriveAgentDrain(b *bench) (func(), error) {
	if err := b.arriveMid(); err != nil {
		return nil, err
	}
	return nothingHeld, b.drain(b.Agents[b.victim].Process, "agent")
}

func arriveEntryDrain(b *bench) (func(), error) {
	if err := b.arriveMid(); err != nil {
		return nil, err
	}
	return nothingHeld, b.drain(b.Entries[0].Process, "entry")
}
