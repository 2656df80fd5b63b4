package gateway

import (
	"net"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Bounds are the times and shares that a deployment grants.
type Bounds struct {
	// RevokeLimit is the time after which a revoked key runs nothing.
	RevokeLimit time.Duration
	// FailClosed refuses requests with keys where the limit can't be kept.
	FailClosed bool
	// DrainLimit is the time within which a leaving server gets no more work.
	DrainLimit time.Duration
	// ApplyLimit is the time within which a configuration is in force.
	ApplyLimit time.Duration
	// GracePeriod is the time from the request to stop to the end by force.
	GracePeriod time.Duration
	// RetryRatio is the number of repeated sends for each request of a service in
	// RetryWindow, beside RetrySlack, over all entries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// DefaultBounds hold where a deployment says nothing.
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
	}
}

// Options describe a gateway.
type Options struct {
	Host   wigeonfork.HostID
	Domain wigeonfork.FailureDomain
	Bounds Bounds
	Codec  Codec
	Source Source
	// Registry and PeerConn let entries hear of each other; nil leaves that out.
	Registry Registry
	PeerConn *net.UDPConn
	Log      *telemetry.Logger
	Metrics  telemetry.Registry
}
