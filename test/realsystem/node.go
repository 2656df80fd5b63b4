package realsystem

import (
	"fmt"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/test/faultproxy"
	"github.com/wigeonfork/wigeonfork/test/process"
)

// Entry is an entry and its proxies. The proxies are nil in a system without proxies.
type Entry struct {
	*process.Process
	// CallerProxy is between callers and the entry.
	CallerProxy *faultproxy.Proxy
	// ControlProxy is between other processes and the entry's control listener.
	ControlProxy *faultproxy.Proxy
	// TableProxy and HostsProxy are between the entry and the platform's services.
	TableProxy *faultproxy.Proxy
	HostsProxy *faultproxy.Proxy

	system *System
	host   string
	index  int
}

// Agent is an agent and its proxies. The proxies are nil in a system without proxies.
type Agent struct {
	*process.Process
	// RequestProxy and ControlProxy are between entries and the agent's two listeners.
	RequestProxy *faultproxy.Proxy
	ControlProxy *faultproxy.Proxy
	// BackendProxy is between the agent and its backend server, TableProxy between the agent and
	// the platform's table service.
	BackendProxy *faultproxy.Proxy
	TableProxy   *faultproxy.Proxy

	system *System
	spec   agentSpec
}

// agentSpec describes an agent. index selects its failure domain, kind is "engine" or "service",
// and backend is the address of its backend server.
type agentSpec struct {
	host    string
	index   int
	server  wigeonfork.BackendServerID
	kind    string
	backend string
}

func engineAgent(i int, backend string) agentSpec {
	return agentSpec{host: fmt.Sprintf("agent-%d", i), index: i, server: embedded.ServerID(i), kind: "engine", backend: backend}
}

func serviceAgent(i int, backend string) agentSpec {
	return agentSpec{host: fmt.Sprintf("service-agent-%d", i), index: i, server: embedded.ServiceID(i), kind: "service", backend: backend}
}

// throughProxy points proxy to target, and creates it if needed. It returns the address to use:
// that of the proxy, or target itself in a system without proxies.
func (s *System) throughProxy(proxy **faultproxy.Proxy, target string) (string, error) {
	if !s.options.Proxies {
		return target, nil
	}
	if *proxy != nil {
		(*proxy).SetTarget(target)
		return (*proxy).Addr(), nil
	}
	var err error
	if *proxy, err = faultproxy.New(target); err != nil {
		return "", err
	}
	return (*proxy).Addr(), nil
}

func (s *System) addEntry(i int) error {
	e := &Entry{system: s, host: fmt.Sprintf("entry-%d", i), index: i}
	s.Entries = append(s.Entries, e)
	return e.Start()
}

// Start starts the entry's process, or a new one after the last has ended. Its addresses stay
// the same in a system with proxies.
func (e *Entry) Start() error {
	s := e.system
	table, err := s.throughProxy(&e.TableProxy, s.Standins.TableServer.Addr())
	if err != nil {
		return err
	}
	hosts, err := s.throughProxy(&e.HostsProxy, s.Standins.HostsServer.Addr())
	if err != nil {
		return err
	}
	environment := append(s.environment(e.host, e.index, table, hosts), "WIGEON_HANDLE_KEY="+handleKey)
	if e.Process, err = s.options.Binaries.Start("wigeonfork-entry", environment...); err != nil {
		return err
	}
	serve, err := s.throughProxy(&e.CallerProxy, e.ServeAddress)
	if err != nil {
		return err
	}
	control, err := s.throughProxy(&e.ControlProxy, e.ControlAddress)
	if err != nil {
		return err
	}
	s.Standins.Hosts.Put(infra.Host{
		ID: wigeonfork.HostID(e.host), Role: infra.RoleEntry, State: infra.HostLive, Region: "local",
		Domain: wigeonfork.FailureDomain(domainOf(e.index)), ServeAddress: serve, ControlAddress: control,
	})
	return nil
}

// Address returns the address at which callers reach the entry.
func (e *Entry) Address() string {
	if e.CallerProxy != nil {
		return e.CallerProxy.Addr()
	}
	return e.ServeAddress
}

func (e *Entry) close() {
	if e.Process != nil {
		e.Kill()
	}
	closeAll(e.CallerProxy, e.ControlProxy, e.TableProxy, e.HostsProxy)
}

func (s *System) addAgent(to *[]*Agent, p agentSpec) error {
	a := &Agent{system: s, spec: p}
	*to = append(*to, a)
	return a.Start()
}

// Start starts the agent's process, or a new one after the last has ended. Its addresses stay
// the same in a system with proxies.
func (a *Agent) Start() error {
	s := a.system
	table, err := s.throughProxy(&a.TableProxy, s.Standins.TableServer.Addr())
	if err != nil {
		return err
	}
	backend, err := s.throughProxy(&a.BackendProxy, a.spec.backend)
	if err != nil {
		return err
	}
	environment := append(s.environment(a.spec.host, a.spec.index, table, s.Standins.HostsServer.Addr()),
		"WIGEON_BACKEND_SERVER="+string(a.spec.server),
		"WIGEON_BACKEND_KIND="+a.spec.kind,
		"WIGEON_BACKEND_ADDRESS="+backend)
	if a.Process, err = s.options.Binaries.Start("wigeonfork-agent", environment...); err != nil {
		return err
	}
	return a.register()
}

func (a *Agent) register() error {
	s := a.system
	serve, err := s.throughProxy(&a.RequestProxy, a.ServeAddress)
	if err != nil {
		return err
	}
	control, err := s.throughProxy(&a.ControlProxy, a.ControlAddress)
	if err != nil {
		return err
	}
	s.Standins.Hosts.Put(infra.Host{
		ID: wigeonfork.HostID(a.spec.host), Role: infra.RoleAgent, State: infra.HostLive, Region: "local",
		Domain: wigeonfork.FailureDomain(domainOf(a.spec.index)), ServeAddress: serve, ControlAddress: control,
		BackendServer: a.spec.server,
	})
	return nil
}

func (a *Agent) close() {
	if a.Process != nil {
		a.Kill()
	}
	closeAll(a.RequestProxy, a.ControlProxy, a.BackendProxy, a.TableProxy)
}

func closeAll(proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		if p != nil {
			p.Close()
		}
	}
}
