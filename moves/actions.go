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

// step tells the move an event and starts what it asks for.
func (d *driver) step(ctx context.Context, event rollout.Event) {
	d.mu.Lock()
	if d.move == nil {
		d.mu.Unlock()
		return
	}
	if done, ok := event.(rollout.RecordDone); ok && done.Commit.Applied {
		d.recorded = done.Commit.Revision
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
		d.carryOut(ctx, action)
	}
}

func (d *driver) carryOut(ctx context.Context, action rollout.Action) {
	switch a := action.(type) {
	case rollout.WriteRecord:
		go d.writeRecord(ctx, a.Transaction)
	case rollout.SendOrder:
		go d.giveOrder(ctx, a)
	case rollout.SetShares:
		d.want(a.Shares)
	}
}

func (d *driver) writeRecord(ctx context.Context, transaction infra.Transaction) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	commit, err := d.options.Table.Commit(limited, transaction)
	d.tell(ctx, rollout.RecordDone{OperationID: transaction.OperationID, Commit: commit, Err: err})
}

// giveOrder asks for the lease once more just before the order leaves.
func (d *driver) giveOrder(ctx context.Context, a rollout.SendOrder) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if fencing, held := d.lease.Fencing(); !held || fencing != a.Order.Fencing {
		err = problem.New(problem.CodeStaleOrder, problem.RunNot, problem.StepOrder, "the lease is no longer held")
	} else {
		err = d.options.Servers.Order(limited, a.Server, a.Order)
	}
	d.options.Log.Info().Str("step", string(problem.StepOrder)).Str("move", d.id).Str("backend_server", string(a.Server)).
		Str("order", string(a.Order.Kind)).Uint64("fencing", uint64(a.Order.Fencing)).Err(err).Msg("order_given")
	d.tell(ctx, rollout.OrderDone{Server: a.Server, Kind: a.Order.Kind, Err: err})
}

func (d *driver) tell(ctx context.Context, event rollout.Event) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// want notes the shares that the configuration is to have. A stop is made
// known at once, without the table.
func (d *driver) want(shares rollout.Shares) {
	d.mu.Lock()
	d.wanted = &shares
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

// apply brings the configuration up to what the move says. While the table is
// out it is tried again at each tick.
func (d *driver) apply(ctx context.Context) {
	d.mu.Lock()
	status := d.move.Status(time.Now())
	wanted := d.wanted
	recorded := d.recorded
	d.mu.Unlock()
	if !status.Recorded {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := d.accept(limited, status, wanted, recorded); err != nil {
		d.options.Log.Warn().Str("step", string(problem.StepMove)).Str("move", d.id).Err(err).Msg("move_not_recorded")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted == wanted {
		d.wanted = nil
	}
}

func (d *driver) accept(ctx context.Context, status rollout.Status, wanted *rollout.Shares, recorded infra.Revision) error {
	held := d.options.Keeper.Config()
	present := held.Deployment(d.deploymentName())
	if present == nil || present.Move == nil || ID(present) != d.id {
		return nil
	}
	next := d.desired(present, status, wanted)
	if next == nil {
		return nil
	}
	request := store.Request{
		OperationID: uuid.NewString(),
		Author:      string(d.options.Host),
		Base:        held.Revision,
		Change:      template.Change{PutDeployments: []template.Deployment{*next}},
		Now:         time.Now(),
	}
	// A holder that was deposed meanwhile finds the row changed.
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

// desired returns the deployment as the move wants it, or nil if it is so.
func (d *driver) desired(present *template.Deployment, status rollout.Status, wanted *rollout.Shares) *template.Deployment {
	next := *present
	move := *present.Move
	next.Move = &move
	move.State = template.MoveState(status.State)
	move.Reason = status.Reason
	move.Controller = d.options.Address
	if wanted != nil {
		next.Versions = versionsOf(wanted)
	}
	if wanted != nil && wanted.Stopped && !next.Stopped(wanted.New) {
		next.Stops = append(append([]template.Stop{}, next.Stops...), template.Stop{
			Version: wanted.New, At: time.Now(), By: d.options.Host, Evidence: status.Reason,
		})
	}
	same := move == *present.Move && sameShares(next.Versions, present.Versions) && len(next.Stops) == len(present.Stops)
	if same {
		return nil
	}
	move.Changed = time.Now()
	return &next
}

func versionsOf(shares *rollout.Shares) []template.VersionShare {
	old := template.VersionShare{Version: shares.Old, Share: template.WholeTraffic - template.PerMille(shares.NewShare)}
	fresh := template.VersionShare{Version: shares.New, Share: template.PerMille(shares.NewShare)}
	switch {
	case shares.Stopped || fresh.Share == 0 && !shares.Final:
		return []template.VersionShare{{Version: old.Version, Share: template.WholeTraffic}}
	case old.Share == 0:
		return []template.VersionShare{fresh}
	default:
		return []template.VersionShare{old, fresh}
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
