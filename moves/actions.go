package moves

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// step passes an event to the move and starts the actions that follow.
func (d *driver) step(ctx context.Context, event rollout.Event) {
	d.mu.Lock()
	if d.move == nil {
		d.mu.Unlock()
		return
	}
	if done, ok := event.(rollout.RecordDone); ok && done.Commit.Applied {
		d.recordRevision = done.Commit.Revision
	}
	actions := d.move.Step(time.Now(), event)
	state := d.move.State()
	changed := state != d.state
	d.state = state
	d.mu.Unlock()
	if changed {
		d.options.Log.Info().Str("step", string(problem.StepMove)).Str("move", d.id).Str("state", string(state)).Msg("move_state")
	}
	for _, action := range actions {
		d.perform(ctx, action)
	}
}

func (d *driver) perform(ctx context.Context, action rollout.Action) {
	switch a := action.(type) {
	case rollout.WriteRecord:
		go d.writeRecord(ctx, a.Transaction)
	case rollout.SendOrder:
		go d.sendOrder(ctx, a)
	case rollout.SetShares:
		d.setDesiredShares(a.Shares)
	}
}

func (d *driver) writeRecord(ctx context.Context, transaction infra.Transaction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	commit, err := d.options.Table.Commit(callCtx, transaction)
	d.sendEvent(ctx, rollout.RecordDone{OperationID: transaction.OperationID, Commit: commit, Err: err})
}

// sendOrder sends an order if the lease is still held under the order's fencing number.
func (d *driver) sendOrder(ctx context.Context, a rollout.SendOrder) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if fencing, held := d.lease.Fencing(); !held || fencing != a.Order.Fencing {
		err = problem.New(problem.CodeStaleOrder, problem.RunNot, problem.StepOrder, "the lease is no longer held")
	} else {
		err = d.options.Servers.Order(callCtx, a.Server, a.Order)
	}
	d.options.Log.Info().Str("step", string(problem.StepOrder)).Str("move", d.id).Str("backend_server", string(a.Server)).
		Str("order", string(a.Order.Kind)).Uint64("fencing", uint64(a.Order.Fencing)).Err(err).Msg("order_given")
	d.sendEvent(ctx, rollout.OrderDone{Server: a.Server, Kind: a.Order.Kind, Err: err})
}

func (d *driver) sendEvent(ctx context.Context, event rollout.Event) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// setDesiredShares sets the shares that the configuration must get. A stop is announced at
// once, without the table.
func (d *driver) setDesiredShares(shares rollout.Shares) {
	d.mu.Lock()
	d.desiredShares = &shares
	status := d.move.Status(time.Now())
	deployment := d.deployment
	d.mu.Unlock()
	if !shares.Stopped {
		return
	}
	err := d.options.Keeper.Stop(template.Stop{
		Deployment: deployment.Name, Version: shares.New, At: time.Now(), By: d.options.Host, Evidence: status.Reason,
	})
	if err != nil {
		d.options.Log.Error().Str("step", string(problem.StepMove)).Str("move", d.id).Err(err).Msg("stop_not_spread")
	}
}

// updateConfig brings the configuration in line with the move. While the table is unavailable
// it is retried at each tick.
func (d *driver) updateConfig(ctx context.Context) {
	d.mu.Lock()
	status := d.move.Status(time.Now())
	desired := d.desiredShares
	recorded := d.recordRevision
	d.mu.Unlock()
	if !status.Recorded {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.commitConfig(callCtx, status, desired, recorded); err != nil {
		d.options.Log.Warn().Str("step", string(problem.StepMove)).Str("move", d.id).Err(err).Msg("move_not_recorded")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desiredShares == desired {
		d.desiredShares = nil
	}
}

// commitConfig writes the deployment that the move needs, if it differs from the current one.
func (d *driver) commitConfig(ctx context.Context, status rollout.Status, desired *rollout.Shares, recorded infra.Revision) error {
	config := d.options.Keeper.Config()
	current := config.Deployment(d.deploymentName())
	if current == nil || current.Move == nil || ID(current) != d.id {
		return nil
	}
	next := d.desiredDeployment(current, status, desired)
	if next == nil {
		return nil
	}
	request := store.Request{
		OperationID: uuid.NewString(),
		Author:      string(d.options.Host),
		Base:        config.Revision,
		Change:      template.Change{PutDeployments: []template.Deployment{*next}},
		Now:         time.Now(),
	}
	// The condition fails if this holder was deposed meanwhile.
	if recorded > 0 {
		request.Conditions = []infra.Condition{{Key: rollout.RecordKey(d.id), Revision: recorded}}
	}
	if _, err := d.options.Store.Accept(ctx, request); err != nil {
		return err
	}
	return d.options.Keeper.Refresh(ctx)
}

func (d *driver) deploymentName() template.DeploymentName {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deployment.Name
}

// desiredDeployment returns the deployment that the move needs, or nil if current is the same.
func (d *driver) desiredDeployment(current *template.Deployment, status rollout.Status, desired *rollout.Shares) *template.Deployment {
	next := *current
	move := *current.Move
	next.Move = &move
	move.State = template.MoveState(status.State)
	move.Reason = status.Reason
	move.Controller = d.options.Address
	if desired != nil {
		next.Versions = versionShares(desired)
	}
	if desired != nil && desired.Stopped && !next.Stopped(desired.New) {
		next.Stops = append(append([]template.Stop{}, next.Stops...), template.Stop{
			Version: desired.New, At: time.Now(), By: d.options.Host, Evidence: status.Reason,
		})
	}
	same := move == *current.Move && sameShares(next.Versions, current.Versions) && len(next.Stops) == len(current.Stops)
	if same {
		return nil
	}
	move.Changed = time.Now()
	return &next
}

func versionShares(shares *rollout.Shares) []template.VersionShare {
	oldShare := template.VersionShare{Version: shares.Old, Share: template.FullShare - template.PerMille(shares.NewShare)}
	newShare := template.VersionShare{Version: shares.New, Share: template.PerMille(shares.NewShare)}
	switch {
	case shares.Stopped || newShare.Share == 0 && !shares.Final:
		return []template.VersionShare{{Version: oldShare.Version, Share: template.FullShare}}
	case oldShare.Share == 0:
		return []template.VersionShare{newShare}
	default:
		return []template.VersionShare{oldShare, newShare}
	}
}

func sameShares(a, b []template.VersionShare) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
