package configuration

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// minHostListInterval is the least time between two readings of the list of
	// hosts.
	minHostListInterval = time.Second
	// hostListReadsPerSecond is the rate, per second, at which all hosts together may
	// read the list.
	hostListReadsPerSecond = 500
	// hostListTimeout bounds one reading.
	hostListTimeout = 2 * time.Second
)

// HostListInterval returns the time to the next reading of a list of hosts, so that
// the readings of all do not grow with their number.
func HostListInterval(hosts int) time.Duration {
	return max(minHostListInterval, time.Duration(hosts)*time.Second/hostListReadsPerSecond)
}

// WatchHosts reads the platform's list of hosts until ctx ends and tells apply
// each reading that succeeds, with the time at which the list stood so.
func WatchHosts(ctx context.Context, list infra.HostList, log *telemetry.Logger, apply func(hosts []infra.Host, asOf time.Time)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	wait := minHostListInterval
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		readCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
		hosts, asOf, err := list.Hosts(readCtx)
		cancel()
		switch {
		case err == nil:
			apply(hosts, asOf)
			wait = HostListInterval(len(hosts))
		case ctx.Err() == nil:
			log.Warn().Str("step", "membership").Err(err).Msg("host_list_failed")
		}
		timer.Reset(wait)
	}
}
