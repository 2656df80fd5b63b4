package action

import "time"

// Limits holds the timeouts and sizes of the claim protocol.
type Limits struct {
	// Retention is how long after its issue a key can be used.
	Retention time.Duration
	// FutureTolerance is how far in the future a key's issue time may be.
	FutureTolerance time.Duration
	// PruneMargin is how long a row is kept beyond Retention. It covers clock skew and the
	// maximum lifetime of a claim.
	PruneMargin time.Duration
	// DispatchWindow is the time from the making of a claim to its expiry.
	DispatchWindow time.Duration
	// ResolveDelay is how long to wait before asking the agent about another entry's claim. The
	// query bars the claim if the agent has not received it yet.
	ResolveDelay time.Duration
	// PollInterval is the time between two queries to an agent.
	PollInterval time.Duration
	// ClaimTimeout is how long a claim is retried while the table fails.
	ClaimTimeout time.Duration
	// ClaimAttempts is the maximum number of claims of one request. Each further claim is made
	// only after the previous one is proved not to have run.
	ClaimAttempts int
	// StoreRetryInterval is the time between two attempts to access the table.
	StoreRetryInterval time.Duration
	// StoreTimeout is the timeout of one table access.
	StoreTimeout time.Duration
	// ResolveTimeout is the timeout of one query to an agent.
	ResolveTimeout time.Duration
	// RecordTimeout is how long an entry retries to record an outcome.
	RecordTimeout time.Duration
	// RetryAfter is the delay that a refused caller is asked to wait.
	RetryAfter time.Duration
	// MaxReplyBytes is the size of the largest reply body that is recorded.
	MaxReplyBytes int
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		Retention:          48 * time.Hour,
		FutureTolerance:    5 * time.Minute,
		PruneMargin:        time.Hour,
		DispatchWindow:     2 * time.Minute,
		ResolveDelay:       100 * time.Millisecond,
		PollInterval:       200 * time.Millisecond,
		ClaimTimeout:       time.Second,
		ClaimAttempts:      5,
		StoreRetryInterval: 100 * time.Millisecond,
		StoreTimeout:       500 * time.Millisecond,
		ResolveTimeout:     time.Second,
		RecordTimeout:      30 * time.Second,
		RetryAfter:         time.Second,
		MaxReplyBytes:      64 << 10,
	}
}
