package agent

import (
	"context"
	"time"

	"github.com/wigeonfork/wigeonfork/peer"
)

// drainPollInterval is the time between two checks for unfinished work.
const drainPollInterval = 20 * time.Millisecond

// handOverTimeout is the time for entries to read the ends of the handed-over
// generations. In it the agent also reads replies of its plain service that arrived
// while the process was suspended past its drain limit.
const handOverTimeout = 2 * time.Second

// recordTimeout bounds the recording of action outcomes after the drain limit.
const recordTimeout = 5 * time.Second

// Drain stops accepting work and waits for unfinished generations and actions
// up to the drain limit. Then it hands over the remaining generations with
// their positions and abandons the remaining actions.
func (a *Agent) Drain(ctx context.Context) {
	a.status.SetLeaving()
	a.sessions.StopAccepting()
	if a.actions != nil {
		a.actions.Drain()
	}
	a.options.Log.Info().Int("generations", len(a.sessions.All())).Msg("drain_started")
	limited, cancel := context.WithTimeout(ctx, a.options.DrainLimit)
	defer cancel()
	a.waitForWork(limited)
	handedOver := a.generations.HandOverAll()
	if a.unfinished() > 0 {
		handOverCtx, cancelHandOver := context.WithTimeout(ctx, handOverTimeout)
		defer cancelHandOver()
		a.waitForWork(handOverCtx)
	}
	abandoned := a.abandonActions(ctx)
	a.options.Log.Info().Int("handed_over", handedOver).Int("actions_abandoned", abandoned).Msg("drain_ended")
}

// abandonActions abandons the actions that exceeded the drain limit and returns
// their number.
func (a *Agent) abandonActions(ctx context.Context) int {
	if a.actions == nil || a.actions.Unfinished() == 0 {
		return 0
	}
	limited, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return a.actions.Abandon(limited)
}

func (a *Agent) waitForWork(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for a.unfinished() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// unfinished counts the generations that an entry may still read and the actions
// whose outcome is not recorded.
func (a *Agent) unfinished() int {
	count := a.sessions.Unfinished(time.Now(), a.options.ResumeHold)
	if a.actions != nil {
		count += a.actions.Unfinished()
	}
	return count
}

func (a *Agent) drainOnRequest(context.Context, *peer.Session, peer.None) (peer.None, error) {
	a.wait.Go(func() { a.Drain(a.background) })
	return peer.None{}, nil
}
