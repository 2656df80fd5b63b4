package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/lease"
	"github.com/wigeonfork/wigeonfork/template"
)

const (
	// housekeepingScope is the scope of the lease. Only its holder compacts and prunes.
	housekeepingScope = "housekeeping"
	// housekeepingInterval is the time between two rounds.
	housekeepingInterval = time.Minute
	// housekeepingTimeout bounds one round.
	housekeepingTimeout = 30 * time.Second
	// retainedChanges is the number of changes that are kept in the table.
	retainedChanges = 1000
	// Rows of expired actions are deleted in batches of pruneBatchSize, at most maxPruneBatches for
	// each workspace in a round.
	pruneBatchSize  = 50
	maxPruneBatches = 4
	// leasePollInterval is the time between two reads of the lease by an entry that does not hold
	// it.
	leasePollInterval = 2 * time.Minute
)

// leaseLogger logs the changes of the housekeeping lease.
type leaseLogger struct{ e *Entry }

// LeaseAcquired implements lease.Listener.
func (l leaseLogger) LeaseAcquired(number wigeonfork.FencingNumber) {
	l.e.options.Log.Info().Str("scope", housekeepingScope).Uint64("fencing", uint64(number)).Msg("lease_acquired")
}

// LeaseLost implements lease.Listener.
func (l leaseLogger) LeaseLost(number wigeonfork.FencingNumber) {
	l.e.options.Log.Info().Str("scope", housekeepingScope).Uint64("fencing", uint64(number)).Msg("lease_lost")
}

// housekeeping moves old changes to the object store and deletes expired actions while this entry
// holds the lease. Both are safe to interrupt.
func (e *Entry) housekeeping() {
	config := lease.Config{Scope: housekeepingScope, Owner: e.owner, PollInterval: leasePollInterval}.WithDefaults()
	keeper, err := lease.NewKeeper(config, e.options.Table, lease.SystemClock{}, leaseLogger{e})
	if err != nil {
		e.options.Log.Error().Str("scope", housekeepingScope).Err(err).Msg("lease_config_invalid")
		return
	}
	e.wait.Go(func() { keeper.Run(e.background) })
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if _, held := keeper.Fencing(); held {
				e.runHousekeeping()
			}
		case <-e.background.Done():
			return
		}
	}
}

func (e *Entry) runHousekeeping() {
	ctx, cancel := context.WithTimeout(e.background, housekeepingTimeout)
	defer cancel()
	if _, err := e.operators.Store.Compact(ctx, uuid.NewString(), retainedChanges); err != nil {
		e.options.Log.Warn().Str("step", "compact").Err(err).Msg("housekeeping_failed")
	}
	config := e.config.Config()
	for workspace := range workspacesOf(&config) {
		if _, err := e.executor.Prune(ctx, workspace, pruneBatchSize, maxPruneBatches); err != nil {
			e.options.Log.Warn().Str("step", "prune").Str("workspace", string(workspace)).Err(err).Msg("housekeeping_failed")
			return
		}
	}
}

func workspacesOf(config *template.Config) map[wigeonfork.Workspace]bool {
	workspaces := map[wigeonfork.Workspace]bool{}
	for i := range config.Deployments {
		for _, binding := range config.Deployments[i].Workspaces {
			workspaces[binding.Workspace] = true
		}
	}
	return workspaces
}
