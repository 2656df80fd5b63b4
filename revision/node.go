package revision

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeonfork/wigeonfork"
)

// Peer is a process that takes part in the distribution.
type Peer struct {
	ID     wigeonfork.HostID        `json:"id" cbor:"1,keyasint"`
	Domain wigeonfork.FailureDomain `json:"failure_domain" cbor:"2,keyasint"`
}

// Node is the deterministic core of one process. It is not safe for concurrent
// use.
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

// pullState holds the state of pulls. While a reply with missing changes is
// expected, at most until busyUntil, no other pull is made.
type pullState struct {
	next      time.Time
	from      wigeonfork.HostID
	sentAt    time.Time
	busyUntil time.Time
}

// readState holds the state of table reads.
type readState struct {
	next      time.Time
	pending   bool
	startedAt time.Time
}

// New returns an empty Node that does not serve yet. Its first event must be a
// Tick.
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

// SetPeers sets the processes that are considered live. The Node keeps the slice
// and does not modify it. It may include the Node itself.
func (n *Node) SetPeers(peers []Peer) { n.peers = peers }

// Revision returns the revision of the Node's state.
func (n *Node) Revision() wigeonfork.Revision { return n.items.revision }

// Serving reports whether the start is complete and the state may be used.
func (n *Node) Serving() bool { return n.start.serving }

// Facts returns the facts that the configuration does not record yet.
func (n *Node) Facts() []Fact { return n.facts.list() }

// State returns the complete state as a full delta.
func (n *Node) State() Delta { return n.items.since(0) }

// Tick advances the time. It must be called at NextWake or at short intervals.
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

// NextWake returns the time of the next Tick that has something to do.
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
// reordered, and the sender may have restarted since.
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

// CompleteTableRead handles the result of a table read. A delta that is older
// than the Node's state is ignored. If err is not nil, the read has failed.
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

// AddFact adds fact and pushes it to peers at once. It returns ErrTooManyFacts
// or ErrFactTooLarge if the limits are exceeded.
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

// RetireFact removes the fact with the given key. It may only be called if the
// installed configuration records the fact.
func (n *Node) RetireFact(key string) { n.facts.retire(key) }

// mergeFacts adds the facts of a peer and pushes the new ones.
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

// install applies delta if it is newer, and pushes the change if pushChange is
// set.
func (n *Node) install(now time.Time, delta *Delta, pushChange bool) {
	previous := n.items.revision
	if !n.items.apply(delta) {
		return
	}
	n.actions.Installs = append(n.actions.Installs, *delta)
	if pushChange {
		n.push.scheduleDelta(now, previous, n.options.PushRounds, n.options.PushInterval)
		n.tickPush(now)
	}
}

// newMessage returns a message with the Node's revision and facts digest.
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

// reply answers a pull or a probe. A pull of a serving peer that is up to date
// gets no reply.
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

// catchUp pulls from a peer with a newer revision, unless a reply is pending.
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

// tickPull pulls missing changes from one random peer.
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

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)+1))
}

// pickPeers returns up to count distinct random peers.
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

// maxPickTries bounds the random draws per picked peer.
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
