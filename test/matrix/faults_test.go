package matrix

import (
	"time"

	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/table"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/process"
	"github.com/wigeonfork/wigeonfork/test/realsystem"
)

// fault is a fault that can be injected. apply injects it and registers with onHeal how to undo it.
type fault struct {
	name  string
	apply func(b *testbed) error
}

const (
	// linkDelay is the delay of each byte on a slow link.
	linkDelay = 150 * time.Millisecond
	// storeDelay is the latency of each call to the table service while the store is slow.
	// storeLongDelay exceeds the entries' timeout for such a call.
	storeDelay     = 200 * time.Millisecond
	storeLongDelay = 700 * time.Millisecond
	// maxCutBytes bounds the number of bytes that are forwarded before a cut.
	maxCutBytes = 1500
	// duplicates is the number of chunks that are duplicated.
	duplicates = 3
	// slowFactor multiplies the time per token of a slow engine.
	slowFactor = 4
	// hostLag is the delay of a late host list.
	hostLag = 10 * time.Second
)

func (b *testbed) targetAgent() *realsystem.Agent {
	if len(b.ServiceAgents) > 0 {
		return b.ServiceAgents[b.targetIndex]
	}
	return b.Agents[b.targetIndex]
}

func (b *testbed) allAgents() []*realsystem.Agent {
	return append(append([]*realsystem.Agent{}, b.Agents...), b.ServiceAgents...)
}

// kill kills a process. Its proxies refuse connections from then on, as the kernel does for a
// process that has ended.
func (b *testbed) kill(p *process.Process, proxies ...*faultproxy.Proxy) {
	b.killed[p] = true
	p.Kill()
	refuseConnections(proxies...)
}

func refuseConnections(proxies ...*faultproxy.Proxy) {
	for _, proxy := range proxies {
		proxy.RefuseConnections()
		proxy.ResetAll()
	}
}

func acceptConnections(proxies ...*faultproxy.Proxy) error {
	for _, proxy := range proxies {
		if err := proxy.AcceptConnections(); err != nil {
			return err
		}
	}
	return nil
}

func killEntry(b *testbed) error {
	e := b.Entries[0]
	b.kill(e.Process, e.CallerProxy, e.ControlProxy)
	return nil
}

// killAgent kills the agent. heal restarts an agent beside a plain service, since callers learn the
// outcome of an action only from the host of that agent.
func killAgent(b *testbed) error {
	a := b.targetAgent()
	b.kill(a.Process, a.RequestProxy, a.ControlProxy)
	if len(b.ServiceAgents) > 0 {
		b.onHeal(func() error { return restartKilled(a) })
	}
	return nil
}

func restartKilled(a *realsystem.Agent) error {
	if err := a.Start(); err != nil {
		return err
	}
	return acceptConnections(a.RequestProxy, a.ControlProxy)
}

// killBackend kills the backend server. heal restarts it.
func killBackend(b *testbed) error {
	proxy := b.targetAgent().BackendProxy
	if len(b.ServiceAgents) > 0 {
		b.Standins.ServiceServers[b.targetIndex].Kill()
		b.onHeal(b.Standins.ServiceServers[b.targetIndex].Restart)
	} else {
		b.Standins.Engines[b.targetIndex].Kill()
		b.onHeal(b.Standins.Engines[b.targetIndex].Restart)
	}
	refuseConnections(proxy)
	b.onHeal(proxy.AcceptConnections)
	return nil
}

func killHost(b *testbed) error {
	if err := killBackend(b); err != nil {
		return err
	}
	return killAgent(b)
}

func restartEntry(b *testbed) error {
	if err := killEntry(b); err != nil {
		return err
	}
	e := b.Entries[0]
	if err := e.Start(); err != nil {
		return err
	}
	return acceptConnections(e.CallerProxy, e.ControlProxy)
}

func restartAgent(b *testbed) error {
	a := b.targetAgent()
	b.kill(a.Process, a.RequestProxy, a.ControlProxy)
	return restartKilled(a)
}

func restartBackend(b *testbed) error {
	if err := killBackend(b); err != nil {
		return err
	}
	return b.heal()
}

func pauseEntry(b *testbed) error { return b.pause(b.Entries[0].Process) }
func pauseAgent(b *testbed) error { return b.pause(b.targetAgent().Process) }

func (b *testbed) pause(p *process.Process) error {
	b.onHeal(p.Continue)
	return p.Pause()
}

func pauseBackend(b *testbed) error {
	if len(b.ServiceAgents) > 0 {
		b.Standins.ServiceServers[b.targetIndex].Pause()
		server := b.Standins.ServiceServers[b.targetIndex]
		b.onHeal(func() error { server.Continue(); return nil })
		return nil
	}
	e := b.Standins.Engines[b.targetIndex]
	e.Pause()
	b.onHeal(func() error { e.Continue(); return nil })
	return nil
}

func (b *testbed) updateEngine(change, back func(*engine.Options)) error {
	e := b.Standins.Engines[b.targetIndex]
	e.Update(change)
	b.onHeal(func() error { e.Update(back); return nil })
	return nil
}

func slowEngine(b *testbed) error {
	return b.updateEngine(func(o *engine.Options) { o.SlowFactor = slowFactor }, func(o *engine.Options) { o.SlowFactor = 0 })
}

func stuckEngine(b *testbed) error {
	return b.updateEngine(func(o *engine.Options) { o.Stuck = true }, func(o *engine.Options) { o.Stuck = false })
}

// processFaults are the faults of processes and backend servers.
var processFaults = []fault{
	{"kill entry", killEntry},
	{"kill agent", killAgent},
	{"kill backend server", killBackend},
	{"kill agent and backend server", killHost},
	{"restart entry with empty memory", restartEntry},
	{"restart agent with empty memory", restartAgent},
	{"restart backend server with empty memory", restartBackend},
	{"pause entry", pauseEntry},
	{"pause agent", pauseAgent},
	{"pause backend server", pauseBackend},
}

// engineFaults are the faults that only engines can have.
var engineFaults = []fault{
	{"engine slow", slowEngine},
	{"engine stuck", stuckEngine},
}

func (b *testbed) updateTable(change, back func(*table.Table)) error {
	change(b.Standins.Table)
	b.onHeal(func() error { back(b.Standins.Table); return nil })
	return nil
}

// platformFaults are the faults of the platform's services.
var platformFaults = []fault{
	{"store down", func(b *testbed) error {
		return b.updateTable(func(t *table.Table) { t.SetDown(true) }, func(t *table.Table) { t.SetDown(false) })
	}},
	{"store slow", func(b *testbed) error {
		return b.updateTable(func(t *table.Table) { t.SetDelay(storeDelay) }, func(t *table.Table) { t.SetDelay(0) })
	}},
	{"store slower than its time limit", func(b *testbed) error {
		return b.updateTable(func(t *table.Table) { t.SetDelay(storeLongDelay) }, func(t *table.Table) { t.SetDelay(0) })
	}},
	{"store answer lost after write", func(b *testbed) error {
		return b.updateTable(func(t *table.Table) { t.DropNextResponses(1) }, func(t *table.Table) { t.DropNextResponses(0) })
	}},
	{"host list down", func(b *testbed) error {
		b.Standins.Hosts.SetDown(true)
		b.onHeal(func() error { b.Standins.Hosts.SetDown(false); return nil })
		return nil
	}},
	{"host list late", func(b *testbed) error {
		b.Standins.Hosts.SetLag(hostLag)
		b.onHeal(func() error { b.Standins.Hosts.SetLag(0); return nil })
		return nil
	}},
}

// link is a kind of connection between two processes, and its proxy.
type link struct {
	name  string
	proxy func(b *testbed) *faultproxy.Proxy
}

var links = []link{
	{"caller-entry", func(b *testbed) *faultproxy.Proxy { return b.Entries[0].CallerProxy }},
	{"entry-agent", func(b *testbed) *faultproxy.Proxy { return b.targetAgent().RequestProxy }},
	{"entry-agent control", func(b *testbed) *faultproxy.Proxy { return b.targetAgent().ControlProxy }},
	{"agent-backend server", func(b *testbed) *faultproxy.Proxy { return b.targetAgent().BackendProxy }},
	{"entry-table", func(b *testbed) *faultproxy.Proxy { return b.Entries[0].TableProxy }},
	{"entry-hosts", func(b *testbed) *faultproxy.Proxy { return b.Entries[0].HostsProxy }},
}

// agentTable is a link that only agents beside plain services use.
var agentTable = link{"agent-table", func(b *testbed) *faultproxy.Proxy { return b.targetAgent().TableProxy }}

// faultsOf returns the network faults of one link.
func faultsOf(l link) []fault {
	on := func(name string, apply func(b *testbed, p *faultproxy.Proxy) error) fault {
		return fault{name + " " + l.name, func(b *testbed) error { return apply(b, l.proxy(b)) }}
	}
	return []fault{
		on("reset", func(_ *testbed, p *faultproxy.Proxy) error { p.ResetAll(); return nil }),
		on("black hole to server on", blackHole(faultproxy.ToServer)),
		on("black hole to client on", blackHole(faultproxy.ToClient)),
		on("black hole both ways on", blackHole(faultproxy.Both)),
		on("delay on", func(b *testbed, p *faultproxy.Proxy) error {
			p.SetDelay(faultproxy.Both, linkDelay)
			b.onHeal(func() error { p.SetDelay(faultproxy.Both, 0); return nil })
			return nil
		}),
		on("cut after n bytes on", cut(false)),
		on("silent cut after n bytes on", cut(true)),
		on("refuse connections on", func(b *testbed, p *faultproxy.Proxy) error {
			p.RefuseConnections()
			p.ResetAll()
			b.onHeal(p.AcceptConnections)
			return nil
		}),
	}
}

// duplicateOn returns the fault that duplicates the next chunks in one direction of a link.
func duplicateOn(l link, name string, direction faultproxy.Direction) fault {
	return fault{"duplicate " + name + " on " + l.name, func(b *testbed) error {
		l.proxy(b).DuplicateNext(direction, duplicates)
		return nil
	}}
}

func blackHole(direction faultproxy.Direction) func(*testbed, *faultproxy.Proxy) error {
	return func(b *testbed, p *faultproxy.Proxy) error {
		p.SetBlackHole(direction, true)
		b.onHeal(func() error { p.SetBlackHole(direction, false); return nil })
		return nil
	}
}

func cut(silent bool) func(*testbed, *faultproxy.Proxy) error {
	return func(b *testbed, p *faultproxy.Proxy) error {
		p.ArmCut(faultproxy.Cut{Direction: faultproxy.ToClient, AfterBytes: b.random.Int64N(maxCutBytes), Silent: silent})
		b.onHeal(func() error { p.DisarmCut(); return nil })
		return nil
	}
}
