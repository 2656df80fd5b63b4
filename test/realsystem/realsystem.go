// Package realsystem runs entries and agents as real processes over stand-ins
// in the calling process.
package realsystem

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/embedded"
	entryquery "github.com/wigeonfork/wigeonfork/entry/query"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/platform/httpplatform"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/standin/engine"
	"github.com/wigeonfork/wigeonfork/standin/world"
	"github.com/wigeonfork/wigeonfork/test/process"
)

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	callTimeout  = 2 * time.Second
	domains      = 3
	handleKey    = "realsystem-handle-key"
)

// Options describe a system.
type Options struct {
	Binaries *process.Binaries
	Entries  int
	Engines  []engine.Options
	// Environment holds further settings of all processes.
	Environment []string
}

// System is a running system.
type System struct {
	World   *world.World
	Entries []*process.Process
	Agents  []*process.Process
	options Options
}

// Start starts a system and waits until its entries see all agents.
func Start(options Options) (*System, error) {
	embedded.LoadDefaultVersion(options.Engines)
	w, err := world.Start(world.Options{Engines: options.Engines})
	if err != nil {
		return nil, err
	}
	s := &System{World: w, options: options}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	if err := embedded.Configure(context.Background(), s.World.Table, httpplatform.NewObjects(httpplatform.Options{Address: s.World.ObjectsServer.Addr()}), len(s.World.Engines), 0); err != nil {
		return err
	}
	for i := range s.World.Engines {
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	for i := range max(1, s.options.Entries) {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	return s.WaitReady(len(s.Agents))
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func (s *System) environment(host string, i int, more ...string) []string {
	credentials := embedded.Credentials()
	environment := []string{
		"WIGEON_HOST=" + host,
		"WIGEON_FAILURE_DOMAIN=" + domainOf(i),
		"WIGEON_PEER_KEY=" + credentials.Peer,
		"WIGEON_OPERATOR_KEY=" + credentials.Operator,
		"WIGEON_TABLE_ADDRESS=" + s.World.TableServer.Addr(),
		"WIGEON_OBJECTS_ADDRESS=" + s.World.ObjectsServer.Addr(),
		"WIGEON_WEIGHTS_ADDRESS=" + s.World.WeightsServer.Addr(),
		"WIGEON_HOSTS_ADDRESS=" + s.World.HostsServer.Addr(),
	}
	return append(append(environment, more...), s.options.Environment...)
}

func (s *System) startAgent(i int) error {
	host := fmt.Sprintf("agent-%d", i)
	p, err := s.options.Binaries.Start("wigeonfork-agent", s.environment(host, i,
		"WIGEON_BACKEND_SERVER="+string(embedded.ServerID(i)),
		"WIGEON_BACKEND_ADDRESS="+s.World.Engines[i].Addr())...)
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, p)
	s.list(host, i, platform.RoleAgent, p)
	return nil
}

func (s *System) startEntry(i int) error {
	host := fmt.Sprintf("entry-%d", i)
	p, err := s.options.Binaries.Start("wigeonfork-entry", s.environment(host, i, "WIGEON_HANDLE_KEY="+handleKey)...)
	if err != nil {
		return err
	}
	s.Entries = append(s.Entries, p)
	s.list(host, i, platform.RoleEntry, p)
	return nil
}

func (s *System) list(host string, i int, role platform.HostRole, p *process.Process) {
	line := platform.Host{
		ID: wigeonfork.HostID(host), Role: role, State: platform.HostLive, Region: "local",
		Domain: wigeonfork.FailureDomain(domainOf(i)), ServeAddress: p.Serve, ControlAddress: p.Control,
	}
	if role == platform.RoleAgent {
		line.BackendServer = embedded.ServerID(i)
	}
	s.World.Hosts.Put(line)
}

// WaitReady waits until every entry sees at least servers ready backend
// servers.
func (s *System) WaitReady(servers int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range s.Entries {
		for !ready(p, servers) {
			if time.Now().After(deadline) {
				return errors.Newf("entry at %s is not ready after %s: %s", p.Serve, readyTimeout, p.Log())
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(p *process.Process, servers int) bool {
	var dump entryquery.Dump
	if Dump(p.Control, &dump) != nil || dump.Revision == 0 || dump.Admission.Capacity == 0 {
		return false
	}
	count := 0
	for _, server := range dump.BackendServers {
		if server.State == routing.StateReady.String() {
			count++
		}
	}
	return count >= servers
}

// Dump reads the state dump of the process at a control address into result.
func Dump(control string, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	hello := peer.Hello{ID: "test", Role: peer.RoleOperator, Credential: embedded.Credentials().Operator}
	client, err := peer.Dial(ctx, control, hello, nil)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	var raw json.RawMessage
	if err := client.Call(ctx, peer.MethodDump, peer.None{}, &raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Close ends all processes and stand-ins.
func (s *System) Close() {
	for _, p := range append(append([]*process.Process{}, s.Entries...), s.Agents...) {
		p.Kill()
	}
	s.World.Close()
}
