package quarantine

import (
	"time"
)

const (
	// TrialLease is the time for which a trial is granted. The entry that makes it renews it after
	// TrialRenewal.
	TrialLease   = 2500 * time.Millisecond
	TrialRenewal = 800 * time.Millisecond
	// trialPoll is the time after which an entry may ask again while another trial is made.
	trialPoll = 40 * time.Millisecond
	// lastTrials is the number of trials of a request that may follow after crashLimit servers were lost under
	// it, whatever becomes of them: a server that refuses them gives no evidence, and one lost with others of its
	// failure domain little. The next one waits until these losses no longer matter.
	lastTrials = 3
	// maxTrials bounds the requests with trials.
	maxTrials = 4096
)

// TrialID identifies a trial, whichever entry makes it.
type TrialID uint64

// TrialRequest asks for a trial of a suspect.
type TrialRequest struct {
	ID      TrialID
	Content ContentHash
	// LostServers is the number of servers that were lost under the request, as far as the asking entry
	// knows.
	LostServers int
}

// TrialAnswer answers a TrialRequest.
type TrialAnswer struct {
	Granted bool
	// Refused says that the request is quarantined.
	Refused bool
	// RetryAfter is the time after which to ask again if neither is set.
	RetryAfter time.Duration
}

// TrialCoordinator lets one entry at a time run a suspect. All entries ask the same coordinator for the trials of one
// request, that of an entry on which they agree, so that trials don't overlap: each further loss is then
// evidence against the request. While entries disagree, as after a loss of the coordinator, as many trials may
// overlap as there are coordinators.
//
// TrialCoordinator is a deterministic decision type: times are arguments, and it does no I/O. It is not safe for
// concurrent use.
type TrialCoordinator struct {
	limiter *Limiter
	// joinedAt is when this entry first heard of another one, or zero. Trials that were granted before are
	// renewed within TrialRenewal.
	joinedAt time.Time
	trials   map[ContentHash]*trialState
}

// trialState is what a coordinator knows of the trials of one request.
type trialState struct {
	id TrialID
	// until is the end of the present trial's lease.
	until time.Time
	// grantedAt is when the last trial was granted, and counted the number of those that were granted
	// after crashLimit servers were lost.
	grantedAt time.Time
	counted   int
}

// NewTrialCoordinator returns a coordinator that decides by the evidence in limiter.
func NewTrialCoordinator(limiter *Limiter) *TrialCoordinator {
	return &TrialCoordinator{limiter: limiter, trials: make(map[ContentHash]*trialState)}
}

// Joined records that this entry has heard of another one. From the first time on it waits until it knows of
// the trials that another coordinator has granted.
func (c *TrialCoordinator) Joined(now time.Time) {
	if c.joinedAt.IsZero() {
		c.joinedAt = now
	}
}

// Ask decides on a trial. It is idempotent: a trial that is under way is granted again.
func (c *TrialCoordinator) Ask(now time.Time, r TrialRequest) TrialAnswer {
	decision := c.limiter.Check(now, r.Content)
	switch decision.Action {
	case Refuse:
		return TrialAnswer{Refused: true}
	case Hold:
		return TrialAnswer{RetryAfter: decision.RetryAfter}
	}
	lostServers := max(r.LostServers, decision.LostServers)
	t := c.trials[r.Content]
	if t != nil && t.id == r.ID && now.Before(t.until) {
		t.until = now.Add(TrialLease)
		return TrialAnswer{Granted: true}
	}
	if wait := c.wait(now, t, lostServers); wait > 0 {
		return TrialAnswer{RetryAfter: wait}
	}
	c.grant(now, r, lostServers)
	return TrialAnswer{Granted: true}
}

// wait returns the time until a new trial may be granted, as far as it is known.
func (c *TrialCoordinator) wait(now time.Time, t *trialState, lostServers int) time.Duration {
	if left := c.joinedAt.Add(TrialRenewal + trialPoll).Sub(now); left > 0 && t == nil {
		return left
	}
	switch {
	case t == nil:
		return 0
	case now.Before(t.until):
		return trialPoll
	case lostServers >= crashLimit && t.counted >= lastTrials:
		return t.grantedAt.Add(quarantinePeriod).Sub(now)
	}
	return 0
}

func (c *TrialCoordinator) grant(now time.Time, r TrialRequest, lostServers int) {
	t := c.state(now, r.Content)
	t.id, t.grantedAt, t.until = r.ID, now, now.Add(TrialLease)
	t.counted++
	if lostServers < crashLimit {
		t.counted = 0
	}
}

// Renew records that a trial is under way, also one that another coordinator has granted.
func (c *TrialCoordinator) Renew(now time.Time, r TrialRequest) {
	t := c.state(now, r.Content)
	if t.id != r.ID && now.Before(t.until) {
		return
	}
	if t.id != r.ID {
		t.id, t.grantedAt = r.ID, now
	}
	t.until = now.Add(TrialLease)
}

// End records that a trial has ended. sent is set if the request was sent to a server; otherwise the trial
// does not count.
func (c *TrialCoordinator) End(now time.Time, content ContentHash, id TrialID, sent bool) {
	t := c.trials[content]
	if t == nil || t.id != id || !now.Before(t.until) {
		return
	}
	t.until = now
	if !sent && t.counted > 0 {
		t.counted--
	}
}

// Cleared records that a request has proved to be sound.
func (c *TrialCoordinator) Cleared(content ContentHash) { delete(c.trials, content) }

// state returns the state of a request's trials, which it creates if necessary.
func (c *TrialCoordinator) state(now time.Time, content ContentHash) *trialState {
	t := c.trials[content]
	if t == nil {
		c.evict(now)
		t = &trialState{}
		c.trials[content] = t
	}
	return t
}

// evict drops the requests without a recent trial when there are many. If all are recent, it drops one of
// those whose trial has ended, or else any.
func (c *TrialCoordinator) evict(now time.Time) {
	if len(c.trials) < maxTrials {
		return
	}
	for content, t := range c.trials {
		if now.Sub(t.grantedAt) > quarantinePeriod {
			delete(c.trials, content)
		}
	}
	if len(c.trials) < maxTrials {
		return
	}
	var victim ContentHash
	for content, t := range c.trials {
		victim = content
		if !now.Before(t.until) {
			break
		}
	}
	delete(c.trials, victim)
}
