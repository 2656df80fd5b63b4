package revision

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Peer is another process that takes part in the spread.
type Peer struct {
	ID     wigeonfork.HostID        `json:"id" cbor:"1,keyasint"`
	Domain wigeonfork.FailureDomain `json:"failure_domain" cbor:"2,keyasint"`
}

// Node is the core of one process. It is not safe for concurrent use.
type Node struct {
	options Options
	random  *rand.Rand
	peers   []Peer
	items   items
	facts   facts
	start   startState
	pull    pullState
	push    pushState
	read    readState
	surveys surveys
	actions Actions
}

// pullState holds the times of pulls. Until busy, an answer is due that brings
// what the Node lacks, and no other pull is made.
type pullState struct {
	next      time.Time
	from      wigeonfork.HostID
	sentAt    time.Time
	busyUntil time.Time
}

// readState holds the times of table reads.
type readState struct {
	next      time.Time
	pending   bool
	startedAt time.Time
}

// New returns a Node that holds nothing and does not serve yet. Its first
// event must be a Tick.
func New(options Options) *Node {
	options = options.withDefaults()
	return &Node{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.ID)))),
		items:   newItems(),
		facts:   newFacts(),
		start:   startState{answers: make(map[wigeonfork.HostID]peerAnswer)},
		surveys: newSurveys(),
	}
}

// SetPeers tells the processes that are believed alive. The Node keeps
// the slice and never changes it; it may hold the Node itself.
func (n *Node) SetPeers(peers []Peer) { n.peers = peers }

// Revision returns the revision that the Node holds.
func (n *Node) Revision() wigeonfork.Revision { return n.items.revision }

// Serving tells whether the Node holds a revision that may be acted on.
func (n *Node) Serving() bool { return n.start.serving }

// Facts returns the facts that the configuration does not record yet.
func (n *Node) Facts() []Fact { return n.facts.list() }

// State returns everything that the Node holds.
func (n *Node) State() Delta { return n.items.since(0) }

// Tick tells the time. It is to be called at NextWake, or regularly.
func (n *Node) Tick(now time.Time) Actions {
	n.actions.reset()
	if n.start.startedAt.IsZero() {
		n.startTimers(now)
	}
	n.tickStart(now)
	n.tickRead(now)
	n.tickPull(now)
	n.tickPush(now)
	n.surveys.tick(n, now)
	return n.actions
}

func (n *Node) startTimers(now time.Time) {
	n.start.startedAt = now
	n.start.nextProbe = now
	n.pull.next = now.Add(n.jitter(n.options.PullInterval))
}

// NextWake returns the time at which the Node has something to do of itself.
func (n *Node) NextWake() time.Time {
	wake := n.pull.next
	if !n.start.serving {
		wake = earlier(wake, n.start.nextProbe)
	}
	if n.push.due() {
		wake = earlier(wake, n.push.next)
	}
	switch {
	case n.read.pending:
		wake = earlier(wake, n.read.startedAt.Add(readTimeout))
	case !n.read.next.IsZero():
		wake = earlier(wake, n.read.next)
	}
	return n.surveys.nextWake(wake)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Receive handles a message from a peer. Messages may be lost, repeated and
// late, and may come from a process that has restarted since.
func (n *Node) Receive(now time.Time, from wigeonfork.HostID, m Message) Actions {
	n.actions.reset()
	answered := n.pull.from == from && now.Sub(n.pull.sentAt) < pullTimeout
	if answered && m.Delta != nil {
		n.pull.busyUntil = time.Time{}
	}
	n.start.recordAnswer(now, from, &m)
	n.mergeFacts(now, m.FactList)
	if m.Delta != nil {
		n.install(now, m.Delta, n.start.serving)
	}
	switch m.Kind {
	case KindPull, KindProbe:
		n.reply(now, from, &m)
	case KindState:
		n.catchUp(now, from, m.Revision)
		if answered && m.FactsDigest != n.facts.digest {
			n.sendState(from, nil, n.facts.batch(n.random.Uint64()))
		}
	case KindSurvey:
		n.surveys.handleSurvey(n, now, from, m.Survey)
	case KindSurveyReply:
		n.surveys.handleReply(n, now, from, &m)
	}
	n.maybeServe(now)
	return n.actions
}

// CompleteTableRead tells the outcome of a table read. A delta that is older than
// what the Node holds is ignored; err means that the table did not answer.
func (n *Node) CompleteTableRead(now time.Time, delta Delta, err error) Actions {
	n.actions.reset()
	n.read.pending = false
	if err != nil {
		n.readFailed(now)
		return n.actions
	}
	n.install(now, &delta, true)
	n.recordStartRead(now, delta.To)
	n.maybeServe(now)
	return n.actions
}

// AddFact makes fact known to the Node, which spreads it at once.
func (n *Node) AddFact(now time.Time, fact Fact) (Actions, error) {
	n.actions.reset()
	_, isNew, err := n.facts.add(fact)
	if err != nil {
		return n.actions, err
	}
	if isNew {
		n.push.scheduleFact(now, fact, n.options.PushRounds)
		n.tickPush(now)
	}
	return n.actions, nil
}

// RetireFact drops the fact called key. It may only be called where the installed
// configuration records the fact.
func (n *Node) RetireFact(key string) { n.facts.retire(key) }

// mergeFacts takes in facts of a peer.
func (n *Node) mergeFacts(now time.Time, list []Fact) {
	for _, fact := range list {
		_, isNew, err := n.facts.add(fact)
		if err != nil || !isNew {
			continue
		}
		n.actions.Learned = append(n.actions.Learned, fact)
		n.push.scheduleFact(now, fact, n.options.PushRounds)
	}
	if len(n.actions.Learned) > 0 {
		n.tickPush(now)
	}
}

// install applies delta if it is newer, and passes it on if spread is set.
func (n *Node) install(now time.Time, delta *Delta, spread bool) {
	previous := n.items.revision
	if !n.items.apply(delta) {
		return
	}
	n.actions.Installs = append(n.actions.Installs, *delta)
	if spread {
		n.push.scheduleDelta(now, previous, n.options.PushRounds, n.options.PushInterval)
		n.tickPush(now)
	}
}

// newMessage returns a message that tells what the Node holds.
func (n *Node) newMessage(kind Kind) Message {
	return Message{Kind: kind, Revision: n.items.revision, Serving: n.start.serving, FactsDigest: n.facts.digest}
}

func (n *Node) send(to wigeonfork.HostID, m Message) {
	n.push.charge(&m, n.options.BytesPerSecond)
	n.actions.Sends = append(n.actions.Sends, Send{To: to, Message: m})
}

func (n *Node) sendState(to wigeonfork.HostID, delta *Delta, list []Fact) {
	m := n.newMessage(KindState)
	m.Delta = delta
	m.FactList = list
	n.send(to, m)
}

// reply replies to a pull or a probe. It stays silent where a serving peer
// lacks nothing.
func (n *Node) reply(now time.Time, from wigeonfork.HostID, m *Message) {
	var list []Fact
	if m.FactsDigest != n.facts.digest {
		list = n.facts.batch(n.random.Uint64())
	}
	if m.Kind == KindPull && m.Revision < n.items.revision {
		delta := n.items.since(m.Revision)
		n.sendState(from, &delta, list)
		return
	}
	if m.Kind == KindProbe || !m.Serving || len(list) > 0 {
		n.sendState(from, nil, list)
	}
	n.catchUp(now, from, m.Revision)
}

// catchUp pulls from a peer that holds more, unless an answer is due already.
func (n *Node) catchUp(now time.Time, from wigeonfork.HostID, peerRevision wigeonfork.Revision) {
	if peerRevision <= n.items.revision || now.Before(n.pull.busyUntil) {
		return
	}
	n.pullFrom(now, from)
	n.pull.busyUntil = now.Add(pullTimeout)
}

func (n *Node) pullFrom(now time.Time, peer wigeonfork.HostID) {
	n.pull.from = peer
	n.pull.sentAt = now
	n.send(peer, n.newMessage(KindPull))
}

// tickPull asks one random peer for what the Node lacks.
func (n *Node) tickPull(now time.Time) {
	if now.Before(n.pull.next) {
		return
	}
	n.pull.next = now.Add(n.jitter(n.options.PullInterval))
	if !n.start.serving || now.Before(n.pull.busyUntil) {
		return
	}
	for _, peer := range n.pickPeers(1) {
		n.pullFrom(now, peer.ID)
	}
}

// jitter returns a random duration between half and one and a half of mean.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)+1))
}

// pickPeers returns up to count different random peers.
func (n *Node) pickPeers(count int) []Peer {
	if count >= len(n.peers) {
		return n.otherPeers()
	}
	picked := make([]Peer, 0, count)
	for tries := 0; len(picked) < count && tries < maxPickTries*count; tries++ {
		peer := n.peers[n.random.IntN(len(n.peers))]
		if peer.ID != n.options.ID && !contains(picked, peer.ID) {
			picked = append(picked, peer)
		}
	}
	return picked
}

// maxPickTries bounds the draws for each peer that is picked.
const maxPickTries = 4

func (n *Node) otherPeers() []Peer {
	others := make([]Peer, 0, len(n.peers))
	for _, peer := range n.peers {
		if peer.ID != n.options.ID {
			others = append(others, peer)
		}
	}
	return others
}

func contains(peers []Peer, id wigeonfork.HostID) bool {
	for i := range peers {
		if peers[i].ID == id {
			return true
		}
	}
	return false
}
