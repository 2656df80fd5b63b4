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
	// shareInterval is the time between two looks at what to tell other entries.
	shareInterval = 50 * time.Millisecond
	// shareTimeout bounds one message to another entry.
	shareTimeout = 500 * time.Millisecond
	// shareFanout bounds the entries told directly; they pass on what is new.
	shareFanout = 8
	// requestsPerSlot is how many requests are let in for each slot of the
	// engines. Those above one wait in the engines' own queues.
	requestsPerSlot = 1.25
)

// syncGate keeps the gate's capacity up to date and tells other entries what
// it learns of requests that crash engines.
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

// shareQuarantine tells some of the other entries what each does not know yet.
// A different entry begins each time, so that a bounded fan-out reaches all.
func (e *Entry) shareQuarantine() {
	addresses := e.fleet.OtherEntries()
	for i := range min(shareFanout, len(addresses)) {
		e.gossip.sendDelta(addresses[(e.gossip.nextPeer+i)%len(addresses)])
	}
	e.gossip.nextPeer++
}

// quarantineUpdate is what one entry tells another. The first one is sent even if it is
// empty, so that entries that are listed later are known at once.
type quarantineUpdate struct {
	From    infra.Host         `json:"from"`
	Message quarantine.Message `json:"message"`
}

// quarantineGossip holds how much of the quarantine each other entry has acknowledged.
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

// sendDelta tells the entry at address what is new to it, unless it is being told.
func (s *quarantineGossip) sendDelta(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after, sentBefore := s.cursors[address]
	message, cursor := s.entry.gate.Delta(after)
	if (sentBefore && message.Empty()) || s.sending[address] {
		return
	}
	s.sending[address] = s.entry.pool.Submit(func() { s.send(address, message, cursor) })
}

func (s *quarantineGossip) send(address string, message quarantine.Message, cursor uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	client, err := s.entry.peers.Get(ctx, address)
	if err == nil {
		err = client.Call(ctx, peer.MethodQuarantine, quarantineUpdate{From: s.entry.self, Message: message}, nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending[address] = false
	if err != nil {
		s.entry.options.Log.Debug().Str("step", "share").Str("peer", address).Err(err).Msg("share_failed")
		return
	}
	s.cursors[address] = cursor
}

// mergeQuarantine takes in what another entry knows and interrupts requests
// under way that are now known to crash engines.
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
