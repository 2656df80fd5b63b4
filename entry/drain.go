package entry

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/peer"
)

// drainPollInterval is the time between two checks for remaining requests.
const drainPollInterval = 20 * time.Millisecond

// handOverTimeout is how long Drain waits for handed-over answers to end.
const handOverTimeout = 2 * time.Second

// Drain stops accepting requests and waits up to DrainLimit for those in progress. It then asks the
// callers of the remaining answers to resume through other entries.
func (e *Entry) Drain(ctx context.Context) {
	e.status.SetLeaving()
	e.answers.StopAccepting()
	e.options.Log.Info().Int("answers", e.answers.Len()).Msg("drain_started")
	limited, cancel := context.WithTimeout(ctx, e.options.DrainLimit)
	defer cancel()
	e.waitForAnswers(limited)
	handedOver := e.answers.HandOver()
	if handedOver > 0 {
		handOverCtx, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
		defer cancelHandOver()
		e.waitForAnswers(handOverCtx)
	}
	if err := e.executor.Close(limited); err != nil {
		e.options.Log.Warn().Str("step", "drain").Err(err).Msg("outcomes_unrecorded")
	}
	e.options.Log.Info().Int("handed_over", handedOver).Int("unfinished", e.answers.Len()).Msg("drain_ended")
}

func (e *Entry) waitForAnswers(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
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
