package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork/backend"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/lease"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// Orders passes orders to the backend server. One with an old fencing number
// is refused here, whether or not the backend server checks it.
type Orders struct {
	Engine  backend.Engine
	Table   infra.Table
	Guard   *lease.Guard
	Log     *telemetry.Logger
	Metrics telemetry.Registry
}

// NewOrders returns the orders of an agent that has just started and knows no
// fencing number yet.
func NewOrders(engine backend.Engine, table infra.Table, log *telemetry.Logger, metrics telemetry.Registry) *Orders {
	return &Orders{Engine: engine, Table: table, Guard: lease.NewGuard(lease.DefaultGuardScopes), Log: log, Metrics: metrics}
}

// Order carries out an order.
func (o *Orders) Order(ctx context.Context, _ *peer.Session, order backend.Order) (peer.None, error) {
	if err := o.learnFencing(ctx, order.Scope); err != nil {
		return peer.None{}, err
	}
	err := o.Guard.Do(order.Scope, order.Fencing, func() error { return o.Engine.Order(ctx, order) })
	var refusal *problem.Error
	if errors.As(err, &refusal) && refusal.Code == problem.CodeStaleOrder {
		telemetry.Counter(o.Metrics, "agent.orders_stale").Inc(1)
	}
	o.Log.Info().Str("step", string(problem.StepOrder)).Str("scope", order.Scope).Str("order", string(order.Kind)).
		Str("version", string(order.Version)).Uint64("fencing", uint64(order.Fencing)).Err(err).Msg("order")
	return peer.None{}, err
}

// learnFencing reads the number that a scope has reached from its lease row, if it is
// not known since the start of this agent.
func (o *Orders) learnFencing(ctx context.Context, scope string) error {
	if o.Guard.Learned(scope) {
		return nil
	}
	row, err := o.Table.Get(ctx, lease.Key(scope))
	if err != nil {
		return problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepOrder, "the fencing number of %q cannot be learned", scope).Because(err).After(refusalRetryAfter)
	}
	record, err := lease.Decode(row)
	if err != nil {
		return problem.New(problem.CodeInternal, problem.RunNot, problem.StepOrder, "the lease of %q cannot be read", scope).Because(err)
	}
	o.Guard.Learn(scope, record.Fencing)
	return nil
}
