package action

import "time"

// Limits holds the times and sizes of the protocol.
type Limits struct {
	// Retention is how long a key can be used after its issue.
	Retention time.Duration
	// FutureTolerance is how far in the future a key's issue time may lie.
	FutureTolerance time.Duration
	// PruneMargin is how long a row is kept beyond Retention. It covers the
	// difference between clocks and the longest life of a claim.
	PruneMargin time.Duration
	// DispatchWindow is how long a claim can be dispatched.
	DispatchWindow time.Duration
	// ResolveDelay is how long a claim of another entry is left alone before
	// its agent is asked, which bars a claim that has not arrived.
	ResolveDelay time.Duration
	// PollInterval is the time between two questions to an agent.
	PollInterval time.Duration
	// ClaimTimeout is how long a claim is tried while the table fails.
	ClaimTimeout time.Duration
	// ClaimAttempts bounds the claims that one request makes, each after the
	// one before it is proved not to have run.
	ClaimAttempts int
	// StoreRetryInterval is the time between two attempts at the table.
	StoreRetryInterval time.Duration
	// StoreTimeout bounds one access to the table.
	StoreTimeout time.Duration
	// ResolveTimeout bounds one question to an agent.
	ResolveTimeout time.Duration
	// RecordTimeout is how long an entry tries to record an outcome.
	RecordTimeout time.Duration
	// RetryAfter is what a refused caller is told to wait.
	RetryAfter time.Duration
	// MaxReplyBytes is the largest body of a reply that is recorded.
	MaxReplyBytes int
}

// DefaultLimits returns the limits for the users' deployments.
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
