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

// faulty is a system whose agents and engines are reached through proxies.
type faulty struct {
	*embedded.System
	agentPaths  map[wigeonfork.HostID]*faultproxy.Proxy
	enginePaths map[int]*faultproxy.Proxy
	// metrics are those of all entries that ever ran.
	metrics []telemetry.Registry
}

func start() (*faulty, error) {
	f := &faulty{agentPaths: map[wigeonfork.HostID]*faultproxy.Proxy{}, enginePaths: map[int]*faultproxy.Proxy{}}
	options := embedded.Options{
		Entries: 2,
		AgentProxy: func(host wigeonfork.HostID, address string) (string, error) {
			return through(f.agentPaths, host, address)
		},
		EngineProxy: func(engine int, address string) (string, error) {
			return through(f.enginePaths, engine, address)
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

// through returns the address of the proxy called key, which leads to address.
func through[K comparable](paths map[K]*faultproxy.Proxy, key K, address string) (string, error) {
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

func (f *faulty) close() {
	f.System.Close()
	for _, proxy := range f.agentPaths {
		proxy.Close()
	}
	for _, proxy := range f.enginePaths {
		proxy.Close()
	}
}

func (f *faulty) agentPath(i int) *faultproxy.Proxy {
	return f.agentPaths[embedded.AgentHost(i)]
}

func (f *faulty) replaceEntry() error {
	if err := f.ReplaceEntry(0); err != nil {
		return err
	}
	f.metrics = append(f.metrics, f.Entries[0].Metrics)
	return nil
}

// loss is one kind of loss.
type loss struct {
	name string
	// seen tells that the agent sees the engine's death.
	seen   bool
	strike func(s *faulty, engine int)
	heal   func(s *faulty, engine int) error
}

func losses() []loss {
	return append(deaths(), append(stalls(), paths()...)...)
}

func deaths() []loss {
	return []loss{
		{
			name:   "engine death",
			seen:   true,
			strike: func(s *faulty, i int) { s.Standins.Engines[i].Kill() },
			heal:   func(s *faulty, i int) error { return s.Standins.Engines[i].Restart() },
		},
		{
			name:   "agent death",
			strike: func(s *faulty, i int) { s.Agents[i].Process.Stop() },
			heal:   func(s *faulty, i int) error { return s.ReplaceAgent(i) },
		},
		{
			name: "host death",
			strike: func(s *faulty, i int) {
				s.Standins.Engines[i].Kill()
				s.Agents[i].Process.Stop()
			},
			heal: func(s *faulty, i int) error {
				return errors.CombineErrors(s.Standins.Engines[i].Restart(), s.ReplaceAgent(i))
			},
		},
		{
			name:   "entry death",
			strike: func(s *faulty, _ int) { s.Entries[0].Process.Stop() },
			heal:   func(s *faulty, _ int) error { return s.replaceEntry() },
		},
		{
			name: "entry and agent death",
			strike: func(s *faulty, i int) {
				s.Entries[0].Process.Stop()
				s.Agents[i].Process.Stop()
			},
			heal: func(s *faulty, i int) error {
				return errors.CombineErrors(s.replaceEntry(), s.ReplaceAgent(i))
			},
		},
	}
}

func stalls() []loss {
	return []loss{
		{
			name:   "engine pause",
			strike: func(s *faulty, i int) { s.Standins.Engines[i].Pause() },
			heal:   func(s *faulty, i int) error { s.Standins.Engines[i].Continue(); return nil },
		},
		setting("engine stuck", func(o *engine.Options) { o.Stuck = true }, func(o *engine.Options) { o.Stuck = false }),
		setting("engine at a tenth of its speed",
			func(o *engine.Options) { o.TokensPerSecond = tokensPerSecond / 10 },
			func(o *engine.Options) { o.TokensPerSecond = tokensPerSecond }),
	}
}

// setting is a loss by a change of the engine's options.
func setting(name string, strike, heal func(*engine.Options)) loss {
	return loss{
		name:   name,
		strike: func(s *faulty, i int) { s.Standins.Engines[i].Update(strike) },
		heal:   func(s *faulty, i int) error { s.Standins.Engines[i].Update(heal); return nil },
	}
}

func paths() []loss {
	toAgent := (*faulty).agentPath
	toEngine := func(s *faulty, i int) *faultproxy.Proxy { return s.enginePaths[i] }
	return []loss{
		path("entry-agent reset", toAgent, func(p *faultproxy.Proxy) { p.ResetAll() }),
		path("entry-agent silent to the entry", toAgent, blackHole(faultproxy.ToClient)),
		path("entry-agent silent to the agent", toAgent, blackHole(faultproxy.ToServer)),
		path("entry-agent half open", toAgent, func(p *faultproxy.Proxy) {
			p.ArmCut(faultproxy.Cut{Direction: faultproxy.ToClient, Silent: true})
		}),
		path("frame cut", toAgent, func(p *faultproxy.Proxy) {
			p.ArmCut(faultproxy.Cut{Direction: faultproxy.ToClient, AfterBytes: cutAfterBytes})
		}),
		path("agent-engine reset", toEngine, func(p *faultproxy.Proxy) { p.ResetAll() }),
		path("agent-engine silent", toEngine, blackHole(faultproxy.Both)),
	}
}

// cutAfterBytes is within the head of a frame.
const cutAfterBytes = 9

// path is a loss on the way to an agent or an engine.
func path(name string, of func(*faulty, int) *faultproxy.Proxy, strike func(*faultproxy.Proxy)) loss {
	return loss{
		name:   name,
		strike: func(s *faulty, i int) { strike(of(s, i)) },
		heal: func(s *faulty, i int) error {
			of(s, i).DisarmCut()
			of(s, i).SetBlackHole(faultproxy.Both, false)
			return nil
		},
	}
}

func blackHole(directions faultproxy.Direction) func(*faultproxy.Proxy) {
	return func(p *faultproxy.Proxy) { p.SetBlackHole(directions, true) }
}
