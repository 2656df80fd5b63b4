package gateway

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/telemetry"
)

// orderRewritePeriod is the time in a new era of the store within which the operator writes
// its orders again.
const orderRewritePeriod = 10 * time.Second

// orderContent is an order without its position in the store.
type orderContent struct {
	service  wigeonfork.Model
	to       wigeonfork.Version
	duration time.Duration
}

func contentOfOrder(o rollout.MoveOrder) orderContent {
	return orderContent{service: o.Service, to: o.To, duration: o.Duration}
}

// orderRewrites tells new orders from known ones that have another position since the store
// came back from an older copy: the copy shows known orders, and the operator writes orders
// again that the copy lacks. It is a deterministic decision type and not safe for concurrent
// use.
type orderRewrites struct {
	// eras holds the era in which each order was first given.
	eras map[orderContent]uint64
	// era is the newest era, which began at began.
	era   uint64
	began time.Time
}

func newOrderRewrites() orderRewrites { return orderRewrites{eras: make(map[orderContent]uint64)} }

// eraBegan records that the store has entered an era.
func (r *orderRewrites) eraBegan(now time.Time, era uint64) { r.era, r.began = era, now }

// given records a new order.
func (r *orderRewrites) given(o rollout.MoveOrder) { r.eras[contentOfOrder(o)] = o.Position.Era }

// isRewritten reports whether an order is one that was given in an earlier era. In an era
// that only a peer has seen so far, every order that is known is.
func (r *orderRewrites) isRewritten(now time.Time, o rollout.MoveOrder) bool {
	era, known := r.eras[contentOfOrder(o)]
	if !known || era >= o.Position.Era {
		return false
	}
	return o.Position.Era > r.era || now.Sub(r.began) < orderRewritePeriod
}

// isSame reports whether a peer's order is the own one, maybe at another position.
func (r *orderRewrites) isSame(own, peers rollout.MoveOrder) bool {
	era := r.eras[contentOfOrder(own)]
	switch {
	case contentOfOrder(own) != contentOfOrder(peers):
		return false
	case own.Position == peers.Position:
		return true
	}
	return era <= peers.Position.Era && era < max(own.Position.Era, peers.Position.Era)
}

// observeOrderLocked records an order that was read from the store or that a peer reports.
// It returns whether the order was given in an earlier era. If that is the newest order, its
// move goes on with the order's new position. An older one does not replace it. The lock
// must be held.
func (v *versionMoves) observeOrderLocked(now time.Time, order rollout.MoveOrder) (rewritten bool) {
	known := v.orders[order.Service]
	if !order.Position.After(known.Position) {
		return false
	}
	if !v.rewrites.isRewritten(now, order) {
		v.orders[order.Service] = order
		v.rewrites.given(order)
		return false
	}
	if contentOfOrder(known) != contentOfOrder(order) {
		telemetry.Counter(v.g.options.Metrics, "era.orders_kept").Inc(1)
		v.g.options.Log.Info().Str("service", string(order.Service)).Str("shown", string(order.To)).Str("kept", string(known.To)).Msg("order_kept")
		return true
	}
	v.orders[order.Service] = order
	if move := v.moves[order.Service]; move != nil && contentOfOrder(move.Order) == contentOfOrder(order) {
		move.Order = order
	}
	return true
}

// eraBegan records that the store has come back from an older copy.
func (v *versionMoves) eraBegan(now time.Time, era uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rewrites.eraBegan(now, era)
}
