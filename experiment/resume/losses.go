package resume

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
)

// faultySystem is a system whose agents and engines are reached through fault proxies.
type faultySystem struct {
	*embedded.System
	agentProxies  map[wigeonfork.HostID]*faultproxy.Proxy
	engineProxies map[int]*faultproxy.Proxy
	// metrics are the registries of all entries, including replaced ones.
	metrics []telemetry.Registry
}

func start() (*faultySystem, error) {
	f := &faultySystem{agentProxies: map[wigeonfork.HostID]*faultproxy.Proxy{}, engineProxies: map[int]*faultproxy.Proxy{}}
	options := embedded.Options{
		Entries: 2,
		AgentProxy: func(host wigeonfork.HostID, address string) (string, error) {
			return proxyAddress(f.agentProxies, host, address)
		},
		EngineProxy: func(engine int, address string) (string, error) {
			return proxyAddress(f.engineProxies, engine, address)
		},
	}
	for range engines {
		options.Engines = append(options.Engines, engine.Options{TokensPerSecond: tokensPerSecond, BufferFor: time.Minute})
	}
	system, err := embedded.Start(options)
	if err != nil {
		return nil, err
	}
	f.System = system
	for _, entry := range system.Entries {
		f.metrics = append(f.metrics, entry.Metrics)
	}
	return f, nil
}

// proxyAddress returns the address of the proxy for key, and points it at address.
// It creates the proxy if there is none.
func proxyAddress[K comparable](paths map[K]*faultproxy.Proxy, key K, address string) (string, error) {
	if proxy := paths[key]; proxy != nil {
		proxy.SetTarget(address)
		return proxy.Addr(), nil
	}
	proxy, err := faultproxy.New(address)
	if err != nil {
		return "", err
	}
	paths[key] = proxy
	return proxy.Addr(), nil
}

func (f *faultySystem) close() {
	f.System.Close()
	for _, proxy := range f.agentProxies {
		proxy.Close()
	}
	for _, proxy := range f.engineProxies {
		proxy.Close()
	}
}

func (f *faultySystem) agentProxy(i int) *faultproxy.Proxy {
	return f.agentProxies[embedded.AgentHost(i)]
}

func (f *faultySystem) replaceEntry() error {
	if err := f.ReplaceEntry(0); err != nil {
		return err
	}
	f.metrics = append(f.metrics, f.Entries[0].Metrics)
	return nil
}

// loss is one kind of failure that interrupts an answer.
type loss struct {
	name string
	// detectedByAgent says that the agent survives and detects the engine's death.
	detectedByAgent bool
	inject          func(s *faultySystem, engine int)
	heal            func(s *faultySystem, engine int) error
}

func losses() []loss {
	return append(deaths(), append(stalls(), connectionLosses()...)...)
}

func deaths() []loss {
	return []loss{
		{
			name:            "engine death",
			detectedByAgent: true,
			inject:          func(s *faultySystem, i int) { s.Standins.Engines[i].Kill() },
			heal:            func(s *faultySystem, i int) error { return s.Standins.Engines[i].Restart() },
		},
		{
			name:   "agent death",
			inject: func(s *faultySystem, i int) { s.Agents[i].Process.Stop() },
			heal:   func(s *faultySystem, i int) error { return s.ReplaceAgent(i) },
		},
		{
			name: "host death",
			inject: func(s *faultySystem, i int) {
				s.Standins.Engines[i].Kill()
				s.Agents[i].Process.Stop()
			},
			heal: func(s *faultySystem, i int) error {
				return errors.CombineErrors(s.Standins.Engines[i].Restart(), s.ReplaceAgent(i))
			},
		},
		{
			name:   "entry death",
			inject: func(s *faultySystem, _ int) { s.Entries[0].Process.Stop() },
			heal:   func(s *faultySystem, _ int) error { return s.replaceEntry() },
		},
		{
			name: "entry and agent death",
			inject: func(s *faultySystem, i int) {
				s.Entries[0].Process.Stop()
				s.Agents[i].Process.Stop()
			},
			heal: func(s *faultySystem, i int) error {
				return errors.CombineErrors(s.replaceEntry(), s.ReplaceAgent(i))
			},
		},
	}
}

func stalls() []loss {
	return []loss{
		{
			name:   "engine pause",
			inject: func(s *faultySystem, i int) { s.Standins.Engines[i].Pause() },
			heal:   func(s *faultySystem, i int) error { s.Standins.Engines[i].Continue(); return nil },
		},
		optionLoss("engine stuck", func(o *engine.Options) { o.Stuck = true }, func(o *engine.Options) { o.Stuck = false }),
		optionLoss("engine at a tenth of its speed",
			func(o *engine.Options) { o.TokensPerSecond = tokensPerSecond / 10 },
			func(o *engine.Options) { o.TokensPerSecond = tokensPerSecond }),
	}
}

// optionLoss returns a loss that changes the engine's options.
func optionLoss(name string, inject, heal func(*engine.Options)) loss {
	return loss{
		name:   name,
		inject: func(s *faultySystem, i int) { s.Standins.Engines[i].Update(inject) },
		heal:   func(s *faultySystem, i int) error { s.Standins.Engines[i].Update(heal); return nil },
	}
}

func connectionLosses() []loss {
	toAgent := (*faultySystem).agentProxy
	toEngine := func(s *faultySystem, i int) *faultproxy.Proxy { return s.engineProxies[i] }
	return []loss{
		connectionLoss("entry-agent reset", toAgent, func(p *faultproxy.Proxy) { p.ResetAll() }),
		connectionLoss("entry-agent silent to the entry", toAgent, blackHole(faultproxy.ToClient)),
		connectionLoss("entry-agent silent to the agent", toAgent, blackHole(faultproxy.ToServer)),
		connectionLoss("entry-agent half open", toAgent, func(p *faultproxy.Proxy) {
			p.ArmCut(faultproxy.Cut{Direction: faultproxy.ToClient, Silent: true})
		}),
		connectionLoss("frame cut", toAgent, func(p *faultproxy.Proxy) {
			p.ArmCut(faultproxy.Cut{Direction: faultproxy.ToClient, AfterBytes: cutAfterBytes})
		}),
		connectionLoss("agent-engine reset", toEngine, func(p *faultproxy.Proxy) { p.ResetAll() }),
		connectionLoss("agent-engine silent", toEngine, blackHole(faultproxy.Both)),
	}
}

// cutAfterBytes is an offset within the header of a frame.
const cutAfterBytes = 9

// connectionLoss returns a loss on the connection to an agent or an engine.
func connectionLoss(name string, of func(*faultySystem, int) *faultproxy.Proxy, inject func(*faultproxy.Proxy)) loss {
	return loss{
		name:   name,
		inject: func(s *faultySystem, i int) { inject(of(s, i)) },
		heal: func(s *faultySystem, i int) error {
			of(s, i).DisarmCut()
			of(s, i).SetBlackHole(faultproxy.Both, false)
			return nil
		},
	}
}

func blackHole(directions faultproxy.Direction) func(*faultproxy.Proxy) {
	return func(p *faultproxy.Proxy) { p.SetBlackHole(directions, true) }
}
