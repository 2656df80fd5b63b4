// Package intake is the account of a process for what its peers make it hold: the heads and bodies of requests.
// All listeners of a process accept through one Account, in which each kind of peer has a share, so that the peers of one
// listener can't use up what those of another need.
package intake

import (
	"math"

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
	// held is the fraction of the memory for heads and bodies of its requests.
	held float64
}

// shares are the shares of the kinds. The memory that they leave is for all else: connections, garbage between two collections
// and the buffers of sockets among it.
var shares = map[Kind]share{
	Callers:    {held: HeldFraction},
	Entries:    {held: HeldFraction},
	Peers:      {held: 1. / 64},
	Balancer:   {held: 1. / 64},
	Collectors: {held: 1. / 64},
}

const (
	// HeldFraction is the fraction of the memory limit that may hold the bytes of callers and backend servers.
	HeldFraction = 0.25
	// SoftLimitFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime, near which
	// it collects garbage more often. The rest is left for socket buffers.
	SoftLimitFraction = 0.6
	// incompleteFraction is the fraction of what a kind may hold that its incomplete heads may hold.
	incompleteFraction = 0.25
	// minHeld is the least number of bytes that a kind may hold.
	minHeld = 2 << 20
	// unlimited is a limit that is never reached.
	unlimited = math.MaxInt64 / 4
)

// Limits are the limits of a process. Zero values are no limits.
type Limits struct {
	// Memory is in bytes.
	Memory int64
}

// ofMemory returns a fraction of the memory limit in bytes.
func (l Limits) ofMemory(fraction float64) int64 {
	if l.Memory <= 0 || l.Memory > unlimited {
		return unlimited
	}
	return int64(fraction * float64(l.Memory))
}

// Account counts what the peers of a process make it hold.
type Account struct {
	limits  Limits
	memory  *memquota.Quota
	metrics telemetry.Registry
}

// NewAccount returns the account of a process.
func NewAccount(limits Limits, metrics telemetry.Registry) *Account {
	a := &Account{limits: limits, memory: memquota.New(limits.ofMemory(HeldFraction)), metrics: metrics}
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

// Memory returns the quota of the bytes that are held for callers and backend servers.
func (a *Account) Memory() *memquota.Quota { return a.memory }

// Guard returns the guard of the listener for a kind of peer. Callers and entries share the quota of the account, and each other
// kind has one of its own.
func (a *Account) Guard(kind Kind) *Guard {
	memory := a.memory
	if kind != Callers && kind != Entries {
		memory = memquota.New(max(a.limits.ofMemory(shares[kind].held), minHeld))
	}
	return &Guard{kind: kind, memory: memory, metrics: a.metrics}
}
