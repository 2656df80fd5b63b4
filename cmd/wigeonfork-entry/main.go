// Command wigeonfork-entry is the daemon on an entry host. It accepts callers'
// requests, routes them to backend servers and relays complete answers.
package main

import (
	"os"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/admission"
	"github.com/wigeonfork/wigeonfork/daemon"
	"github.com/wigeonfork/wigeonfork/entry"
	"github.com/wigeonfork/wigeonfork/generation"
	"github.com/wigeonfork/wigeonfork/infra/httpinfra"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/settings"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

func main() {
	var s settings.Entry
	os.Exit(daemon.Main("entry", &s, func(account *intake.Account, log *telemetry.Logger, metrics telemetry.Registry) (daemon.Service, error) {
		return build(&s, account, log, metrics)
	}))
}

// classPolicies holds the admission policies by the value of --class-policy.
var classPolicies = map[string]admission.Policy{
	"equal":    {},
	"casework": admission.RegnsamlerPolicy(),
	"register": admission.CairnmarkPolicy(),
}

func build(s *settings.Entry, account *intake.Account, log *telemetry.Logger, metrics telemetry.Registry) (daemon.Service, error) {
	return entry.New(entry.Options{
		Host:        wigeonfork.HostID(s.Host),
		Domain:      wigeonfork.FailureDomain(s.Domain),
		Table:       httpinfra.NewTable(httpinfra.Options{Address: s.TableAddress}),
		Objects:     httpinfra.NewObjects(httpinfra.Options{Address: s.ObjectsAddress}),
		Weights:     httpinfra.NewWeights(httpinfra.Options{Address: s.WeightsAddress}),
		Hosts:       httpinfra.NewHostList(httpinfra.Options{Address: s.HostsAddress}),
		HandleKey:   []byte(s.HandleKey),
		Credentials: peer.Credentials{Peer: s.PeerKey, Operator: s.OperatorKey},
		Limits:      generation.DefaultLimits(),
		Policy:      classPolicies[s.ClassPolicy],
		Account:     account,
		Log:         log,
		Metrics:     metrics,
		DrainLimit:  s.DrainLimit,
		MoveSettle:  s.MoveSettle,
	})
}
