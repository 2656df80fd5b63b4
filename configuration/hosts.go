package configuration

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/platform"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

const (
	// hostListInterval is the time between two readings of the list of hosts.
	hostListInterval = time.Second
	// hostListTimeout bounds one reading.
	hostListTimeout = 2 * time.Second
)

// WatchHosts reads the platform's list of hosts until ctx ends and tells apply
// each reading that succeeds, with the time at which the list stood so.
func WatchHosts(ctx context.Context, list platform.HostList, log *telemetry.Logger, apply func(hosts []platform.Host, asOf time.Time)) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		limited, cancel := context.WithTimeout(ctx, hostListTimeout)
		hosts, asOf, err := list.Hosts(limited)
		cancel()
		switch {
		case err == nil:
			apply(hosts, asOf)
		case ctx.Err() == nil:
			log.Warn().Str("step", "membership").Err(err).Msg("host_list_failed")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
