package entry

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/peer"
)

// drainPoll is the time between two looks at the remaining answers.
const drainPoll = 20 * time.Millisecond

// handoverGrace is the time in which callers are told where to go on.
const handoverGrace = 2 * time.Second

// Drain stops taking new requests, waits for the answers under way up to the
// drain limit and sends the callers of the rest to other entries.
func (e *Entry) Drain(ctx context.Context) {
	e.status.SetLeaving()
	e.answers.StopAccepting()
	e.options.Log.Info().Int("answers", e.answers.Len()).Msg("drain_started")
	limited, cancel := context.WithTimeout(ctx, e.options.DrainLimit)
	defer cancel()
	e.waitForAnswers(limited)
	handed := e.answers.HandOver()
	if handed > 0 {
		grace, cancelGrace := context.WithTimeout(ctx, handoverGrace)
		defer cancelGrace()
		e.waitForAnswers(grace)
	}
	if err := e.executor.Close(limited); err != nil {
		e.options.Log.Warn().Str("step", "drain").Err(err).Msg("outcomes_unrecorded")
	}
	e.options.Log.Info().Int("handed_over", handed).Int("unfinished", e.answers.Len()).Msg("drain_ended")
}

func (e *Entry) waitForAnswers(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for e.answers.Len() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (e *Entry) drainOnRequest(context.Context, *peer.Session, peer.None) (peer.None, error) {
	e.wait.Go(func() { e.Drain(e.background) })
	return peer.None{}, nil
}
