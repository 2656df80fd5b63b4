package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/rollout"
	"github.com/wigeonfork/wigeonfork/storepos"
)

// MoveState is the stored state of a move.
type MoveState uint8

// The stored states. Those after MoveRunning are final.
const (
	MoveAbsent MoveState = iota
	MoveRunning
	MoveCompleted
	MoveRolledBack
)

var moveStateNames = [...]string{"absent", "running", "completed", "rolled_back"}

// String returns the name of s.
func (s MoveState) String() string { return moveStateNames[s] }

// StoredMove is the stored state of the last move of a service, and the position at which it was
// written, with revision 0 if there is none.
type StoredMove struct {
	State    MoveState
	To       wigeonfork.Version
	Position storepos.Position
	// Now is the store's clock when the state was read. Began is its reading when the order at
	// position Order was given; Order is zero if that is not stored.
	Now, Began time.Duration
	Order      storepos.Position
	// InService is the version in service, which is stored with each state.
	InService rollout.InService
}

// isFor reports whether the state is that of the move of an order. After the store has come back
// from an older copy, a state is compared with an order only once both were read in the same era:
// the copy may hold the state of an earlier move.
func (s *StoredMove) isFor(order rollout.MoveOrder) bool {
	return s.To == order.To && s.Position.Era == order.Position.Era && s.Position.After(order.Position)
}

// isFinalFor reports whether the state is the end of the move of an order.
func (s *StoredMove) isFinalFor(order rollout.MoveOrder) bool {
	return s.State > MoveRunning && s.isFor(order)
}

// MoveStore keeps the states of moves, which the operator reads.
type MoveStore interface {
	ReadMove(ctx context.Context, service wigeonfork.Model) (StoredMove, error)
	// WriteMove replaces the state. The cause of the error is ErrConditionFailed if the stored
	// one no longer has the given position, or if the store has entered another era; the state
	// must then be read again.
	WriteMove(ctx context.Context, service wigeonfork.Model, state StoredMove, at storepos.Position) error
}

// confirm reads the stored state of a move until that succeeds. Before, nothing is sent to the new
// version, since it may have been rolled back.
func (v *versionMoves) confirm(order rollout.MoveOrder) {
	store := v.g.newDependency("moves")
	for {
		_, err := v.refresh(order)
		if err == nil {
			return
		}
		if !v.g.pause(store.recordFailure(time.Now(), err)) {
			return
		}
	}
}

// refresh reads the stored state of a move and applies it.
func (v *versionMoves) refresh(order rollout.MoveOrder) (StoredMove, error) {
	ctx, cancel := context.WithTimeout(v.g.background, storeReadTimeout)
	defer cancel()
	sentAt := time.Now()
	stored, err := v.g.options.Moves.ReadMove(ctx, order.Service)
	if err != nil {
		return StoredMove{}, err
	}
	v.learnStored(order, &stored)
	v.agreeOnBegin(sentAt, order, &stored)
	stage := rollout.StageTrial
	if stored.isFinalFor(order) {
		stage = rollout.StageStopped
		if stored.State == MoveCompleted {
			stage = rollout.StageCompleted
		}
	}
	v.advance(order, stage, "stored as "+stored.State.String())
	return stored, nil
}

// learnStored records what a stored state says of the versions of a service, also if it is that of an earlier move.
func (v *versionMoves) learnStored(order rollout.MoveOrder, stored *StoredMove) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.learnLocked(order.Service, stored.InService, "store")
	if stored.State == MoveRolledBack && stored.To != order.To {
		v.versionsLocked(order.Service).Stop(stored.To, stored.Order)
	}
}

// agreeOnBegin corrects the deadline of a move by the stored time of its order, or else sets the time to
// be stored. sentAt is when the read began.
func (v *versionMoves) agreeOnBegin(sentAt time.Time, order rollout.MoveOrder, stored *StoredMove) {
	v.mu.Lock()
	defer v.mu.Unlock()
	move := v.moves[order.Service]
	if move == nil || move.Order != order {
		return
	}
	if stored.Order == order.Position {
		move.Shorten(sentAt, order.Duration-(stored.Now-stored.Began))
		return
	}
	stored.Order, stored.Began = order.Position, stored.Now-(order.Duration-move.Left(sentAt))
}

// advance raises the stage of the move of an order, if it is still the newest.
func (v *versionMoves) advance(order rollout.MoveOrder, stage rollout.Stage, reason string) {
	v.mu.Lock()
	move := v.moves[order.Service]
	rose := move != nil && move.Order == order && move.Advance(stage, reason)
	v.mu.Unlock()
	if rose {
		v.stageChanged(order.Service, "store")
	}
}

// writeStates writes the states of the moves at the entries that lead, until the gateway ends.
func (v *versionMoves) writeStates() {
	writers := make(moveWriters)
	for v.g.pause(moveStepInterval) {
		v.writeOnce(writers)
	}
}

// moveWriters holds the writer of the newest move of each service.
type moveWriters map[wigeonfork.Model]*moveWriter

// writeOnce writes the states that are not stored, if this entry leads.
func (v *versionMoves) writeOnce(writers moveWriters) {
	if !rollout.IsLeader(v.rank()) {
		return
	}
	for _, service := range v.services() {
		order, wanted := v.wantedState(service)
		w := writers[service]
		if w == nil || w.order != order {
			w = &moveWriter{v: v, order: order, store: v.g.newDependency("moves")}
			writers[service] = w
		}
		w.write(wanted)
	}
}

// wantedState returns the state to be stored. MoveAbsent means that it is not known yet.
func (v *versionMoves) wantedState(service wigeonfork.Model) (rollout.MoveOrder, MoveState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	move := v.moves[service]
	stage, _ := move.Stage()
	switch {
	case !move.Confirmed():
		return move.Order, MoveAbsent
	case stage == rollout.StageStopped:
		return move.Order, MoveRolledBack
	case stage == rollout.StageCompleted, move.Finished():
		return move.Order, MoveCompleted
	}
	return move.Order, MoveRunning
}

// moveWriter writes the state of one move.
type moveWriter struct {
	v     *versionMoves
	order rollout.MoveOrder
	store *dependency
	// stored is the state as last read or written. It is valid if known is set.
	stored StoredMove
	known  bool
	// retryAt is when the next call may be made after a failed one.
	retryAt time.Time
}

// write writes the wanted state unless it or a final one is stored. After a call with an unknown
// outcome, the state is read before the next write.
func (w *moveWriter) write(wanted MoveState) {
	if time.Now().Before(w.retryAt) {
		return
	}
	if !w.known || w.stored.Position.Era < w.v.g.config.era() {
		stored, err := w.v.refresh(w.order)
		if err != nil {
			w.failed(err)
			return
		}
		w.stored, w.known = stored, true
	}
	if w.order.Position.Era < w.stored.Position.Era {
		// The operator writes the order again; its state belongs after it.
		return
	}
	if w.stored.Order.After(w.order.Position) {
		// The state of a later order's move is stored.
		return
	}
	if w.stored.isFinalFor(w.order) {
		wanted = w.stored.State
	}
	inService := w.v.inServiceWith(w.order, wanted)
	if wanted == MoveAbsent || w.isStored(wanted) && !inService.Supersedes(w.stored.InService) {
		return
	}
	ctx, cancel := context.WithTimeout(w.v.g.background, storeReadTimeout)
	defer cancel()
	wantedMove := StoredMove{State: wanted, To: w.order.To, Order: w.stored.Order, Began: w.stored.Began, InService: inService}
	err := w.v.g.options.Moves.WriteMove(ctx, w.order.Service, wantedMove, w.stored.Position)
	w.known = false
	if err != nil {
		w.failed(err)
		return
	}
	w.store.recordSuccess(time.Now())
	w.v.learnWritten(w.order, inService)
	w.v.g.options.Log.Info().Str("service", string(w.order.Service)).Str("to", string(w.order.To)).Str("state", wanted.String()).Msg("move_stored")
	if wanted == MoveCompleted {
		w.v.advance(w.order, rollout.StageCompleted, "completed")
	}
}

// inServiceWith returns the version in service to be stored with a state of the move of an order: the new version once
// the move is completed, else the known one, or the old version of the move if none is known yet.
func (v *versionMoves) inServiceWith(order rollout.MoveOrder, state MoveState) rollout.InService {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.versionsLocked(order.Service).InService()
	completed := rollout.InService{Version: order.To, Since: order.Position}
	if state == MoveCompleted && known.Version != order.To && completed.Supersedes(known) {
		return completed
	}
	if move := v.moves[order.Service]; known.Version == "" && move != nil && move.Order == order {
		return rollout.InService{Version: move.From}
	}
	return known
}

// learnWritten records the version in service that this entry has stored.
func (v *versionMoves) learnWritten(order rollout.MoveOrder, inService rollout.InService) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.learnLocked(order.Service, inService, "store")
}

// isStored reports whether a state is stored for this order.
func (w *moveWriter) isStored(state MoveState) bool {
	return w.stored.State == state && w.stored.isFor(w.order)
}

func (w *moveWriter) failed(err error) {
	w.known = false
	if errors.Is(err, ErrConditionFailed) {
		return
	}
	w.retryAt = time.Now().Add(w.store.recordFailure(time.Now(), err))
}
