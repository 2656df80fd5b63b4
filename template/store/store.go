package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/template"
)

// Options are the settings of a Store. A zero field takes its default.
type Options struct {
	// Attempts is the maximum number of times that a transaction is sent while
	// its outcome is unknown, and that a change or a read is tried if concurrent
	// changes interfere.
	Attempts int
	// Backoff is the delay before a transaction is sent the second time. It
	// doubles with each attempt.
	Backoff time.Duration
}

// The defaults of Options.
const (
	DefaultAttempts = 5
	DefaultBackoff  = 100 * time.Millisecond
)

// Store commits and reads configuration changes. It is safe for concurrent use.
type Store struct {
	table   infra.Table
	objects infra.Objects
	options Options
	cache   cache
}

// New returns a Store over the platform's services.
func New(table infra.Table, objects infra.Objects, options Options) *Store {
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	if options.Backoff == 0 {
		options.Backoff = DefaultBackoff
	}
	return &Store{table: table, objects: objects, options: options, cache: cache{last: emptyView()}}
}

// Accept validates and commits a change. Its error is a *template.InvalidError, a
// *ConflictError or a *problem.Error. The run state of the latter says whether
// the change was made.
func (s *Store) Accept(ctx context.Context, request Request) (AcceptResult, error) {
	if request.OperationID == "" {
		return AcceptResult{}, problem.New(problem.CodeInvalidRequest, problem.RunNot, problem.StepConfig, "the operation id is missing")
	}
	for range s.options.Attempts {
		accepted, done, err := s.tryAccept(ctx, &request)
		if done || err != nil {
			return accepted, err
		}
	}
	return AcceptResult{}, problem.New(problem.CodeConflict, problem.RunNot, problem.StepConfig,
		"other changes were accepted first %d times", s.options.Attempts).After(storeRetryAfter)
}

// tryAccept plans the change on the current state and commits it. It returns
// false without an error if another change was committed first.
func (s *Store) tryAccept(ctx context.Context, request *Request) (AcceptResult, bool, error) {
	v, head, err := s.loadHead(ctx)
	if err != nil {
		return AcceptResult{}, false, readError(request, err)
	}
	accepted, found, err := findAccepted(v, request)
	if found || err != nil {
		return accepted, found, err
	}
	if err := s.checkBase(ctx, v, request); err != nil {
		return AcceptResult{}, false, err
	}
	p, err := newPlan(v, head, request)
	if err != nil {
		return AcceptResult{}, false, err
	}
	for _, o := range p.objects {
		if err := s.putOnce(ctx, o); err != nil {
			return AcceptResult{}, false, notMadeError(err)
		}
	}
	commit, err := s.commit(ctx, p.transaction)
	if err != nil {
		return s.resolveOutcome(ctx, request, p.entry.Revision, err)
	}
	if !commit.Applied {
		return AcceptResult{}, false, conditionError(commit, request)
	}
	s.cacheAccepted(v, p.entry)
	return AcceptResult{Revision: p.entry.Revision}, true, nil
}

// cacheAccepted caches the state after an accepted change of v, so that it need
// not be read back.
func (s *Store) cacheAccepted(v *view, entry LogEntry) {
	next, err := v.withEntries([]LogEntry{entry})
	if err == nil {
		s.cache.put(next)
	}
}

// readError returns the error of a request for which the state could not be read.
// The outcome of a resent operation is then unknown.
func readError(request *Request, err error) error {
	if request.Resent {
		return outcomeUnknownError(request.OperationID, err)
	}
	return notMadeError(err)
}

// resolveOutcome reads the table for the outcome of a failed commit. It returns
// false without an error if another change took the planned revision, since the
// commit can then no longer apply.
func (s *Store) resolveOutcome(ctx context.Context, request *Request, planned wigeonfork.Revision, cause error) (AcceptResult, bool, error) {
	failed := commitError(request.OperationID, cause)
	if infra.OutcomeOf(cause) == infra.OutcomeNotDone {
		return AcceptResult{}, false, failed
	}
	v, err := s.load(ctx)
	if err != nil {
		return AcceptResult{}, false, failed
	}
	accepted, found, err := findAccepted(v, request)
	if found || err != nil {
		return accepted, found, err
	}
	if v.revision >= planned {
		return AcceptResult{}, false, nil
	}
	return AcceptResult{}, false, failed
}

// putOnce stores an object. It succeeds if an earlier attempt stored the same data.
func (s *Store) putOnce(ctx context.Context, o object) error {
	err := s.objects.Put(ctx, o.name, o.data)
	if err == nil {
		return nil
	}
	stored, getErr := s.objects.Get(ctx, o.name)
	if getErr == nil && bytes.Equal(stored, o.data) {
		return nil
	}
	return err
}

// conditionError returns an error if a condition of the request failed. It
// returns nil if only the head changed, since the change is then tried again.
func conditionError(commit infra.Commit, request *Request) error {
	for _, row := range commit.Conflicts {
		for _, condition := range request.Conditions {
			if row.Key == condition.Key {
				return problem.New(problem.CodeStaleOrder, problem.RunNot, problem.StepConfig,
					"row %s is at revision %d, not %d", row.Key, row.Revision, condition.Revision)
			}
		}
	}
	return nil
}

// checkBase returns a ConflictError if a template or deployment that request
// changes was changed after the base revision.
func (s *Store) checkBase(ctx context.Context, v *view, request *Request) error {
	last := v.lastChangeRevision(&request.Change)
	if request.Base == 0 || last <= request.Base {
		return nil
	}
	conflict := &ConflictError{Winner: LogEntry{Revision: last}}
	history, err := s.History(ctx, last, 1)
	if err != nil || len(history) == 0 {
		return conflict
	}
	conflict.Winner = history[0]
	conflict.Changes = entryDifferences(&history[0])
	return conflict
}

// commit sends tx until its outcome is known, the attempts are used up or ctx
// ends. The table applies a repeated operation ID only once.
func (s *Store) commit(ctx context.Context, tx infra.Transaction) (infra.Commit, error) {
	backoff := s.options.Backoff
	var unknownOutcome error
	for range s.options.Attempts {
		commit, err := s.table.Commit(ctx, tx)
		if err == nil {
			return commit, nil
		}
		if infra.OutcomeOf(err) != infra.OutcomeNotDone {
			unknownOutcome = err
		}
		if unknownOutcome == nil {
			return infra.Commit{}, err
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff *= 2
	}
	return infra.Commit{}, unknownOutcome
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Config returns the configuration at the head of the table.
func (s *Store) Config(ctx context.Context) (template.Config, error) {
	v, err := s.load(ctx)
	if err != nil {
		return template.Config{}, err
	}
	return v.config()
}

// errHeadChanged is returned if the log or the snapshot pointer changed during an operation.
var errHeadChanged = errors.New("the head moved while it was read")
