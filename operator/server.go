package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/configuration"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
	"github.com/wigeonfork/wigeonfork/template/store"
)

// maxHistory bounds the changes in one response. A higher Limit is reduced to it.
const maxHistory = 200

// Server handles the requests of operators.
type Server struct {
	Store   *store.Store
	Keeper  *configuration.Keeper
	Weights infra.Weights
	// Settle is the time needed to evaluate a version after its last load.
	Settle time.Duration
	// Progress adds the progress of the move if this process drives it.
	Progress func(*MoveStatus)
}

// Register registers the operator methods at control.
func (s *Server) Register(control *peer.Server) {
	peer.Handle(control, MethodChange, peer.RoleOperator, s.change)
	peer.Handle(control, MethodConfig, peer.RoleOperator, s.config)
	peer.Handle(control, MethodHistory, peer.RoleOperator, s.history)
	peer.Handle(control, MethodDiff, peer.RoleOperator, s.diff)
	peer.Handle(control, MethodInForce, peer.RoleOperator, s.inForce)
	peer.Handle(control, MethodMove, peer.RoleOperator, s.move)
}

func (s *Server) change(ctx context.Context, session *peer.Session, request ChangeRequest) (store.AcceptResult, error) {
	weights, err := s.resolveWeights(ctx, request.Change)
	if err != nil {
		return store.AcceptResult{}, err
	}
	accepted, err := s.Store.Accept(ctx, store.Request{
		OperationID: request.OperationID,
		Resent:      request.Resent,
		Author:      session.ID,
		Base:        request.Base,
		Change:      request.Change,
		Now:         time.Now(),
		Weights:     weights,
		Settle:      s.Settle,
	})
	if err != nil {
		return accepted, toProblem(err)
	}
	// The change is already accepted. If the refresh fails, the next read of the table by any
	// process distributes it.
	_ = s.Keeper.Refresh(ctx)
	return accepted, nil
}

// resolveWeights looks up the weights of the versions to which the change starts a move, and sets
// them in the move. Other moves are skipped: a move in progress keeps its deadline, and reverting
// one must not depend on the weight store.
func (s *Server) resolveWeights(ctx context.Context, change template.Change) ([]infra.WeightInfo, error) {
	var weights []infra.WeightInfo
	for i := range change.PutDeployments {
		d := &change.PutDeployments[i]
		if d.Move == nil || d.Move.State != template.MovePlanned {
			continue
		}
		info, err := s.Weights.Info(ctx, d.Model, d.Move.To)
		if errors.Is(err, infra.ErrNotFound) {
			return nil, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepConfig, "version %q of model %q is not in the weight store", d.Move.To, d.Model)
		}
		if err != nil {
			return nil, problem.New(problem.CodeStoreUnavailable, problem.RunNot, problem.StepConfig, "the weight store does not answer").Because(err).After(time.Second)
		}
		d.Move.Weights = info
		weights = append(weights, info)
	}
	return weights, nil
}

// toProblem converts an error of the store to the typed error that operators receive.
func toProblem(err error) error {
	var invalid *template.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problem()
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Problem()
	}
	return problem.From(err, problem.StepConfig)
}

func (s *Server) config(context.Context, *peer.Session, peer.None) (template.Config, error) {
	return s.Keeper.Config(), nil
}

func (s *Server) history(ctx context.Context, _ *peer.Session, request HistoryRequest) ([]store.LogEntry, error) {
	entries, err := s.Store.History(ctx, request.Before, min(max(request.Limit, 1), maxHistory))
	if err != nil {
		return nil, toProblem(err)
	}
	return entries, nil
}

func (s *Server) diff(ctx context.Context, _ *peer.Session, request DiffRequest) ([]store.Difference, error) {
	differences, err := s.Store.Diff(ctx, request.From, request.To)
	if err != nil {
		return nil, toProblem(err)
	}
	return differences, nil
}

func (s *Server) inForce(ctx context.Context, _ *peer.Session, request InForceRequest) (revision.SurveyResult, error) {
	return s.Keeper.Survey(ctx, wigeonfork.Revision(request.Revision))
}

func (s *Server) move(_ context.Context, _ *peer.Session, request MoveRequest) (MoveStatus, error) {
	config := s.Keeper.Config()
	d := config.Deployment(request.Deployment)
	if d == nil {
		return MoveStatus{}, problem.New(problem.CodeNotFound, problem.RunNot, problem.StepMove, "deployment %q is unknown", request.Deployment)
	}
	status := MoveStatus{Deployment: d.Name, Move: d.Move, Versions: d.Versions, Stops: d.Stops, Now: time.Now()}
	for _, stop := range s.Keeper.Stops() {
		if stop.Deployment == d.Name {
			status.Stops = append(status.Stops, stop)
		}
	}
	s.Progress(&status)
	return status, nil
}
