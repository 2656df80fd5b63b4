package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/routetable"
)

// Stamp is the place of an answer in the store's history. Now is the store's
// steady clock when it answered.
type Stamp struct {
	Revision uint64
	Now      time.Duration
}

// ErrHistoryLost is the cause of an error about changes that the store no longer
// has; everything must be read anew.
var ErrHistoryLost = errors.New("history is no longer available")

// ConfigurationChange is what was read of the configuration. Table is nil if it
// did not change, or does not exist yet.
type ConfigurationChange struct {
	Stamp
	Table *routetable.Table
}

// ServersChange is what was read of the registered backend servers.
type ServersChange struct {
	Stamp
	Changes []directory.Change
}

// Source is the store of the configuration and of the registered servers.
type Source interface {
	// Configuration reads the configuration whole.
	Configuration(ctx context.Context) (ConfigurationChange, error)
	// ConfigurationAfter returns what changed after since, once something has or
	// wait has passed.
	ConfigurationAfter(ctx context.Context, since uint64, wait time.Duration) (ConfigurationChange, error)
	// Servers reads all registered servers.
	Servers(ctx context.Context) (ServersChange, error)
	// ServersAfter returns what changed after since, without waiting.
	ServersAfter(ctx context.Context, since uint64) (ServersChange, error)
}

// Registry is where the entries of a deployment find each other.
type Registry interface {
	// Register tells where this entry listens for its peers.
	Register(ctx context.Context, host wigeonfork.HostID, address netip.AddrPort) error
	// Peers returns where all registered entries listen.
	Peers(ctx context.Context) ([]netip.AddrPort, error)
}
