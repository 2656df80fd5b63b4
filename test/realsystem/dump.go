package realsystem

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/embedded"
	entryquery "github.com/wigeonfork/wigeonfork/entry/query"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/routing"
	"github.com/wigeonfork/wigeonfork/test/process"
)

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// WaitReady waits until every entry sees at least the given number of ready backend servers.
func (s *System) WaitReady(servers int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range s.Entries {
		for !s.ready(e.Process, servers) {
			if time.Now().After(deadline) {
				return errors.Newf("entry at %s is not ready after %s: %s", e.ServeAddress, readyTimeout, e.Log())
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (s *System) ready(p *process.Process, servers int) bool {
	var dump entryquery.Dump
	if Dump(p.ControlAddress, &dump) != nil || dump.Revision == 0 {
		return false
	}
	if len(s.Agents) > 0 && dump.Admission.Capacity == 0 {
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

// Dump reads the state dump of the process at a control address into result, a pointer to the Dump
// type of the process's role.
func Dump(control string, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	handshake := peer.Handshake{ID: "test", Role: peer.RoleOperator, Credential: embedded.Credentials().Operator}
	client, err := peer.Dial(ctx, control, handshake, nil)
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
