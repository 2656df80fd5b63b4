package configuration

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/revision"
	"github.com/wigeonfork/wigeonfork/template"
)

// Snapshot returns the snapshot in force, or nil if the process may not serve
// yet.
func (k *Keeper) Snapshot() *template.Snapshot { return k.snapshot.Load() }

// Config returns the configuration of this process.
func (k *Keeper) Config() template.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.assembler.Config()
}

// Revision returns the revision of this process.
func (k *Keeper) Revision() wigeonfork.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.node.Revision()
}

// Stops returns the stops that the configuration does not record yet.
func (k *Keeper) Stops() []template.Stop {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stops()
}

// Survey asks on which hosts revision r is in force. It returns a *problem.Error
// if too many surveys are open or no result arrives in time.
func (k *Keeper) Survey(ctx context.Context, r wigeonfork.Revision) (revision.SurveyResult, error) {
	wait, err := k.startSurvey(r)
	if err != nil {
		return revision.SurveyResult{}, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	select {
	case result := <-wait:
		return result, nil
	case <-waitCtx.Done():
		return revision.SurveyResult{}, problem.New(problem.CodeTooLate, problem.RunUnknown, problem.StepConfig, "survey got no answer in %s", surveyTimeout)
	}
}

func (k *Keeper) startSurvey(r wigeonfork.Revision) (<-chan revision.SurveyResult, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id, actions, ok := k.node.Survey(time.Now(), r)
	if !ok {
		return nil, problem.New(problem.CodeOverloaded, problem.RunNot, problem.StepConfig, "too many surveys are open").After(surveyTimeout)
	}
	wait := make(chan revision.SurveyResult, 1)
	k.surveys[id] = wait
	k.execute(actions)
	return wait, nil
}
