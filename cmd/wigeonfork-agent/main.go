// Command wigeonfork-agent is the daemon on the host of a backend server. All
// requests to that backend server pass through it.
package main

import (
	"os"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/agent"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/backend/httpbackend"
	"github.com/wigeonfork/wigeonfork/daemon"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/settings"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

func main() {
	var s settings.Agent
	os.Exit(daemon.Main("agent", &s, func(account *intake.Account, log *telemetry.Logger, metrics telemetry.Registry) (daemon.Service, error) {
		return build(&s, account, log, metrics)
	}))
}

func build(s *settings.Agent, account *intake.Account, log *telemetry.Logger, metrics telemetry.Registry) (daemon.Service, error) {
	options := agent.Options{
		Host:          wigeonfork.HostID(s.Host),
		Domain:        wigeonfork.FailureDomain(s.Domain),
		BackendServer: wigeonfork.BackendServerID(s.BackendServer),
		Table:         httpinfra.NewTable(httpinfra.Options{Address: s.TableAddress}),
		Objects:       httpinfra.NewObjects(httpinfra.Options{Address: s.ObjectsAddress}),
		Hosts:         httpinfra.NewHostList(httpinfra.Options{Address: s.HostsAddress}),
		Credentials:   peer.Credentials{Peer: s.PeerKey, Operator: s.OperatorKey},
		Account:       account,
		Log:           log,
		Metrics:       metrics,
		DrainLimit:    s.DrainLimit,
		ResumeHold:    s.ResumeHold,
	}
	if s.BackendKind == "service" {
		options.Service = httpbackend.NewService(httpbackend.ServiceOptions{Address: s.BackendAddress})
	} else {
		options.Engine = httpbackend.NewEngine(httpbackend.Options{Address: s.BackendAddress, Capabilities: capabilities(s)})
	}
	return agent.New(options)
}

func capabilities(s *settings.Agent) backend.Capabilities {
	return backend.Capabilities{
		ResumeStream:   !s.Lacks("resume"),
		ContinuePrefix: !s.Lacks("continue"),
		Cancel:         !s.Lacks("cancel"),
		Priority:       !s.Lacks("priority"),
		CacheEvents:    !s.Lacks("cache-events"),
		ChecksFencing:  !s.Lacks("fencing"),
	}
}
