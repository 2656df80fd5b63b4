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
// it is empty. It announces the sender, which the receiver's host list may not contain yet.
type quarantineUpdate struct {
	From    infra.Host         `json:"from"`
	Message quarantine.Message `json:"message"`
}

// quarantineGossip sends quarantine updates and stores how much each other entry has acknowledged.
type quarantineGossip struct {
	entry    *Entry
	nextPeer int

	mu      sync.Mutex
	cursors map[string]uint64
	sending map[string]bool
}

func newQuarantineGossip(e *Entry) *quarantineGossip {
	return &quarantineGossip{entry: e, cursors: map[string]uint64{}, sending: map[string]bool{}}
}

// sendDelta sends to the entry at address what it has not acknowledged, unless a message to it is
// in flight.
func (g *quarantineGossip) sendDelta(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	after, sentBefore := g.cursors[address]
	message, cursor := g.entry.gate.Delta(after)
	if (sentBefore && message.Empty()) || g.sending[address] {
		return
	}
	g.sending[address] = g.entry.pool.Submit(func() { g.send(address, message, cursor) })
}

func (g *quarantineGossip) send(address string, message quarantine.Message, cursor uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	client, err := g.entry.peers.Get(ctx, address)
	if err == nil {
		err = client.Call(ctx, peer.MethodQuarantine, quarantineUpdate{From: g.entry.self, Message: message}, nil)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sending[address] = false
	if err != nil {
		g.entry.options.Log.Debug().Str("step", "share").Str("peer", address).Err(err).Msg("share_failed")
		return
	}
	g.cursors[address] = cursor
}

// mergeQuarantine applies an update of another entry and interrupts the requests in progress that
// it quarantines.
func (e *Entry) mergeQuarantine(_ context.Context, _ *peer.Session, update quarantineUpdate) (peer.None, error) {
	e.fleet.AddEntry(update.From)
	e.gate.Merge(update.Message)
	now := time.Now()
	for _, answer := range e.answers.All() {
		if e.gate.Quarantined(now, answer.Key) {
			answer.Interrupt()
		}
	}
	return peer.None{}, nil
}
