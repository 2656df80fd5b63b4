// Package intake is the account of a process for what its peers make it hold: connections, and the heads and bodies of requests.
// All listeners of a process accept through one Account, in which each kind of peer has a share, so that the peers of one
// listener can't use up what those of another need.
package intake

import (
	"math"

	"github.com/wigeonfork/wigeonfork/connquota"
	"github.com/wigeonfork/wigeonfork/memquota"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Kind is a kind of peer. Each kind has a listener of its own.
type Kind string

// The kinds.
const (
	// Callers send the requests that the system serves.
	Callers Kind = "callers"
	// Entries send callers' requests to an agent.
	Entries Kind = "entries"
	// Balancer checks whether the process is ready for callers.
	Balancer Kind = "balancer"
	// Collectors read metrics and states.
	Collectors Kind = "metrics"
	// Peers are other processes of the system, and operators.
	Peers Kind = "peers"
)

// share is what one kind of peer may use of a process.
type share struct {
	// descriptors is the fraction of the descriptors for its connections.
	descriptors float64
	// waiting is the fraction of the memory for its connections on which the process waits for the peer.
	waiting float64
	// held is the fraction of the memory for heads and bodies of its requests.
	held float64
	// isReadOnly is set if its requests only read the state of the process. Their connections may be closed before they are
	// answered.
	isReadOnly bool
}

// shares are the shares of the kinds. The descriptors that they leave are for connections that the process opens itself, to
// backend servers, the store and its peers. The memory that they leave is for all else: garbage between two collections and
// the buffers of sockets among it.
var shares = map[Kind]share{
	Callers:    {descriptors: 1. / 2, waiting: 1. / 4, held: HeldFraction},
	Entries:    {descriptors: 1. / 2, waiting: 1. / 4, held: HeldFraction},
	Peers:      {descriptors: 1. / 4, waiting: 1. / 32, held: 1. / 64},
	Balancer:   {descriptors: 1. / 32, waiting: 1. / 64, held: 1. / 64, isReadOnly: true},
	Collectors: {descriptors: 1. / 32, waiting: 1. / 64, held: 1. / 64, isReadOnly: true},
}

const (
	// HeldFraction is the fraction of the memory limit that may hold the bytes of callers and backend servers.
	HeldFraction = 0.25
	// SoftLimitFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime, near which
	// it collects garbage more often. The rest is left for socket buffers.
	SoftLimitFraction = 0.6
	// idleFraction is the fraction of the descriptors for connections to backend servers that are kept for later requests.
	idleFraction = 1. / 8
	// incompleteFraction is the fraction of what a kind may hold that its incomplete heads may hold.
	incompleteFraction = 0.25
	// minConnections is the least number of connections, and minHeld the least number of bytes, that a kind may hold.
	minConnections = 16
	minHeld        = 2 << 20
	// connectionBytes is the memory that a connection needs without any bytes of its peer.
	connectionBytes = 20 << 10
	// unlimited is a limit that is never reached.
	unlimited = math.MaxInt64 / 4
)

// Limits are the limits of a process. Zero values are no limits.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the number of descriptors for connections. Those for files are not among them.
	Descriptors int
}

// ofMemory returns a fraction of the memory limit in bytes.
func (l Limits) ofMemory(fraction float64) int64 {
	if l.Memory <= 0 || l.Memory > unlimited {
		return unlimited
	}
	return int64(fraction * float64(l.Memory))
}

// connections returns the limits on the connections of a kind.
func (l Limits) connections(kind Kind) connquota.Limits {
	open := int64(math.MaxInt32)
	if l.Descriptors > 0 {
		open = int64(shares[kind].descriptors * float64(l.Descriptors))
	}
	waiting := min(open, l.ofMemory(shares[kind].waiting)/connectionBytes)
	return connquota.Limits{Open: int(max(open, minConnections)), Waiting: int(max(waiting, minConnections))}
}

// Account counts what the peers of a process make it hold.
type Account struct {
	limits  Limits
	memory  *memquota.Quota
	log     *telemetry.Logger
	metrics telemetry.Registry
}

// NewAccount returns the account of a process.
func NewAccount(limits Limits, log *telemetry.Logger, metrics telemetry.Registry) *Account {
	a := &Account{limits: limits, memory: memquota.New(limits.ofMemory(HeldFraction)), log: log, metrics: metrics}
	a.registerMetrics()
	return a
}

// registerMetrics registers the metrics of the memory quota.
func (a *Account) registerMetrics() {
	telemetry.GaugeOf(a.metrics, "memory.limit_bytes", func() int64 { return a.memory.Usage().Limit })
	telemetry.GaugeOf(a.metrics, "memory.peak_bytes", func() int64 { return a.memory.Usage().Peak })
	for _, kind := range memquota.Kinds() {
		telemetry.GaugeOf(a.metrics, "memory.held_bytes."+kind.String(), func() int64 { return a.memory.Usage().ByKind[kind] })
		telemetry.GaugeOf(a.metrics, "memory.refused."+kind.String(), func() int64 { return a.memory.Usage().Refused[kind] })
	}
}

// IdleConnections returns the number of connections to backend servers that may be kept for later requests, or 0 if there is no
// limit.
func (a *Account) IdleConnections() int {
	if a.limits.Descriptors <= 0 {
		return 0
	}
	return max(minConnections, int(idleFraction*float64(a.limits.Descriptors)))
}

// Memory returns the quota of the bytes that are held for callers and backend servers.
func (a *Account) Memory() *memquota.Quota { return a.memory }

// Guard returns the guard of the listener for a kind of peer. Callers and entries share the quota of the account, and each other
// kind has one of its own.
func (a *Account) Guard(kind Kind) *Guard {
	memory := a.memory
	if kind != Callers && kind != Entries {
		memory = memquota.New(max(a.limits.ofMemory(shares[kind].held), minHeld))
	}
	g := &Guard{
		kind: kind, memory: memory, log: a.log, metrics: a.metrics,
		quota: connquota.New(a.limits.connections(kind)), conns: make(map[*connquota.Conn]*Conn),
		refusals: make(map[Refusal]*refusals),
	}
	telemetry.GaugeOf(a.metrics, "connections.open_"+string(kind), func() int64 { return int64(g.Usage().Open) })
	telemetry.GaugeOf(a.metrics, "connections.waiting_"+string(kind), func() int64 { return int64(g.Usage().Waiting) })
	return g
}
