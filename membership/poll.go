package membership

import (
	"slices"
	"time"
)

// planPolls polls members without recent activity: those with streams, the warm
// ones and a few failed ones.
func (t *Tracker) planPolls(now time.Time) {
	t.fillWarmSet(now)
	failed := 0
	for i := range t.subset {
		m := t.subset[(t.cursor+i)%len(t.subset)]
		switch {
		case m.failed:
			if failed < maxFailedPollsPerTick && now.Sub(m.lastPoll) >= failedMemberPollInterval {
				failed++
				t.pollMember(now, m)
			}
		case m.isLeaving():
		case (m.warm || m.streams > 0) && now.Sub(m.lastActivity) >= PollInterval/2 && now.Sub(m.lastPoll) >= PollInterval:
			t.pollMember(now, m)
		}
	}
	if len(t.subset) > 0 {
		t.cursor = (t.cursor + 1) % len(t.subset)
	}
}

func (t *Tracker) pollMember(now time.Time, m *member) {
	m.recordPoll(now)
	t.actions.Polls = append(t.actions.Polls, m.id)
}

// fillWarmSet keeps WarmSize idle members warm. A member that gets streams is
// replaced by another, so that new work always finds monitored idle members.
func (t *Tracker) fillWarmSet(now time.Time) {
	warm := 0
	for _, m := range t.subset {
		if m.warm && (m.streams > 0 || m.failed || m.isLeaving()) {
			m.warm = false
		}
		if m.warm {
			warm++
		}
	}
	t.evictForRequested(&warm)
	for _, requestedOnly := range []bool{true, false} {
		for i := 0; i < len(t.subset) && warm < t.options.WarmSize; i++ {
			m := t.subset[(t.cursor+i)%len(t.subset)]
			idle := !m.warm && m.streams == 0 && !m.failed && !m.isLeaving()
			if idle && (m.pollRequested || !requestedOnly) {
				m.warm = true
				m.pollRequested = false
				warm++
			}
		}
	}
}

// evictForRequested removes members from the warm set to free slots for members
// with a requested poll.
func (t *Tracker) evictForRequested(warm *int) {
	requested := 0
	for _, m := range t.subset {
		if m.pollRequested && m.warm {
			m.pollRequested = false
		}
		if m.pollRequested {
			requested++
		}
	}
	for _, m := range t.subset {
		if *warm+min(requested, t.options.WarmSize) <= t.options.WarmSize {
			return
		}
		if m.warm {
			m.warm = false
			*warm--
		}
	}
}

// Dump returns the members of the subset with their states, in order of ID.
func (t *Tracker) Dump(now time.Time) []Change {
	members := slices.SortedFunc(slices.Values(t.subset), compareID)
	list := make([]Change, len(members))
	for i, m := range members {
		list[i] = Change{m.id, m.state(now)}
	}
	return list
}
