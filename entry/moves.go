package entry

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/moves"
	"github.com/wigeonfork/wigeonfork/operator"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/problem"
	"github.com/wigeonfork/wigeonfork/template"
)

// evidenceInterval is the time between two evidence reports.
const evidenceInterval = time.Second

// reportEvidence sends the evidence about each move in progress to the entry that drives the move.
// On strong evidence it stops a version at once.
func (e *Entry) reportEvidence() {
	ticker := time.NewTicker(evidenceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			config := e.config.Config()
			e.evidence.Track(&config)
			reports, stops := e.evidence.Flush(now)
			for _, report := range reports {
				e.sendReport(&config, report)
			}
			for _, stop := range stops {
				e.stopVersion(now, stop)
			}
		case <-e.background.Done():
			return
		}
	}
}

func (e *Entry) sendReport(config *template.Config, report moves.Report) {
	d := config.Deployment(report.Deployment)
	if d == nil || d.Move == nil || d.Move.Controller == "" {
		return
	}
	address := d.Move.Controller
	if address == e.self.ControlAddress {
		e.controller.Merge(time.Now(), report)
		return
	}
	e.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
		defer cancel()
		client, err := e.peers.Get(ctx, address)
		if err == nil {
			err = client.Call(ctx, peer.MethodEvidence, report, nil)
		}
		if err != nil {
			e.options.Log.Debug().Str("step", string(problem.StepMove)).Str("peer", address).Err(err).Msg("evidence_lost")
		}
	})
}

func (e *Entry) mergeEvidence(_ context.Context, _ *peer.Session, report moves.Report) (peer.None, error) {
	e.controller.Merge(time.Now(), report)
	return peer.None{}, nil
}

// stopVersion stops a version on all hosts without waiting for the table. The stop is stored in the
// table later.
func (e *Entry) stopVersion(now time.Time, stop moves.LocalStop) {
	for _, active := range e.config.Stops() {
		if active.Deployment == stop.Deployment && active.Version == stop.Versions.New {
			return
		}
	}
	err := e.config.Stop(template.Stop{
		Deployment: stop.Deployment, Version: stop.Versions.New, At: now, By: e.options.Host, Evidence: stop.Reason,
	})
	e.options.Log.Warn().Str("step", string(problem.StepMove)).Str("deployment", string(stop.Deployment)).
		Str("version", string(stop.Versions.New)).Str("reason", stop.Reason).Err(err).Msg("version_stopped")
}

// moveStatus adds the progress of a move that this entry drives.
func (e *Entry) moveStatus(status *operator.MoveStatus) {
	if status.Move == nil {
		return
	}
	d := template.Deployment{Name: status.Deployment, Move: status.Move}
	if progress, ok := e.controller.Status(time.Now(), moves.ID(&d)); ok {
		status.Progress = &progress
	}
}
