package agent

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/peer"
)

// drainPoll is the time between two looks at the remaining generations.
const drainPoll = 20 * time.Millisecond

// handoverGrace is the time in which entries take up what is handed over.
const handoverGrace = 2 * time.Second

// Drain stops taking new work, waits for the generations under way up to the
// drain limit and hands over the rest with their positions.
func (a *Agent) Drain(ctx context.Context) {
	a.status.SetLeaving()
	a.sessions.CloseToNew()
	if a.actions != nil {
		a.actions.Drain()
	}
	a.options.Log.Info().Int("generations", len(a.sessions.All())).Msg("drain_started")
	limited, cancel := context.WithTimeout(ctx, a.options.DrainLimit)
	defer cancel()
	a.waitForWork(limited)
	handed := a.generations.GiveUp()
	if handed > 0 {
		grace, cancelGrace := context.WithTimeout(ctx, handoverGrace)
		defer cancelGrace()
		a.waitForWork(grace)
	}
	a.options.Log.Info().Int("handed_over", handed).Msg("drain_ended")
}

func (a *Agent) waitForWork(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for a.unfinished() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// unfinished counts the generations whose end no entry has read and the actions
// whose outcome is not recorded.
func (a *Agent) unfinished() int {
	count := a.sessions.Unread()
	if a.actions != nil {
		count += a.actions.Unfinished()
	}
	return count
}

func (a *Agent) drainOnRequest(context.Context, *peer.Session, peer.None) (peer.None, error) {
	a.wait.Go(func() { a.Drain(a.background) })
	return peer.None{}, nil
}
