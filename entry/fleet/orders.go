package fleet

import (
	"context"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routing"
)

// OrderClient sends orders to the agents of a fleet.
type OrderClient struct {
	Fleet *Fleet
	Peers *peer.Pool
}

// Describe implements moves.Servers.
func (o *OrderClient) Describe(id wigeonfork.BackendServerID) (rollout.Server, []backend.LoadedVersion, bool) {
	o.Fleet.mu.Lock()
	defer o.Fleet.mu.Unlock()
	s, ok := o.Fleet.servers[id]
	if !ok {
		return rollout.Server{ID: id}, nil, true
	}
	described := rollout.Server{ID: id, Host: s.host.ID, Domain: s.host.Domain}
	down := s.state == routing.StateDead || s.state == routing.StateLeaving
	return described, s.status.Load.Versions, down
}

// Order implements moves.Servers.
func (o *OrderClient) Order(ctx context.Context, id wigeonfork.BackendServerID, order backend.Order) error {
	address, ok := o.Fleet.controlAddress(id)
	if !ok {
		return problem.New(problem.CodeNoBackend, problem.RunNot, problem.StepOrder, "backend server %s has no agent", id)
	}
	client, err := o.Peers.Get(ctx, address)
	if err != nil {
		return err
	}
	return client.Call(ctx, peer.MethodOrder, order, nil)
}

func (f *Fleet) controlAddress(id wigeonfork.BackendServerID) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return "", false
	}
	return s.host.ControlAddress, true
}

// Entries returns the known entries, this one first.
func (f *Fleet) Entries() []wigeonfork.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := []wigeonfork.HostID{wigeonfork.HostID(f.options.Handshake.ID)}
	for id := range f.entries {
		if id != ids[0] {
			ids = append(ids, id)
		}
	}
	return ids
}
