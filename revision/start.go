package revision

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// startState holds the state of the start, until the process serves.
type startState struct {
	serving          bool
	startedAt        time.Time
	nextProbe        time.Time
	probeRounds      int
	tableRead        bool
	tableUnavailable bool
	answers          map[wigeonfork.HostID]peerAnswer
}

// peerAnswer is the state that a peer reported.
type peerAnswer struct {
	receivedAt time.Time
	revision   wigeonfork.Revision
	serving    bool
}

// recordAnswer records the state of a peer until the process serves.
func (s *startState) recordAnswer(now time.Time, from wigeonfork.HostID, m *Message) {
	if s.serving {
		return
	}
	s.answers[from] = peerAnswer{receivedAt: now, revision: m.Revision, serving: m.Serving}
}

// dropExpired drops answers older than answerLifetime.
func (s *startState) dropExpired(now time.Time) {
	for id, a := range s.answers {
		if now.Sub(a.receivedAt) > answerLifetime {
			delete(s.answers, id)
		}
	}
}

// highest returns the highest reported revision, a peer that holds it, and the
// number of answers from serving peers.
func (s *startState) highest() (holder wigeonfork.HostID, revision wigeonfork.Revision, serving int) {
	for id, a := range s.answers {
		if a.revision > revision || (a.revision == revision && revision > 0 && id < holder) {
			holder, revision = id, a.revision
		}
		if a.serving {
			serving++
		}
	}
	return holder, revision, serving
}

// probeDelay returns the time between probes. It increases once all reachable
// peers have had time to answer.
func (s *startState) probeDelay() time.Duration {
	if s.probeRounds < fastProbeRounds {
		return probeInterval
	}
	return slowProbeInterval
}

// tickStart probes peers until the process serves, and schedules the first table
// read.
func (n *Node) tickStart(now time.Time) {
	s := &n.start
	if s.serving || now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = now.Add(s.probeDelay())
	s.dropExpired(now)
	if s.probeRounds == 1 {
		n.planFirstRead(now)
	}
	s.probeRounds++
	for _, peer := range n.pickPeers(probesPerRound) {
		n.send(peer.ID, n.newMessage(KindProbe))
	}
	n.maybeServe(now)
}

// planFirstRead schedules the first table read at once if at least half of the
// probed peers serve. Otherwise many processes are starting, and the reads are
// spread over time.
func (n *Node) planFirstRead(now time.Time) {
	_, _, serving := n.start.highest()
	if serving*2 >= min(probesPerRound, len(n.peers)) {
		n.read.next = now
		return
	}
	n.read.next = now.Add(n.startReadDelay())
}

// startReadDelay returns a random delay. It limits the reads of processes that
// start together to StartReadsPerSecond.
func (n *Node) startReadDelay() time.Duration {
	windowSeconds := float64(len(n.peers)) / n.options.StartReadsPerSecond
	return time.Duration(n.random.Float64() * windowSeconds * float64(time.Second))
}

// maybeServe lets the process serve once its revision is at least that of the
// table and the highest that a peer reported. If the table is unavailable, the
// answers of enough serving peers replace the table read.
func (n *Node) maybeServe(now time.Time) {
	s := &n.start
	if s.serving || s.startedAt.IsZero() {
		return
	}
	holder, highest, serving := s.highest()
	if n.items.revision < highest {
		n.catchUp(now, holder, highest)
		return
	}
	if s.tableRead || (s.tableUnavailable && n.enoughPeers(now, serving)) {
		s.serving = true
		s.answers = nil
		n.planRead(now)
	}
}

// enoughPeers reports whether enough serving peers have answered. After
// answerLifetime all reachable peers have answered, and one suffices.
func (n *Node) enoughPeers(now time.Time, serving int) bool {
	if serving >= n.options.StartPeers {
		return true
	}
	return serving > 0 && now.Sub(n.start.startedAt) > answerLifetime
}

// planRead schedules the next table read. The mean interval grows with the
// number of peers, so that all processes together read at ReadsPerSecond.
func (n *Node) planRead(now time.Time) {
	mean := float64(max(len(n.peers), 1)) / n.options.ReadsPerSecond
	wait := n.random.ExpFloat64() * mean
	n.read.next = now.Add(time.Duration(wait * float64(time.Second)))
}

// tickRead starts table reads that are due and abandons a read after
// readTimeout.
func (n *Node) tickRead(now time.Time) {
	r := &n.read
	if r.pending && now.Sub(r.startedAt) >= readTimeout {
		r.pending = false
		n.readFailed(now)
	}
	if r.pending || r.next.IsZero() || now.Before(r.next) {
		return
	}
	r.pending = true
	r.startedAt = now
	n.planRead(now)
	n.actions.Reads = append(n.actions.Reads, ReadTable{Since: n.items.revision})
}

// recordStartRead records a successful table read during the start. If the Node
// could not install the table's revision, it reads again after readTimeout.
func (n *Node) recordStartRead(now time.Time, tableRevision wigeonfork.Revision) {
	if n.start.serving {
		return
	}
	n.start.tableRead = n.items.revision >= tableRevision
	if !n.start.tableRead {
		n.read.next = now.Add(readTimeout)
	}
}

// readFailed records a failed table read during the start and schedules the next
// one.
func (n *Node) readFailed(now time.Time) {
	if n.start.serving {
		return
	}
	n.start.tableUnavailable = true
	n.read.next = now.Add(readTimeout/2 + n.startReadDelay())
	n.maybeServe(now)
}
