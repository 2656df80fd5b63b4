package membership

import (
	"slices"
	"time"
)

// poll asks the members for a heartbeat that are not heard otherwise: those
// with streams, the warm ones, and a few of those that are lost.
func (t *Tracker) poll(now time.Time) {
	t.warmUp(now)
	lost := 0
	for i := range t.subset {
		m := t.subset[(t.cursor+i)%len(t.subset)]
		switch {
		case m.lost:
			if lost < maxLostPolls && now.Sub(m.polled) >= lostPollInterval {
				lost++
				t.pollMember(now, m)
			}
		case m.leaves():
		case (m.warm || m.streams > 0) && now.Sub(m.heard) >= PollInterval/2 && now.Sub(m.polled) >= PollInterval:
			t.pollMember(now, m)
		}
	}
	if len(t.subset) > 0 {
		t.cursor = (t.cursor + 1) % len(t.subset)
	}
}

func (t *Tracker) pollMember(now time.Time, m *member) {
	m.ask(now)
	t.out.Polls = append(t.out.Polls, m.id)
}

// warmUp keeps WarmSize idle members warm. A member that gets streams gives
// its place to another, so that there are always some to spread to.
func (t *Tracker) warmUp(now time.Time) {
	warm := 0
	for _, m := range t.subset {
		if m.warm && (m.streams > 0 || m.lost || m.leaves()) {
			m.warm = false
		}
		if m.warm {
			warm++
		}
	}
	t.evict(&warm)
	for _, wanted := range []bool{true, false} {
		for i := 0; i < len(t.subset) && warm < t.options.WarmSize; i++ {
			m := t.subset[(t.cursor+i)%len(t.subset)]
			idle := !m.warm && m.streams == 0 && !m.lost && !m.leaves()
			if idle && (m.wanted || !wanted) {
				m.warm = true
				m.wanted = false
				warm++
			}
		}
	}
}

// evict makes room where members are wanted and all places are taken.
func (t *Tracker) evict(warm *int) {
	wanted := 0
	for _, m := range t.subset {
		if m.wanted && m.warm {
			m.wanted = false
		}
		if m.wanted {
			wanted++
		}
	}
	for _, m := range t.subset {
		if *warm+min(wanted, t.options.WarmSize) <= t.options.WarmSize {
			return
		}
		if m.warm {
			m.warm = false
			*warm--
		}
	}
}

// Dump returns the chosen members with their states, in order of id.
func (t *Tracker) Dump(now time.Time) []Change {
	members := slices.SortedFunc(slices.Values(t.subset), compareID)
	list := make([]Change, len(members))
	for i, m := range members {
		list[i] = Change{m.id, m.state(now)}
	}
	return list
}
