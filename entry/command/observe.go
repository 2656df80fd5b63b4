package command

import (
	"time"

	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/rollout"
)

// attemptTiming measures the token times of one attempt.
type attemptTiming struct {
	startedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokenCount   int
}

func (t *attemptTiming) recordTokens(now time.Time, n int) {
	if t.firstTokenAt.IsZero() {
		t.firstTokenAt = now
	}
	t.lastTokenAt = now
	t.tokenCount += n
}

func (t *attemptTiming) firstToken() time.Duration {
	if t.firstTokenAt.IsZero() {
		return 0
	}
	return t.firstTokenAt.Sub(t.startedAt)
}

func (t *attemptTiming) interToken() time.Duration {
	if t.tokenCount < 2 {
		return 0
	}
	return t.lastTokenAt.Sub(t.firstTokenAt) / time.Duration(t.tokenCount-1)
}

// rolloutStart describes the current attempt as evidence about its version.
func (r *answerRelay) rolloutStart() rollout.Start {
	call := &r.answer.Call
	return rollout.Start{
		Version: call.Version,
		Stratum: rollout.Stratum{
			Route:  rollout.Route(string(call.Workspace) + "/" + call.Class.String() + "/" + call.Adapter),
			Load:   r.placement.Load,
			Server: r.placement.Server,
		},
		Host:   r.placement.Host,
		Domain: r.placement.Domain,
	}
}

func (r *answerRelay) observeStart(now time.Time) {
	r.timing = attemptTiming{startedAt: now}
	r.Evidence.Started(now, r.route.Deployment, r.rolloutStart())
}

// observeEnd records the outcome of the current attempt. A completed answer without tokens counts
// as a wrong stop.
func (r *answerRelay) observeEnd(now time.Time, outcome rollout.Outcome) {
	if outcome == rollout.OutcomeOK && r.answer.Relay().Log().Len() == 0 {
		outcome = rollout.OutcomeWrongStop
	}
	r.Evidence.Observed(now, r.route.Deployment, rollout.Sample{
		Start:      r.rolloutStart(),
		Outcome:    outcome,
		FirstToken: r.timing.firstToken(),
		InterToken: r.timing.interToken(),
	})
}

// observeFailure records a failure of the engine as evidence about its version. Failures of the
// network path or the agent are not recorded.
func (r *answerRelay) observeFailure() {
	if r.placement == nil {
		return
	}
	switch r.answer.Relay().Failure() {
	case frame.FailureEngineDead:
		r.observeEnd(time.Now(), rollout.OutcomeEngineDeath)
	case frame.FailureStream:
		r.observeEnd(time.Now(), rollout.OutcomeError)
	}
}
