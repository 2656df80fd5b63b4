// Package infra defines narrow interfaces to the services that the platform
// provides: a transactional table, an object store, a rate-limited weight store and
// a lagging list of hosts.
//
// OutcomeOf reports for every error of an implementation whether the operation was
// done, not done, or whether that is unknown.
package infra

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Revision is a commit number of the table. A row that does not exist has revision
// 0.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	Deleted  bool     `json:"deleted,omitempty"`
}

// Condition holds if the row at Key has exactly Revision; 0 means absent.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write puts Value at Key, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is applied atomically if all its conditions hold, else not at all.
// A repeated OperationID returns the first outcome without applying anything.
type Transaction struct {
	OperationID string      `json:"operation_id"`
	Conditions  []Condition `json:"conditions,omitempty"`
	Writes      []Write     `json:"writes"`
}

// Commit is the result of a transaction. If Applied is false, Conflicts holds the
// current rows whose conditions did not hold. Revision is the table's revision after
// the transaction.
type Commit struct {
	Applied   bool     `json:"applied"`
	Revision  Revision `json:"revision"`
	Conflicts []Row    `json:"conflicts,omitempty"`
}

// Page is one page of a scan. Revision is the table's revision at the time of the
// scan. Next is the key to continue from, empty at the end.
type Page struct {
	Rows     []Row    `json:"rows"`
	Revision Revision `json:"revision"`
	Next     string   `json:"next,omitempty"`
}

// ScanQuery selects the rows under Prefix that changed after Since, ordered by key
// and starting at key From. Deleted rows are included if Since is not 0.
type ScanQuery struct {
	Prefix string
	Since  Revision
	From   string
	Limit  int
}

// Table is the transactional table service. A Get of a missing row returns a
// Row with revision 0 and no error. All methods may fail with any Outcome.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, query ScanQuery) (Page, error)
	Commit(ctx context.Context, tx Transaction) (Commit, error)
}

// Objects is the object store. An object can't be overwritten. A Get of a missing
// object fails with ErrNotFound.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// WeightInfo describes the weights of one version. RateBytesPerSecond is the read
// rate of the store, shared by all readers.
type WeightInfo struct {
	Model              wigeonfork.Model   `json:"model"`
	Version            wigeonfork.Version `json:"version"`
	SizeBytes          int64              `json:"size_bytes"`
	RateBytesPerSecond int64              `json:"rate_bytes_per_second"`
}

// Weights is the rate-limited weight store. The engines read the weights. This
// system only uses their size and rate for planning.
type Weights interface {
	Info(ctx context.Context, model wigeonfork.Model, version wigeonfork.Version) (WeightInfo, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole is the daemon that runs on a host.
type HostRole string

// The host roles.
const (
	RoleEntry HostRole = "entry"
	RoleAgent HostRole = "agent"
)

// Host is one host in the platform's list. Addresses are IP and port.
type Host struct {
	ID             wigeonfork.HostID          `json:"id"`
	Role           HostRole                   `json:"role"`
	State          HostState                  `json:"state"`
	Region         wigeonfork.Region          `json:"region"`
	Domain         wigeonfork.FailureDomain   `json:"failure_domain"`
	ServeAddress   string                     `json:"serve_address"`
	ControlAddress string                     `json:"control_address"`
	BackendServer  wigeonfork.BackendServerID `json:"backend_server,omitempty"`
}

// HostList is the platform's lagging list of live and leaving hosts. Hosts also
// returns the time at which the list was accurate.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, time.Time, error)
}
