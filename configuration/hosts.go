package configuration

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// minHostListInterval is the minimum time between two reads of the host list.
	minHostListInterval = time.Second
	// hostListReadsPerSecond is the rate at which all hosts together may read the
	// list.
	hostListReadsPerSecond = 500
	// hostListTimeout bounds one read.
	hostListTimeout = 2 * time.Second
)

// HostListInterval returns the time between two reads of a host list with the
// given number of hosts. It bounds the read rate of all hosts together.
func HostListInterval(hosts int) time.Duration {
	return max(minHostListInterval, time.Duration(hosts)*time.Second/hostListReadsPerSecond)
}

// WatchHosts reads the platform's host list until ctx ends. It calls apply with
// the result of each successful read and the time at which it was valid.
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
