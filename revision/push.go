package revision

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// pushState holds the pending pushes and the send budget.
type pushState struct {
	roundsLeft  int
	next        time.Time
	lastPush    time.Time
	recent      []installation
	newFacts    []Fact
	budgetBytes float64
	refilledAt  time.Time
}

// installation is a recent change of the revision from previous.
type installation struct {
	at       time.Time
	previous wigeonfork.Revision
}

const (
	// factPushInterval is the minimum time between two pushes of new facts.
	factPushInterval = 50 * time.Millisecond
	// sendBurst is the time over which unused bytes accumulate.
	sendBurst = 16 * time.Second
	// surveyPeerBytes is the approximate encoded size of one host in a survey.
	surveyPeerBytes = 24
	// maxSendDebt bounds the time that pushes wait after large replies.
	maxSendDebt = 2 * time.Second
)

func (p *pushState) due() bool { return p.roundsLeft > 0 }

// scheduleDelta schedules pushes of the changes since the revision previous.
func (p *pushState) scheduleDelta(now time.Time, previous wigeonfork.Revision, rounds int, interval time.Duration) {
	p.recent = append(p.recent, installation{now, previous})
	if len(p.recent) > maxRecentInstalls {
		p.recent = p.recent[1:]
	}
	p.schedule(now, rounds, interval)
}

// scheduleFact schedules pushes of a new fact.
func (p *pushState) scheduleFact(now time.Time, fact Fact, rounds int) {
	if len(p.newFacts) < factsPerMessage {
		p.newFacts = append(p.newFacts, fact)
	}
	p.schedule(now, rounds, factPushInterval)
}

func (p *pushState) schedule(now time.Time, rounds int, interval time.Duration) {
	next := now
	if earliest := p.lastPush.Add(interval); earliest.After(now) {
		next = earliest
	}
	if p.roundsLeft == 0 || next.Before(p.next) {
		p.next = next
	}
	p.roundsLeft = rounds
}

// startRevision returns the revision from which a push starts, if there is one.
// It is the one before the oldest recent installation, so that a push also serves
// peers that missed earlier pushes.
func (p *pushState) startRevision(now time.Time) (wigeonfork.Revision, bool) {
	if len(p.recent) == 0 {
		return 0, false
	}
	keep := 0
	for keep < len(p.recent)-1 && now.Sub(p.recent[keep].at) > pushWindow {
		keep++
	}
	p.recent = p.recent[keep:]
	return p.recent[0].previous, true
}

// refill adds the budget for the time since the last call.
func (p *pushState) refill(now time.Time, rate float64) {
	limit := rate * sendBurst.Seconds()
	if p.refilledAt.IsZero() {
		p.budgetBytes = limit
	} else {
		p.budgetBytes = min(limit, p.budgetBytes+rate*now.Sub(p.refilledAt).Seconds())
	}
	p.refilledAt = now
}

// charge subtracts the size of a message from the budget. The budget is overdrawn
// by at most maxSendDebt, even by a large message such as the complete state for
// a starting process.
func (p *pushState) charge(m *Message, rate float64) {
	cost := messageOverheadBytes
	if m.Delta != nil {
		cost += m.Delta.size()
	}
	for i := range m.FactList {
		cost += m.FactList[i].size()
	}
	if m.Survey != nil {
		cost += len(m.Survey.Peers) * surveyPeerBytes
	}
	p.budgetBytes = max(p.budgetBytes-float64(cost), -rate*maxSendDebt.Seconds())
}

// tickPush makes a push that is due. Facts are sent regardless of the budget.
func (n *Node) tickPush(now time.Time) {
	p := &n.push
	if !p.due() || now.Before(p.next) {
		return
	}
	delta, allowed := n.withinBudget(now, n.pushDelta(now))
	if !allowed && len(p.newFacts) == 0 {
		p.next = now.Add(n.options.PushInterval)
		return
	}
	for _, peer := range n.pickPeers(n.options.Fanout) {
		n.sendState(peer.ID, delta, p.newFacts)
	}
	p.lastPush = now
	p.roundsLeft--
	p.next = now.Add(n.jitter(n.options.PushInterval))
	if p.roundsLeft == 0 {
		p.newFacts = nil
	}
}

// withinBudget returns delta if the budget allows pushing it, else nil. It returns
// false if the budget does not even allow announcing the revision alone. Peers
// that lack an announced revision pull it.
func (n *Node) withinBudget(now time.Time, delta *Delta) (*Delta, bool) {
	n.push.refill(now, n.options.BytesPerSecond)
	announceCost := float64(messageOverheadBytes * n.options.Fanout)
	if n.push.budgetBytes < announceCost {
		return nil, false
	}
	if delta != nil && n.push.budgetBytes < announceCost+float64(delta.size()*n.options.Fanout) {
		return nil, true
	}
	return delta, true
}

// pushDelta returns the changes to push. It returns nil in the last of several
// rounds and for changes above maxPushBytes.
func (n *Node) pushDelta(now time.Time) *Delta {
	if n.push.roundsLeft == 1 && n.options.PushRounds > 1 {
		return nil
	}
	from, found := n.push.startRevision(now)
	if !found || from < n.items.floor || from == 0 {
		return n.smallState()
	}
	delta := n.items.since(from)
	if delta.size() > maxPushBytes {
		return nil
	}
	return &delta
}

// smallState returns the complete state if it is small enough to be pushed.
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
