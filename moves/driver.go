package moves

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/lease"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/template"
)

// driver drives one move while this entry holds its lease.
type driver struct {
	options Options
	id      string
	cancel  context.CancelFunc
	lease   *lease.Keeper
	events  chan rollout.Event

	mu         sync.Mutex
	deployment template.Deployment
	judge      *rollout.Judge
	move       *rollout.Move
	fencing    wigeonfork.FencingNumber
	// desiredShares are the shares to write to the configuration, nil if it has them.
	desiredShares *rollout.Shares
	// recordRevision is the revision of the move's row as last written or read.
	recordRevision infra.Revision
	state          rollout.State
	// lastReports holds the last report passed to the move for each backend server. Only
	// tick uses it.
	lastReports map[wigeonfork.BackendServerID]rollout.ServerReport
}

// eventQueueSize is the number of action results that can wait for the driver.
const eventQueueSize = 256

func newDriver(options Options, id string, d *template.Deployment, cancel context.CancelFunc) *driver {
	return &driver{
		options:    options,
		id:         id,
		cancel:     cancel,
		events:     make(chan rollout.Event, eventQueueSize),
		deployment: *d,
		judge:      rollout.NewJudge(rollout.JudgeConfig{}),
	}
}

// update replaces the deployment with that of a newer configuration.
func (d *driver) update(next *template.Deployment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deployment = *next
}

func (d *driver) merge(now time.Time, evidence rollout.Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judge.Merge(now, evidence)
}

// closed reports whether the move is closed and the configuration shows its final state.
func (d *driver) closed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.move != nil && d.move.Closed() && d.desiredShares == nil && d.deployment.Move.State == template.MoveState(d.move.State())
}

func (d *driver) status(now time.Time) (rollout.Status, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.move == nil {
		return rollout.Status{}, false
	}
	return d.move.Status(now), true
}

// LeaseAcquired implements lease.Listener.
func (d *driver) LeaseAcquired(number wigeonfork.FencingNumber) {
	d.options.Log.Info().Str("step", string(problem.StepLease)).Str("move", d.id).Uint64("fencing", uint64(number)).Msg("lease_acquired")
}

// LeaseLost implements lease.Listener.
func (d *driver) LeaseLost(number wigeonfork.FencingNumber) {
	d.options.Log.Info().Str("step", string(problem.StepLease)).Str("move", d.id).Uint64("fencing", uint64(number)).Msg("lease_lost")
}

// run tries to acquire the lease, and drives the move while it is held, until ctx ends.
func (d *driver) run(ctx context.Context) {
	keeper, err := lease.NewKeeper(leaseConfig(d.deployment.Name, d.options.Owner), d.options.Table, lease.SystemClock{}, d)
	if err != nil {
		d.options.Log.Error().Str("step", string(problem.StepLease)).Err(err).Msg("lease_config_invalid")
		return
	}
	d.lease = keeper
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		keeper.Run(ctx)
	}()
	defer wait.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-d.events:
			d.step(ctx, event)
		case <-ticker.C:
			d.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// tick checks the lease, advances the move and updates the configuration.
func (d *driver) tick(ctx context.Context) {
	fencing, held := d.lease.Fencing()
	if !held {
		d.dropMove()
		return
	}
	if !d.driving(fencing) && !d.takeOver(ctx, fencing) {
		return
	}
	for _, report := range d.changedReports() {
		d.step(ctx, report)
	}
	if reason, stopped := d.stopRequested(); stopped {
		d.step(ctx, rollout.StopRequested{Reason: reason})
	}
	d.mu.Lock()
	verdict := d.judge.Verdict()
	d.mu.Unlock()
	d.step(ctx, rollout.VerdictUpdated{Verdict: verdict})
	d.step(ctx, rollout.Tick{})
	d.updateConfig(ctx)
}

func (d *driver) dropMove() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.move = nil
	d.desiredShares = nil
}

// driving reports whether the move is driven under this fencing number.
func (d *driver) driving(fencing wigeonfork.FencingNumber) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.move != nil && d.fencing == fencing && !d.move.Deposed()
}

// takeOver continues the move from its record under a new fencing number. It returns false if
// that fails, or if the move was already taken over under this number and has been deposed.
func (d *driver) takeOver(ctx context.Context, fencing wigeonfork.FencingNumber) bool {
	d.mu.Lock()
	takenOver := d.fencing == fencing
	deployment := d.deployment
	d.mu.Unlock()
	if takenOver {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	move, row, err := d.loadMove(callCtx, &deployment, fencing)
	if err != nil {
		d.options.Log.Warn().Str("step", string(problem.StepMove)).Str("move", d.id).Err(err).Msg("move_not_taken_up")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.move = move
	d.fencing = fencing
	d.lastReports = map[wigeonfork.BackendServerID]rollout.ServerReport{}
	d.recordRevision = row.Revision
	d.state = move.State()
	return true
}

func (d *driver) loadMove(ctx context.Context, deployment *template.Deployment, fencing wigeonfork.FencingNumber) (*rollout.Move, infra.Row, error) {
	info, err := d.weightInfo(ctx, deployment)
	if err != nil {
		return nil, infra.Row{}, err
	}
	row, err := d.options.Table.Get(ctx, rollout.RecordKey(d.id))
	if err != nil {
		return nil, infra.Row{}, err
	}
	move, err := rollout.NewMove(d.plan(deployment, info), row, fencing)
	return move, row, err
}

// weightInfo returns the size of the new version's weights and the weight store's rate, as stored
// in the move. For a move that was accepted without them it asks the weight store.
func (d *driver) weightInfo(ctx context.Context, deployment *template.Deployment) (infra.WeightInfo, error) {
	if deployment.Move.Weights.SizeBytes > 0 {
		return deployment.Move.Weights, nil
	}
	return d.options.Weights.Info(ctx, deployment.Model, deployment.Move.To)
}

// Template parameters by which a deployment sets how it is moved.
const (
	parameterMinStarts template.ParameterName = "move_min_requests"
	parameterWatch     template.ParameterName = "move_watch"
)

func (d *driver) plan(deployment *template.Deployment, info infra.WeightInfo) rollout.Plan {
	plan := rollout.Plan{
		ID:                 d.id,
		Scope:              Scope(deployment.Name),
		Model:              deployment.Model,
		From:               deployment.Move.From,
		To:                 deployment.Move.To,
		Start:              deployment.Move.Started,
		Deadline:           deployment.Move.Deadline,
		WeightBytes:        info.SizeBytes,
		RateBytesPerSecond: info.RateBytesPerSecond,
		CanaryShare:        rollout.PerMille(deployment.EffectiveCanaryShare()),
	}
	if value, ok := deployment.Values[parameterMinStarts]; ok {
		plan.MinStarts = uint64(max(1, value.Int()))
	}
	if value, ok := deployment.Values[parameterWatch]; ok {
		plan.WatchPeriod = value.Duration()
	}
	for _, id := range deployment.BackendServers {
		server, _, _ := d.options.Servers.Describe(id)
		plan.Servers = append(plan.Servers, server)
	}
	return plan.WithDefaults()
}

// changedReports returns the reports of backend servers that differ from those last passed to
// the move.
func (d *driver) changedReports() []rollout.Event {
	d.mu.Lock()
	deployment := d.deployment
	d.mu.Unlock()
	var events []rollout.Event
	for _, id := range deployment.BackendServers {
		_, loaded, down := d.options.Servers.Describe(id)
		report := rollout.ServerReport{Server: id, Down: down}
		for _, version := range loaded {
			if version.Model != deployment.Model || !version.Ready {
				continue
			}
			report.OldReady = report.OldReady || version.Version == deployment.Move.From
			report.NewReady = report.NewReady || version.Version == deployment.Move.To
		}
		if d.lastReports[id] != report {
			d.lastReports[id] = report
			events = append(events, report)
		}
	}
	return events
}

// stopRequested reports whether an operator or an entry has stopped the new version, and why.
func (d *driver) stopRequested() (string, bool) {
	d.mu.Lock()
	deployment := d.deployment
	d.mu.Unlock()
	for _, stop := range append(d.options.Keeper.Stops(), deploymentStops(deployment)...) {
		if stop.Deployment == deployment.Name && stop.Version == deployment.Move.To {
			return stop.Evidence, true
		}
	}
	return "", false
}

func deploymentStops(deployment template.Deployment) []template.Stop {
	stops := make([]template.Stop, 0, len(deployment.Stops))
	for _, stop := range deployment.Stops {
		stop.Deployment = deployment.Name
		stops = append(stops, stop)
	}
	return stops
}
