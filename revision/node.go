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
	begin   starting
	pull    pulling
	push    pushing
	read    reading
	surveys surveys
	out     Actions
}

// pulling holds the times of pulls. Until busy, an answer is due that brings
// what the Node lacks, and no other pull is made.
type pulling struct {
	next time.Time
	from wigeonfork.HostID
	sent time.Time
	busy time.Time
}

// reading holds the times of table reads.
type reading struct {
	next    time.Time
	pending bool
	since   time.Time
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
		begin:   starting{answers: make(map[wigeonfork.HostID]answer)},
		surveys: newSurveys(),
	}
}

// SetPeers tells the processes that are believed alive. The Node keeps
// the slice and never changes it; it may hold the Node itself.
func (n *Node) SetPeers(peers []Peer) { n.peers = peers }

// Revision returns the revision that the Node holds.
func (n *Node) Revision() wigeonfork.Revision { return n.items.revision }

// Serving tells whether the Node holds a revision that may be acted on.
func (n *Node) Serving() bool { return n.begin.done }

// Facts returns the facts that the configuration does not record yet.
func (n *Node) Facts() []Fact { return n.facts.list() }

// State returns everything that the Node holds.
func (n *Node) State() Delta { return n.items.since(0) }

// Tick tells the time. It is to be called at NextWake, or regularly.
func (n *Node) Tick(now time.Time) Actions {
	n.out.reset()
	if n.begin.at.IsZero() {
		n.schedule(now)
	}
	n.tickStart(now)
	n.tickRead(now)
	n.tickPull(now)
	n.tickPush(now)
	n.surveys.tick(n, now)
	return n.out
}

func (n *Node) schedule(now time.Time) {
	n.begin.at = now
	n.begin.nextProbe = now
	n.pull.next = now.Add(n.jitter(n.options.PullInterval))
}

// NextWake returns the time at which the Node has something to do of itself.
func (n *Node) NextWake() time.Time {
	wake := n.pull.next
	if !n.begin.done {
		wake = earlier(wake, n.begin.nextProbe)
	}
	if n.push.due() {
		wake = earlier(wake, n.push.next)
	}
	switch {
	case n.read.pending:
		wake = earlier(wake, n.read.since.Add(readTimeout))
	case !n.read.next.IsZero():
		wake = earlier(wake, n.read.next)
	}
	return n.surveys.wake(wake)
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
	n.out.reset()
	answered := n.pull.from == from && now.Sub(n.pull.sent) < pullTimeout
	if answered && m.Delta != nil {
		n.pull.busy = time.Time{}
	}
	n.begin.heard(now, from, &m)
	n.merge(now, m.FactList)
	if m.Delta != nil {
		n.install(now, m.Delta, n.begin.done)
	}
	switch m.Kind {
	case KindPull, KindProbe:
		n.answer(now, from, &m)
	case KindState:
		n.catchUp(now, from, m.Revision)
		if answered && m.FactsDigest != n.facts.digest {
			n.sendState(from, nil, n.facts.batch(n.random.Uint64()))
		}
	case KindSurvey:
		n.surveys.asked(n, now, from, m.Survey)
	case KindSurveyReply:
		n.surveys.answered(n, now, from, &m)
	}
	n.maybeServe(now)
	return n.out
}

// TableRead tells the outcome of a table read. A delta that is older than
// what the Node holds is ignored; err means that the table did not answer.
func (n *Node) TableRead(now time.Time, delta Delta, err error) Actions {
	n.out.reset()
	n.read.pending = false
	if err != nil {
		n.readFailed(now)
		return n.out
	}
	n.install(now, &delta, true)
	n.startRead(now, delta.To)
	n.maybeServe(now)
	return n.out
}

// AddFact makes fact known to the Node, which spreads it at once.
func (n *Node) AddFact(now time.Time, fact Fact) (Actions, error) {
	n.out.reset()
	_, fresh, err := n.facts.add(fact)
	if err != nil {
		return n.out, err
	}
	if fresh {
		n.push.facts(now, fact, n.options.PushRounds)
		n.tickPush(now)
	}
	return n.out, nil
}

// RetireFact drops the fact called key. It may only be called where the installed
// configuration records the fact.
func (n *Node) RetireFact(key string) { n.facts.retire(key) }

// merge takes in facts of a peer.
func (n *Node) merge(now time.Time, list []Fact) {
	for _, fact := range list {
		_, fresh, err := n.facts.add(fact)
		if err != nil || !fresh {
			continue
		}
		n.out.Learned = append(n.out.Learned, fact)
		n.push.facts(now, fact, n.options.PushRounds)
	}
	if len(n.out.Learned) > 0 {
		n.tickPush(now)
	}
}

// install applies delta if it is newer, and passes it on if spread is set.
func (n *Node) install(now time.Time, delta *Delta, spread bool) {
	before := n.items.revision
	if !n.items.apply(delta) {
		return
	}
	n.out.Installs = append(n.out.Installs, *delta)
	if spread {
		n.push.installed(now, before, n.options.PushRounds, n.options.PushInterval)
		n.tickPush(now)
	}
}

// header returns a message that tells what the Node holds.
func (n *Node) header(kind Kind) Message {
	return Message{Kind: kind, Revision: n.items.revision, Serving: n.begin.done, FactsDigest: n.facts.digest}
}

func (n *Node) send(to wigeonfork.HostID, m Message) {
	n.push.charge(&m, n.options.BytesPerSecond)
	n.out.Sends = append(n.out.Sends, Send{To: to, Message: m})
}

func (n *Node) sendState(to wigeonfork.HostID, delta *Delta, list []Fact) {
	m := n.header(KindState)
	m.Delta = delta
	m.FactList = list
	n.send(to, m)
}

// answer replies to a pull or a probe. It stays silent where a serving peer
// lacks nothing.
func (n *Node) answer(now time.Time, from wigeonfork.HostID, m *Message) {
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
func (n *Node) catchUp(now time.Time, from wigeonfork.HostID, held wigeonfork.Revision) {
	if held <= n.items.revision || now.Before(n.pull.busy) {
		return
	}
	n.pullFrom(now, from)
	n.pull.busy = now.Add(pullTimeout)
}

func (n *Node) pullFrom(now time.Time, peer wigeonfork.HostID) {
	n.pull.from = peer
	n.pull.sent = now
	n.send(peer, n.header(KindPull))
}

// tickPull asks one random peer for what the Node lacks.
func (n *Node) tickPull(now time.Time) {
	if now.Before(n.pull.next) {
		return
	}
	n.pull.next = now.Add(n.jitter(n.options.PullInterval))
	if !n.begin.done || now.Before(n.pull.busy) {
		return
	}
	for _, peer := range n.pick(1) {
		n.pullFrom(now, peer.ID)
	}
}

// jitter returns a random duration between half and one and a half of mean.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.random.Int64N(int64(mean)+1))
}

// pick returns up to count different random peers.
func (n *Node) pick(count int) []Peer {
	if count >= len(n.peers) {
		return n.others()
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

func (n *Node) others() []Peer {
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
