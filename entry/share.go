package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork/infra"
	"github.com/wigeonfork/wigeonfork/peer"
	"github.com/wigeonfork/wigeonfork/quarantine"
)

const (
	// shareInterval is the time between two checks for updates to send to other entries.
	shareInterval = 50 * time.Millisecond
	// shareTimeout bounds one message to another entry.
	shareTimeout = 500 * time.Millisecond
	// shareFanout bounds the entries that get an update directly. They forward what is new to them.
	shareFanout = 8
	// requestsPerSlot is the number of admitted requests per slot of the engines. The excess over
	// one per slot waits in the engines' own queues.
	requestsPerSlot = 1.25
)

// syncGate updates the gate's capacity and gossips the state of the quarantine to other entries.
func (e *Entry) syncGate() {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			slots, engines, entries := e.fleet.Capacity()
			e.gate.SetCapacity(now, requestsPerSlot*float64(slots)/float64(entries), engines)
			e.shareQuarantine()
		case <-e.gate.Changed():
			e.shareQuarantine()
		case <-e.background.Done():
			return
		}
	}
}

// shareQuarantine sends to some of the other entries what each has not acknowledged yet. The first
// entry rotates, so that the bounded fan-out reaches all of them.
func (e *Entry) shareQuarantine() {
	addresses := e.fleet.OtherEntries()
	for i := range min(shareFanout, len(addresses)) {
		e.gossip.sendDelta(addresses[(e.gossip.nextPeer+i)%len(addresses)])
	}
	e.gossip.nextPeer++
}

// quarantineUpdate is sent from one entry to another. The first update to an entry is sent even if
// it is empty. It announces the sender, which the receiver's host list may not contain yet, and the
// sender's start.
type quarantineUpdate struct {
	From infra.Host `json:"from"`
	// Start identifies the start of the sender's process.
	Start   string             `json:"start"`
	Message quarantine.Message `json:"message"`
}

// quarantineGossip sends quarantine updates and stores how much each other entry has acknowledged.
type quarantineGossip struct {
	entry    *Entry
	nextPeer int

	mu    sync.Mutex
	peers map[string]*gossipPeer // by address
}

// gossipPeer is another entry.
type gossipPeer struct {
	// start is the start that the peer announced, or empty.
	start string
	// contacted means that the peer acknowledged an update since that start, and cursor up to where.
	contacted bool
	cursor    uint64
	sending   bool
}

func newQuarantineGossip(e *Entry) *quarantineGossip {
	return &quarantineGossip{entry: e, peers: map[string]*gossipPeer{}}
}

// peerAt returns the entry at address. The caller holds g.mu.
func (g *quarantineGossip) peerAt(address string) *gossipPeer {
	p := g.peers[address]
	if p == nil {
		p = &gossipPeer{}
		g.peers[address] = p
	}
	return p
}

// recordStart records the start that the entry at address announced. After a restart the entry
// knows nothing of what it acknowledged before, so the next update to it has everything.
func (g *quarantineGossip) recordStart(address, start string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peerAt(address); p.start != start {
		p.start, p.contacted, p.cursor = start, false, 0
	}
}

// sendDelta sends to the entry at address what it has not acknowledged, unless a message to it is
// in flight.
func (g *quarantineGossip) sendDelta(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peerAt(address)
	message, cursor := g.entry.gate.Delta(p.cursor)
	if (p.contacted && message.Empty()) || p.sending {
		return
	}
	start := p.start
	p.sending = g.entry.pool.Submit(func() {
		err := g.send(address, message)
		g.recordSent(address, start, cursor, err)
	})
}

func (g *quarantineGossip) send(address string, message quarantine.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	client, err := g.entry.peers.Get(ctx, address)
	if err != nil {
		return err
	}
	update := quarantineUpdate{From: g.entry.self, Start: g.entry.owner, Message: message}
	return client.Call(ctx, peer.MethodQuarantine, update, nil)
}

// recordSent records the outcome of an update up to cursor. An acknowledgement does not count if
// the peer has announced another start since the update was sent.
func (g *quarantineGossip) recordSent(address, start string, cursor uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peerAt(address)
	p.sending = false
	if err != nil {
		g.entry.options.Log.Debug().Str("step", "share").Str("peer", address).Err(err).Msg("share_failed")
		return
	}
	if p.start == start {
		p.contacted, p.cursor = true, cursor
	}
}

// mergeQuarantine applies an update of another entry and interrupts the requests in progress that
// it quarantines.
func (e *Entry) mergeQuarantine(_ context.Context, _ *peer.Session, update quarantineUpdate) (peer.None, error) {
	e.fleet.AddEntry(update.From)
	e.gossip.recordStart(update.From.ControlAddress, update.Start)
	e.gate.Merge(update.Message)
	now := time.Now()
	for _, answer := range e.answers.All() {
		if e.gate.Quarantined(now, answer.Key) {
			answer.Interrupt()
		}
	}
	return peer.None{}, nil
}
