package revision

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// pushing holds what is still to be passed on.
type pushing struct {
	rounds  int
	next    time.Time
	last    time.Time
	window  []installation
	fresh   []Fact
	tokens  float64
	tokenAt time.Time
}

// installation is a recent change of the revision from before.
type installation struct {
	at     time.Time
	before wigeonfork.Revision
}

const (
	// factPushInterval is the least time between two pushes of new facts.
	factPushInterval = 50 * time.Millisecond
	// sendBurst is the time over which unused bytes add up.
	sendBurst = 16 * time.Second
	// peerBytes is about what one host takes in a survey.
	peerBytes = 24
	// sendDebt bounds the time for which pushes wait after large answers.
	sendDebt = 2 * time.Second
)

func (p *pushing) due() bool { return p.rounds > 0 }

// installed plans pushes of what changed since the revision before.
func (p *pushing) installed(now time.Time, before wigeonfork.Revision, rounds int, interval time.Duration) {
	p.window = append(p.window, installation{now, before})
	if len(p.window) > maxWindow {
		p.window = p.window[1:]
	}
	p.plan(now, rounds, interval)
}

// facts plans pushes of a new fact.
func (p *pushing) facts(now time.Time, fact Fact, rounds int) {
	if len(p.fresh) < factsPerMessage {
		p.fresh = append(p.fresh, fact)
	}
	p.plan(now, rounds, factPushInterval)
}

func (p *pushing) plan(now time.Time, rounds int, interval time.Duration) {
	next := now
	if soonest := p.last.Add(interval); soonest.After(now) {
		next = soonest
	}
	if p.rounds == 0 || next.Before(p.next) {
		p.next = next
	}
	p.rounds = rounds
}

// from returns the revision from which a push starts: the one before the
// oldest recent installation, so that a peer that missed a push is served too.
func (p *pushing) from(now time.Time) (wigeonfork.Revision, bool) {
	if len(p.window) == 0 {
		return 0, false
	}
	keep := 0
	for keep < len(p.window)-1 && now.Sub(p.window[keep].at) > pushWindow {
		keep++
	}
	p.window = p.window[keep:]
	return p.window[0].before, true
}

// refill adds the bytes that may be sent since the last call.
func (p *pushing) refill(now time.Time, rate float64) {
	limit := rate * sendBurst.Seconds()
	if p.tokenAt.IsZero() {
		p.tokens = limit
	} else {
		p.tokens = min(limit, p.tokens+rate*now.Sub(p.tokenAt).Seconds())
	}
	p.tokenAt = now
}

// charge takes what a message costs from the budget. What exceeds the debt
// limit, such as the whole state for a process that starts, is not counted.
func (p *pushing) charge(m *Message, rate float64) {
	cost := messageOverhead
	if m.Delta != nil {
		cost += m.Delta.size()
	}
	for i := range m.FactList {
		cost += m.FactList[i].size()
	}
	if m.Survey != nil {
		cost += len(m.Survey.Peers) * peerBytes
	}
	p.tokens = max(p.tokens-float64(cost), -rate*sendDebt.Seconds())
}

// tickPush makes a push that is due. Facts go out whatever the budget says.
func (n *Node) tickPush(now time.Time) {
	p := &n.push
	if !p.due() || now.Before(p.next) {
		return
	}
	delta, allowed := n.budgeted(now, n.pushDelta(now))
	if !allowed && len(p.fresh) == 0 {
		p.next = now.Add(n.options.PushInterval)
		return
	}
	for _, peer := range n.pick(n.options.Fanout) {
		n.sendState(peer.ID, delta, p.fresh)
	}
	p.last = now
	p.rounds--
	p.next = now.Add(n.jitter(n.options.PushInterval))
	if p.rounds == 0 {
		p.fresh = nil
	}
}

// budgeted returns what of delta the budget allows now: all of it, or
// only to tell the revision, so that those that lack it pull, or nothing.
func (n *Node) budgeted(now time.Time, delta *Delta) (*Delta, bool) {
	n.push.refill(now, n.options.BytesPerSecond)
	told := float64(messageOverhead * n.options.Fanout)
	if n.push.tokens < told {
		return nil, false
	}
	if delta != nil && n.push.tokens < told+float64(delta.size()*n.options.Fanout) {
		return nil, true
	}
	return delta, true
}

// pushDelta returns the recent changes for the first rounds of a push. In the
// last round, and where the changes are too large, it returns nil.
func (n *Node) pushDelta(now time.Time) *Delta {
	if n.push.rounds == 1 && n.options.PushRounds > 1 {
		return nil
	}
	from, any := n.push.from(now)
	if !any || from < n.items.floor || from == 0 {
		return n.smallState()
	}
	delta := n.items.since(from)
	if delta.size() > maxPushBytes {
		return nil
	}
	return &delta
}

// smallState returns the whole state if it is small enough to be pushed.
func (n *Node) smallState() *Delta {
	if n.items.revision == 0 {
		return nil
	}
	size := 0
	for i := range n.items.entries {
		size += len(n.items.entries[i].Value)
		if size > maxPushBytes {
			return nil
		}
	}
	delta := n.items.since(0)
	if delta.size() > maxPushBytes {
		return nil
	}
	return &delta
}
