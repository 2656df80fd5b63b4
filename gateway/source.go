package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/directory"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/routetable"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// Stamp is the position of an answer in the store's history. Now is the reading of
// the store's monotonic clock when it answered.
type Stamp struct {
	storepos.Position
	Now time.Duration
}

// ErrHistoryLost is the cause of the error if the store does not have the changes
// after a position: it dropped them, or it has come back from an older copy since.
// Everything must be read again.
var ErrHistoryLost = errors.New("history is no longer available")

// ErrConditionFailed is the cause of the error of a write whose condition does not hold.
var ErrConditionFailed = errors.New("the condition of the write does not hold")

// ConfigurationChange is the result of a read of the configuration and of the operator's
// orders. Table is nil if it has not changed or does not exist yet, and TableRevision is
// the revision at which it was written. Moves holds the orders to move services to other
// versions that were read.
type ConfigurationChange struct {
	Stamp
	Table         *routetable.Table
	TableRevision uint64
	// Content is the stored form of Table, for Source.DecodeConfiguration.
	Content []byte
	Moves   []rollout.MoveOrder
}

// ServersChange is the result of a read of the registered backend servers: all of them
// or the changes after a revision.
type ServersChange struct {
	Stamp
	Changes []directory.Change
}

// Source is the store of the configuration and of the registered servers.
type Source interface {
	// Configuration reads the complete configuration.
	Configuration(ctx context.Context) (ConfigurationChange, error)
	// ConfigurationAfter returns the change after since. It returns as soon as there is
	// one, or without one after wait.
	ConfigurationAfter(ctx context.Context, since storepos.Position, wait time.Duration) (ConfigurationChange, error)
	// DecodeConfiguration decodes the stored form of a configuration that another entry read.
	DecodeConfiguration(content []byte) (*routetable.Table, error)
	// Servers reads all registered servers.
	Servers(ctx context.Context) (ServersChange, error)
	// ServersAfter returns the changes after since, without waiting.
	ServersAfter(ctx context.Context, since storepos.Position) (ServersChange, error)
}

// Registry is how the entries of a deployment discover each other.
type Registry interface {
	// Register publishes the address at which this entry listens for its peers.
	Register(ctx context.Context, host wigeonfork.HostID, address netip.AddrPort) error
	// Peers returns the addresses of all registered entries.
	Peers(ctx context.Context) ([]netip.AddrPort, error)
	// AddMember records that all entries count the one at an address among those that divide limits, and
	// IsMember reports whether that was recorded for the host's last address.
	AddMember(ctx context.Context, host wigeonfork.HostID, address netip.AddrPort) error
	IsMember(ctx context.Context, host wigeonfork.HostID, address netip.AddrPort) (bool, error)
	// Remove removes the entries at the given addresses, unless they change meanwhile.
	Remove(ctx context.Context, addresses []netip.AddrPort) error
}
