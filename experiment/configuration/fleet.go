package configuration

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/revision"
)

// Delays of messages between instances, of table reads and of restarts.
const (
	minDelay     = time.Millisecond
	maxDelay     = 50 * time.Millisecond
	tableDelay   = 10 * time.Millisecond
	restartDelay = time.Second
)

// packetOverheadBytes is the size of the Ethernet, IP and UDP headers and of a
// message authentication code.
const packetOverheadBytes = 64

// event is an event of one instance. It is a message if encoded is set, a response
// of the table if tableRead is set, and otherwise a wake or the end of a restart.
// Messages are dropped while the instance is down, other events if its incarnation
// has changed.
type event struct {
	at          time.Duration
	sequence    uint64
	instance    int
	incarnation int
	from        int
	encoded     []byte
	tableRead   *revision.Delta
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// instance is one node and the time of its next wake.
type instance struct {
	node        *revision.Node
	incarnation int
	down        bool
	wakeAt      time.Duration
}

// counters are totals over all instances.
type counters struct {
	sent      int
	bytes     int
	reads     int
	processor time.Duration
}

// fleet drives nodes in virtual time.
type fleet struct {
	random    *rand.Rand
	seed      uint64
	start     time.Time
	now       time.Duration
	events    eventQueue
	sequence  uint64
	instances []instance
	peers     []revision.Peer
	peerIndex map[wigeonfork.HostID]int
	loss      float64
	table     []revision.Item
	total     counters
	installed func(instance int, to wigeonfork.Revision)
}

func newFleet(size, domains int, seed uint64, loss float64) *fleet {
	f := &fleet{
		random:    rand.New(rand.NewPCG(seed, uint64(size))),
		seed:      seed,
		start:     time.Unix(0, 0).UTC(),
		instances: make([]instance, size),
		peers:     makePeers(size, domains),
		peerIndex: make(map[wigeonfork.HostID]int, size),
		loss:      loss,
		installed: func(int, wigeonfork.Revision) {},
	}
	for i := range f.peers {
		f.peerIndex[f.peers[i].ID] = i
	}
	return f
}

// startAll starts each instance at a random time within one second.
func (f *fleet) startAll() {
	for i := range f.instances {
		f.startNode(i)
		f.instances[i].wakeAt = f.now + time.Duration(f.random.Int64N(int64(time.Second)))
		f.enqueue(event{at: f.instances[i].wakeAt, instance: i, incarnation: f.instances[i].incarnation})
	}
}

// startNode gives instance i a new node without state.
func (f *fleet) startNode(i int) {
	in := &f.instances[i]
	in.incarnation++
	in.down = false
	in.node = revision.New(revision.Options{
		ID:     f.peers[i].ID,
		Domain: f.peers[i].Domain,
		Seed:   f.seed + uint64(in.incarnation)<<32,
	})
	in.node.SetPeers(f.peers)
}

// restart stops instance i. It starts again after restartDelay.
func (f *fleet) restart(i int) {
	f.instances[i].down = true
	f.instances[i].incarnation++
	f.enqueue(event{at: f.now + restartDelay, instance: i, incarnation: f.instances[i].incarnation})
}

// commit writes a change of one item to the table.
func (f *fleet) commit(key string, value []byte) wigeonfork.Revision {
	next := wigeonfork.Revision(len(f.table) + 1)
	f.table = append(f.table, revision.Item{Key: key, Value: value, Revision: next})
	return next
}

func (f *fleet) enqueue(e event) {
	f.sequence++
	e.sequence = f.sequence
	heap.Push(&f.events, e)
}

// run handles all events up to the virtual time end.
func (f *fleet) run(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		f.handle(&e)
	}
	f.now = end
}

func (f *fleet) handle(e *event) {
	in := &f.instances[e.instance]
	if in.incarnation != e.incarnation && e.encoded == nil {
		return
	}
	if in.down {
		if e.encoded != nil {
			return
		}
		f.startNode(e.instance)
		in.wakeAt = f.now
	}
	var actions revision.Actions
	var encoded [][]byte
	f.total.processor += processorTime(func() { actions, encoded = f.dispatch(in, e) })
	f.execute(e.instance, actions, encoded)
	f.scheduleWake(e.instance)
}

// dispatch passes e to the node. It decodes received messages and encodes the
// messages to send, so that the measured time includes the codec.
func (f *fleet) dispatch(in *instance, e *event) (revision.Actions, [][]byte) {
	now := f.start.Add(f.now)
	var actions revision.Actions
	switch {
	case e.encoded != nil:
		m, err := revision.Decode(e.encoded)
		if err != nil {
			panic(err)
		}
		actions = in.node.Receive(now, f.peers[e.from].ID, m)
	case e.tableRead != nil:
		actions = in.node.CompleteTableRead(now, *e.tableRead, nil)
	case f.now < in.wakeAt:
		return actions, nil
	default:
		actions = in.node.Tick(now)
	}
	return actions, encodeSends(actions.Sends)
}

func encodeSends(sends []revision.Send) [][]byte {
	encoded := make([][]byte, len(sends))
	for i := range sends {
		data, err := revision.Encode(sends[i].Message)
		if err != nil {
			panic(err)
		}
		encoded[i] = data
	}
	return encoded
}

// execute carries out the actions of the node of instance i.
func (f *fleet) execute(i int, actions revision.Actions, encoded [][]byte) {
	for k := range actions.Sends {
		f.total.sent++
		f.total.bytes += len(encoded[k]) + packetOverheadBytes
		if f.random.Float64() < f.loss {
			continue
		}
		delay := minDelay + time.Duration(f.random.Int64N(int64(maxDelay-minDelay)))
		to := f.peerIndex[actions.Sends[k].To]
		f.enqueue(event{at: f.now + delay, instance: to, from: i, encoded: encoded[k]})
	}
	for _, read := range actions.Reads {
		f.total.reads++
		delta := f.deltaSince(read.Since)
		f.enqueue(event{at: f.now + tableDelay, instance: i, incarnation: f.instances[i].incarnation, tableRead: &delta})
	}
	for k := range actions.Installs {
		f.installed(i, actions.Installs[k].To)
	}
}

// deltaSince returns the changes in the table after revision from, with only the
// latest version of each item.
func (f *fleet) deltaSince(from wigeonfork.Revision) revision.Delta {
	delta := revision.Delta{From: from, To: wigeonfork.Revision(len(f.table))}
	seen := make(map[string]bool)
	for i := len(f.table) - 1; i >= int(from); i-- {
		if !seen[f.table[i].Key] {
			seen[f.table[i].Key] = true
			delta.Items = append(delta.Items, f.table[i])
		}
	}
	return delta
}

// scheduleWake schedules the next wake of instance i unless an earlier one is
// already scheduled.
func (f *fleet) scheduleWake(i int) {
	in := &f.instances[i]
	wake := max(in.node.NextWake().Sub(f.start), f.now)
	if in.wakeAt > f.now && in.wakeAt <= wake {
		return
	}
	in.wakeAt = wake
	f.enqueue(event{at: wake, instance: i, incarnation: in.incarnation})
}
