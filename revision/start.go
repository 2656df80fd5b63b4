package revision

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// starting is the state of a process that does not serve yet.
type starting struct {
	done      bool
	at        time.Time
	nextProbe time.Time
	rounds    int
	readDone  bool
	tableOut  bool
	answers   map[wigeonfork.HostID]answer
}

// answer is what a peer said it holds.
type answer struct {
	at       time.Time
	revision wigeonfork.Revision
	serving  bool
}

// heard notes what a peer holds while the process starts.
func (s *starting) heard(now time.Time, from wigeonfork.HostID, m *Message) {
	if s.done {
		return
	}
	s.answers[from] = answer{at: now, revision: m.Revision, serving: m.Serving}
}

// forget drops answers that are too old to count.
func (s *starting) forget(now time.Time) {
	for id, a := range s.answers {
		if now.Sub(a.at) > answerLifetime {
			delete(s.answers, id)
		}
	}
}

// highest returns the highest revision that a peer holds, and how many of the
// answers came from serving peers.
func (s *starting) highest() (holder wigeonfork.HostID, revision wigeonfork.Revision, serving int) {
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

// probeWait returns the time between probes, which grows once those that can
// be reached must have answered.
func (s *starting) probeWait() time.Duration {
	if s.rounds < fastProbeRounds {
		return probeInterval
	}
	return slowProbeInterval
}

// tickStart probes peers and plans the first table read until the process
// serves.
func (n *Node) tickStart(now time.Time) {
	s := &n.begin
	if s.done || now.Before(s.nextProbe) {
		return
	}
	s.nextProbe = now.Add(s.probeWait())
	s.forget(now)
	if s.rounds == 1 {
		n.planFirstRead(now)
	}
	s.rounds++
	for _, peer := range n.pick(probesPerRound) {
		n.send(peer.ID, n.header(KindProbe))
	}
	n.maybeServe(now)
}

// planFirstRead reads the table at once where most peers serve. Where they do
// not, many processes are starting, and the reads are spread over time.
func (n *Node) planFirstRead(now time.Time) {
	_, _, serving := n.begin.highest()
	if serving*2 >= min(probesPerRound, len(n.peers)) {
		n.read.next = now
		return
	}
	n.read.next = now.Add(n.startDelay())
}

// startDelay returns a random delay that keeps the reads of all processes, if
// they start together, at the rate that the options state.
func (n *Node) startDelay() time.Duration {
	spread := float64(len(n.peers)) / n.options.StartReadsPerSecond
	return time.Duration(n.random.Float64() * spread * float64(time.Second))
}

// maybeServe lets the process serve once it holds the highest revision that
// the table or, where that is out, several serving peers hold.
func (n *Node) maybeServe(now time.Time) {
	s := &n.begin
	if s.done || s.at.IsZero() {
		return
	}
	holder, highest, serving := s.highest()
	if n.items.revision < highest {
		n.catchUp(now, holder, highest)
		return
	}
	if s.readDone || (s.tableOut && n.enoughPeers(now, serving)) {
		s.done = true
		s.answers = nil
		n.planRead(now)
	}
}

// enoughPeers tells whether the answers of serving peers suffice. After a
// while those that can be reached have answered, and fewer will do.
func (n *Node) enoughPeers(now time.Time, serving int) bool {
	if serving >= n.options.StartPeers {
		return true
	}
	return serving > 0 && now.Sub(n.begin.at) > answerLifetime
}

// planRead plans the next table read so that all processes together keep the
// rate that the options state.
func (n *Node) planRead(now time.Time) {
	mean := float64(max(len(n.peers), 1)) / n.options.ReadsPerSecond
	wait := n.random.ExpFloat64() * mean
	n.read.next = now.Add(time.Duration(wait * float64(time.Second)))
}

// tickRead reads the table when it is time, and gives up a read that hangs.
func (n *Node) tickRead(now time.Time) {
	r := &n.read
	if r.pending && now.Sub(r.since) >= readTimeout {
		r.pending = false
		n.readFailed(now)
	}
	if r.pending || r.next.IsZero() || now.Before(r.next) {
		return
	}
	r.pending = true
	r.since = now
	n.planRead(now)
	n.out.Reads = append(n.out.Reads, ReadTable{Since: n.items.revision})
}

// startRead notes a table read that told the table's revision. If the Node
// could not install that revision, it reads again soon.
func (n *Node) startRead(now time.Time, held wigeonfork.Revision) {
	if n.begin.done {
		return
	}
	n.begin.readDone = n.items.revision >= held
	if !n.begin.readDone {
		n.read.next = now.Add(readTimeout)
	}
}

func (n *Node) readFailed(now time.Time) {
	if n.begin.done {
		return
	}
	n.begin.tableOut = true
	n.read.next = now.Add(readTimeout/2 + n.startDelay())
	n.maybeServe(now)
}
