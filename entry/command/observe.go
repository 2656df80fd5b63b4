package command

import (
	"time"

	"github.com/wigeonfork/wigeonfork/frame"
	"github.com/wigeonfork/wigeonfork/rollout"
)

// pace measures one attempt.
type pace struct {
	began time.Time
	first time.Time
	last  time.Time
	count int
}

func (p *pace) tokens(now time.Time, n int) {
	if p.first.IsZero() {
		p.first = now
	}
	p.last = now
	p.count += n
}

func (p *pace) firstToken() time.Duration {
	if p.first.IsZero() {
		return 0
	}
	return p.first.Sub(p.began)
}

func (p *pace) interToken() time.Duration {
	if p.count < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.count-1)
}

// start describes the present attempt as evidence about its version.
func (r *run) start() rollout.Start {
	call := &r.answer.Call
	return rollout.Start{
		Version: call.Version,
		Stratum: rollout.Stratum{
			Route:  rollout.Route(string(call.Workspace) + "/" + call.Class.String() + "/" + call.Adapter),
			Load:   r.place.Load,
			Server: r.place.Server,
		},
		Host:   r.place.Host,
		Domain: r.place.Domain,
	}
}

func (r *run) observeStart(now time.Time) {
	r.pace = pace{began: now}
	r.Evidence.Started(now, r.route.Deployment, r.start())
}

// observeEnd notes how the present attempt went. An answer without a token
// counts as a wrong stop.
func (r *run) observeEnd(now time.Time, outcome rollout.Outcome) {
	if outcome == rollout.OutcomeOK && r.answer.Relay().Log().Len() == 0 {
		outcome = rollout.OutcomeWrongStop
	}
	r.Evidence.Observed(now, r.route.Deployment, rollout.Sample{
		Start:      r.start(),
		Outcome:    outcome,
		FirstToken: r.pace.firstToken(),
		InterToken: r.pace.interToken(),
	})
}

// observeFailure charges the version with what its engine failed, and leaves
// out what the path or the agent did.
func (r *run) observeFailure() {
	if r.place == nil {
		return
	}
	switch r.answer.Relay().Failure() {
	case frame.FailureEngineDead:
		r.observeEnd(time.Now(), rollout.OutcomeEngineDeath)
	case frame.FailureStream:
		r.observeEnd(time.Now(), rollout.OutcomeError)
	}
}
