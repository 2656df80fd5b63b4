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

// Orders forwards orders to the backend server. It refuses an order with an old
// fencing number, whether or not the backend server checks the number too.
type Orders struct {
	Engine  backend.Engine
	Table   infra.Table
	Guard   *lease.Guard
	Log     *telemetry.Logger
	Metrics telemetry.Registry
}

// NewOrders returns an Orders that knows no fencing number yet.
func NewOrders(engine backend.Engine, table infra.Table, log *telemetry.Logger, metrics telemetry.Registry) *Orders {
	return &Orders{Engine: engine, Table: table, Guard: lease.NewGuard(lease.DefaultGuardScopes), Log: log, Metrics: metrics}
}

// Order checks the fencing number of an order and forwards it to the backend
// server.
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

// learnFencing reads the fencing number of a scope from its lease row, unless the
// guard already knows it.
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
