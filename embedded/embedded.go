// Package embedded runs entries and agents in one process on loopback, with stand-ins for the
// systems around them. The demo, the experiments and tests use it.
package embedded

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/entry"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/suite"
	"github.com/wigeonfork/wigeonfork/telemetry"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// Names in the initial configuration of every system.
const (
	Template          template.Name           = "default"
	Service           wigeonfork.Model        = "register"
	ServiceDeployment template.DeploymentName = "register"
	Workspace         wigeonfork.Workspace    = "demo"
	Model             wigeonfork.Model        = "narrator"
	Version           wigeonfork.Version      = "v1"
	Deployment        template.DeploymentName = "narrator"
)

// Keys of the embedded system. It listens only on loopback, so they need not be secret.
const (
	peerKey     = "embedded-peer-key-0"
	operatorKey = "embedded-operator-key-0"
	handleKey   = "embedded-handle-key-0"
)

// failureDomains is the number of failure domains over which hosts are spread.
const failureDomains = 3

// readyTimeout limits the wait for the system to become ready.
const readyTimeout = 10 * time.Second

const readyPoll = 10 * time.Millisecond

// Options configure a System.
type Options struct {
	// Entries is the number of entries; 0 means 1.
	Entries int
	// Engines holds the options of each engine.
	Engines []engine.Options
	// Services is the number of plain services, which execute actions.
	Services int
	// Limits are the limits of the relays; the zero value means the defaults.
	Limits generation.Limits
	// MoveSettle is the time that a move needs to evaluate a version after its last load.
	MoveSettle time.Duration
	// AgentDrainLimit is the drain limit of the agents; 0 means a minute.
	AgentDrainLimit time.Duration
	// EntryDrainLimit is the drain limit of the entries; 0 means a minute.
	EntryDrainLimit time.Duration
	// AgentProxy returns the address at which entries reach an agent, EngineProxy that at which an
	// agent reaches its engine. They are given the real address and may return that of a proxy.
	// Either may be nil.
	AgentProxy  func(host wigeonfork.HostID, address string) (string, error)
	EngineProxy func(engine int, address string) (string, error)
	Log         *telemetry.Logger
}

// System is a running system with its stand-ins.
type System struct {
	Standins *suite.Suite
	Entries  []*Node[*entry.Entry]
	// Agents are the agents beside the engines, in the order of the engines.
	Agents []*Node[*agent.Agent]
	// ServiceAgents are the agents beside the plain services, in the order of the services.
	ServiceAgents []*Node[*agent.Agent]
	options       Options
}

// Node is one entry or agent of the system.
type Node[T any] struct {
	Process T
	// Address is the IP and port for requests, Control that for control connections.
	Address string
	Control string
	Metrics telemetry.Registry
}

// Credentials returns the credentials of the embedded system.
func Credentials() peer.Credentials {
	return peer.Credentials{Peer: peerKey, Operator: operatorKey}
}

// Start starts a system and waits until it is ready.
func Start(options Options) (*System, error) {
	if options.Log == nil {
		options.Log = telemetry.Discard()
	}
	if options.AgentDrainLimit == 0 {
		options.AgentDrainLimit = time.Minute
	}
	if options.EntryDrainLimit == 0 {
		options.EntryDrainLimit = time.Minute
	}
	if options.Limits == (generation.Limits{}) {
		options.Limits = generation.DefaultLimits()
	}
	LoadDefaultVersion(options.Engines)
	standins, err := suite.Start(suite.Options{Engines: options.Engines, Services: options.Services})
	if err != nil {
		return nil, err
	}
	s := &System{Standins: standins, options: options}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// LoadDefaultVersion sets Versions to the default version in the options where it is nil.
func LoadDefaultVersion(engines []engine.Options) {
	for i := range engines {
		if engines[i].Versions == nil {
			engines[i].Versions = []backend.LoadedVersion{{Model: Model, Version: Version, Ready: true}}
		}
	}
}

func (s *System) start() error {
	for i := range s.Standins.Engines {
		if err := s.AddAgent(i); err != nil {
			return err
		}
	}
	for i := range s.Standins.Services {
		if err := s.AddServiceAgent(i); err != nil {
			return err
		}
	}
	if err := Configure(context.Background(), s.Standins.Table, httpinfra.NewObjects(httpinfra.Options{Address: s.Standins.ObjectsServer.Addr()}), len(s.Standins.Engines), len(s.Standins.Services)); err != nil {
		return err
	}
	for range max(s.options.Entries, 1) {
		if err := s.AddEntry(); err != nil {
			return err
		}
	}
	return s.WaitReady()
}

func domainOf(i int) wigeonfork.FailureDomain {
	return wigeonfork.FailureDomain(fmt.Sprintf("domain-%d", i%failureDomains))
}

// ServerID returns the id of the backend server with engine i.
func ServerID(i int) wigeonfork.BackendServerID {
	return wigeonfork.BackendServerID(fmt.Sprintf("engine-%d", i))
}

// AgentHost returns the id of the host of the agent beside engine i.
func AgentHost(i int) wigeonfork.HostID {
	return wigeonfork.HostID(fmt.Sprintf("agent-%d", i))
}

// ServiceID returns the id of the backend server with plain service i.
func ServiceID(i int) wigeonfork.BackendServerID {
	return wigeonfork.BackendServerID(fmt.Sprintf("service-%d", i))
}

// AddAgent starts an agent beside engine i.
func (s *System) AddAgent(i int) error {
	node, err := s.newAgent(i)
	if err == nil {
		s.Agents = append(s.Agents, node)
	}
	return err
}

// ReplaceAgent starts a new agent in place of the one beside engine i, on other ports. It doesn't
// stop the old one.
func (s *System) ReplaceAgent(i int) error {
	node, err := s.newAgent(i)
	if err == nil {
		s.Agents[i] = node
	}
	return err
}

// AddServiceAgent starts an agent beside plain service i.
func (s *System) AddServiceAgent(i int) error {
	node, err := s.startAgent(agent.Options{
		Host:          wigeonfork.HostID(fmt.Sprintf("service-agent-%d", i)),
		Domain:        domainOf(i),
		BackendServer: ServiceID(i),
		Service:       httpbackend.NewService(httpbackend.ServiceOptions{Address: s.Standins.ServiceServers[i].Addr()}),
	})
	if err == nil {
		s.ServiceAgents = append(s.ServiceAgents, node)
	}
	return err
}

func (s *System) newAgent(i int) (*Node[*agent.Agent], error) {
	address := s.Standins.Engines[i].Addr()
	if s.options.EngineProxy != nil {
		var err error
		if address, err = s.options.EngineProxy(i, address); err != nil {
			return nil, err
		}
	}
	return s.startAgent(agent.Options{
		Host:          AgentHost(i),
		Domain:        domainOf(i),
		BackendServer: ServerID(i),
		Engine:        httpbackend.NewEngine(httpbackend.Options{Address: address, Capabilities: allCapabilities()}),
	})
}

func (s *System) startAgent(options agent.Options) (*Node[*agent.Agent], error) {
	options.Credentials = Credentials()
	options.Table = httpinfra.NewTable(httpinfra.Options{Address: s.Standins.TableServer.Addr()})
	options.Objects = httpinfra.NewObjects(httpinfra.Options{Address: s.Standins.ObjectsServer.Addr()})
	options.Hosts = httpinfra.NewHostList(httpinfra.Options{Address: s.Standins.HostsServer.Addr()})
	options.Log = s.options.Log
	options.Metrics = telemetry.NewRegistry()
	options.DrainLimit = s.options.AgentDrainLimit
	a, err := agent.New(options)
	if err != nil {
		return nil, err
	}
	serve, control, err := listen()
	if err != nil {
		return nil, err
	}
	address := serve.Addr().String()
	if s.options.AgentProxy != nil {
		if address, err = s.options.AgentProxy(options.Host, address); err != nil {
			return nil, err
		}
	}
	a.Start(serve, control)
	node := &Node[*agent.Agent]{Process: a, Address: address, Control: control.Addr().String(), Metrics: options.Metrics}
	s.Standins.Hosts.Put(infra.Host{
		ID: options.Host, Role: infra.RoleAgent, State: infra.HostLive, Region: "local", Domain: options.Domain,
		ServeAddress: node.Address, ControlAddress: node.Control, BackendServer: options.BackendServer,
	})
	return node, nil
}

func allCapabilities() backend.Capabilities {
	return backend.Capabilities{ResumeStream: true, ContinuePrefix: true, Cancel: true, Priority: true, CacheEvents: true}
}

// AddEntry starts an entry.
func (s *System) AddEntry() error {
	node, err := s.newEntry(len(s.Entries))
	if err == nil {
		s.Entries = append(s.Entries, node)
	}
	return err
}

// ReplaceEntry starts a new entry in place of entry i, on other ports. It doesn't stop the old one.
func (s *System) ReplaceEntry(i int) error {
	node, err := s.newEntry(i)
	if err == nil {
		s.Entries[i] = node
	}
	return err
}

func (s *System) newEntry(i int) (*Node[*entry.Entry], error) {
	metrics := telemetry.NewRegistry()
	host := wigeonfork.HostID(fmt.Sprintf("entry-%d", i))
	e, err := entry.New(entry.Options{
		Host:        host,
		Domain:      domainOf(i),
		Table:       httpinfra.NewTable(httpinfra.Options{Address: s.Standins.TableServer.Addr()}),
		Objects:     httpinfra.NewObjects(httpinfra.Options{Address: s.Standins.ObjectsServer.Addr()}),
		Weights:     httpinfra.NewWeights(httpinfra.Options{Address: s.Standins.WeightsServer.Addr()}),
		Hosts:       httpinfra.NewHostList(httpinfra.Options{Address: s.Standins.HostsServer.Addr()}),
		HandleKey:   []byte(handleKey),
		Credentials: Credentials(),
		Limits:      s.options.Limits,
		Log:         s.options.Log,
		Metrics:     metrics,
		MoveSettle:  s.options.MoveSettle,
		DrainLimit:  s.options.EntryDrainLimit,
	})
	if err != nil {
		return nil, err
	}
	serve, control, err := listen()
	if err != nil {
		return nil, err
	}
	e.Start(serve, control)
	node := &Node[*entry.Entry]{Process: e, Address: serve.Addr().String(), Control: control.Addr().String(), Metrics: metrics}
	s.Standins.Hosts.Put(infra.Host{
		ID: host, Role: infra.RoleEntry, State: infra.HostLive, Region: "local", Domain: domainOf(i),
		ServeAddress: node.Address, ControlAddress: node.Control,
	})
	return node, nil
}

func listen() (serve, control net.Listener, err error) {
	if serve, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	if control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	return serve, control, nil
}

// Configure stores the initial configuration: a template and one deployment each for the engines
// and the plain services, if there are any.
func Configure(ctx context.Context, table infra.Table, objects infra.Objects, engines, services int) error {
	change := template.Change{PutTemplates: []template.Template{{Name: Template}}}
	if engines > 0 {
		change.PutDeployments = append(change.PutDeployments, deployment(Deployment, Model, engines, ServerID))
	}
	if services > 0 {
		change.PutDeployments = append(change.PutDeployments, deployment(ServiceDeployment, Service, services, ServiceID))
	}
	_, err := store.New(table, objects, store.Options{}).Accept(ctx, store.Request{
		OperationID: uuid.NewString(), Author: "embedded", Change: change, Now: time.Now(),
	})
	return err
}

func deployment(name template.DeploymentName, model wigeonfork.Model, servers int, id func(int) wigeonfork.BackendServerID) template.Deployment {
	d := template.Deployment{
		Name:       name,
		Template:   Template,
		Model:      model,
		Workspaces: []template.Binding{{Workspace: Workspace}},
		Versions:   []template.VersionShare{{Version: Version, Share: template.FullShare}},
	}
	for i := range servers {
		d.BackendServers = append(d.BackendServers, id(i))
	}
	return d
}

// WaitReady waits until each entry can use all backend servers. It fails after 10 s.
func (s *System) WaitReady() error {
	return s.WaitUsable(len(s.Agents) + len(s.ServiceAgents))
}

// WaitUsable waits until each entry can use at least the given number of backend servers. It fails
// after 10 s. Use it in place of WaitReady after crashes, since a server that restarted too often
// is not used for a while.
func (s *System) WaitUsable(servers int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, node := range s.Entries {
		for !node.Process.Ready(servers) {
			if time.Now().After(deadline) {
				return errors.Newf("entry at %s is not ready after %s", node.Address, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// RunningEngine returns the index of the first engine with an unfinished run, or -1.
func (s *System) RunningEngine() int {
	for i, e := range s.Standins.Engines {
		for _, run := range e.Runs() {
			if run.End == engine.RunOpen {
				return i
			}
		}
	}
	return -1
}

// Close stops all processes and stand-ins.
func (s *System) Close() {
	for _, node := range s.Entries {
		node.Process.Stop()
	}
	for _, node := range append(append([]*Node[*agent.Agent]{}, s.Agents...), s.ServiceAgents...) {
		node.Process.Stop()
	}
	s.Standins.Close()
}
