// Package realsystem runs entries and agents as real processes, with stand-ins of the platform and
// the backend servers in the calling process. A fault-injecting proxy can be put on each connection
// between two of them.
package realsystem

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork/embedded"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/suite"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
	"github.com/wigeonfork/wigeonfork/test/process"
)

const (
	domains   = 3
	handleKey = "realsystem-handle-key"
)

// Options configure a system.
type Options struct {
	Binaries *process.Binaries
	// Entries is the number of entries. Zero selects one.
	Entries int
	// Engines holds the options of each engine.
	Engines []engine.Options
	// Services is the number of plain services.
	Services int
	// Change creates the first configuration. Nil selects that of embedded.Configure.
	Change *template.Change
	// Proxies puts a proxy on each connection. All entries share the proxies of an agent.
	Proxies bool
	// Environment holds additional environment variables of all processes.
	Environment []string
}

// System is a running system.
type System struct {
	Standins *suite.Suite
	Entries  []*Entry
	// Agents run beside the engines, ServiceAgents beside the plain services.
	Agents        []*Agent
	ServiceAgents []*Agent
	options       Options
}

// Start starts a system and waits until its entries see all backend servers as ready.
func Start(options Options) (*System, error) {
	embedded.LoadDefaultVersion(options.Engines)
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

func (s *System) start() error {
	if err := s.configure(context.Background()); err != nil {
		return err
	}
	for i := range s.Standins.Engines {
		if err := s.addAgent(&s.Agents, engineAgent(i, s.Standins.Engines[i].Addr())); err != nil {
			return err
		}
	}
	for i := range s.Standins.Services {
		if err := s.addAgent(&s.ServiceAgents, serviceAgent(i, s.Standins.ServiceServers[i].Addr())); err != nil {
			return err
		}
	}
	for i := range max(1, s.options.Entries) {
		if err := s.addEntry(i); err != nil {
			return err
		}
	}
	return s.WaitReady(len(s.Agents) + len(s.ServiceAgents))
}

func (s *System) configure(ctx context.Context) error {
	objects := httpinfra.NewObjects(httpinfra.Options{Address: s.Standins.ObjectsServer.Addr()})
	defer objects.Close()
	if s.options.Change == nil {
		return embedded.Configure(ctx, s.Standins.Table, objects, len(s.Standins.Engines), len(s.Standins.Services))
	}
	_, err := store.New(s.Standins.Table, objects, store.Options{}).Accept(ctx, store.Request{
		OperationID: uuid.NewString(), Author: "realsystem", Change: *s.options.Change, Now: time.Now(),
	})
	return err
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

// environment returns the environment variables that all processes have. i selects the failure
// domain, table and hosts are the addresses of the platform's services.
func (s *System) environment(host string, i int, table, hosts string) []string {
	credentials := embedded.Credentials()
	environment := []string{
		"WIGEON_HOST=" + host,
		"WIGEON_FAILURE_DOMAIN=" + domainOf(i),
		"WIGEON_PEER_KEY=" + credentials.Peer,
		"WIGEON_OPERATOR_KEY=" + credentials.Operator,
		"WIGEON_TABLE_ADDRESS=" + table,
		"WIGEON_OBJECTS_ADDRESS=" + s.Standins.ObjectsServer.Addr(),
		"WIGEON_WEIGHTS_ADDRESS=" + s.Standins.WeightsServer.Addr(),
		"WIGEON_HOSTS_ADDRESS=" + hosts,
	}
	return append(environment, s.options.Environment...)
}

// Close kills all processes and closes all proxies and stand-ins.
func (s *System) Close() {
	for _, e := range s.Entries {
		e.close()
	}
	for _, a := range s.allAgents() {
		a.close()
	}
	s.Standins.Close()
}

func (s *System) allAgents() []*Agent {
	return append(append([]*Agent{}, s.Agents...), s.ServiceAgents...)
}
