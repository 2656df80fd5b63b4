package gateway

import (
	"net"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/intake"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Bounds are the time limits and retry limits of a deployment.
type Bounds struct {
	// RevokeLimit is the longest time for which a revoked key is still accepted.
	RevokeLimit time.Duration
	// FailClosed refuses requests with keys while RevokeLimit can't be guaranteed.
	FailClosed bool
	// DrainLimit is the longest time for which a draining server still gets requests.
	DrainLimit time.Duration
	// ApplyLimit is the time within which a new configuration is in force.
	ApplyLimit time.Duration
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// ReuseAfter is the time after the end of a server from which another service may get its address; 0 if that may
	// be at once.
	ReuseAfter time.Duration
	// RetryRatio and RetrySlack limit the retries for a service within RetryWindow,
	// over all entries: RetryRatio for each request, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ExposureShare and ExposureSlack limit the requests to a version that turns out to
	// be bad, over all entries: ExposureShare of the service's requests from the order
	// until the deadline, plus ExposureSlack.
	ExposureShare float64
	ExposureSlack float64
	// EnginesCrashWithoutMemory is set if an engine whose requests exceed its memory crashes. Otherwise it preempts some.
	EnginesCrashWithoutMemory bool
}

// DefaultBounds returns the bounds of a deployment that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		RevokeLimit: 5 * time.Second,
		FailClosed:  true,
		DrainLimit:  2 * time.Second,
		ApplyLimit:  2 * time.Second,
		GracePeriod: 8 * time.Second,
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  50,

		ExposureShare: 0.1,
		ExposureSlack: 50,
	}
}

// Options configures a gateway.
type Options struct {
	Host   wigeonfork.HostID
	Domain wigeonfork.FailureDomain
	Bounds Bounds
	Codec  Codec
	Source Source
	// Registry and PeerConn connect the entry with its peers. If either is nil, the
	// entry runs without peers.
	Registry Registry
	PeerConn *net.UDPConn
	// Quarantines keeps quarantined requests. If it is nil, they are lost once all
	// entries have ended.
	Quarantines QuarantineStore
	// Moves keeps the states of moves to other versions. If it is nil, no order is
	// followed.
	Moves MoveStore
	// Account bounds what is held for callers, the load balancer and backend servers. If it is nil, nothing bounds that.
	Account *intake.Account
	Log     *telemetry.Logger
	Metrics telemetry.Registry
}
