package entry

import (
	"context"
	"time"

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
	// admissionFactor is how many requests are let in for each slot of the
	// engines. Those above one wait in the engines' own queues.
	admissionFactor = 1.25
)

// shareGate keeps the gate's capacity up to date and tells other entries what
// it learns of requests that crash engines.
func (e *Entry) shareGate() {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			slots, engines, entries := e.fleet.Capacity()
			e.gate.SetCapacity(now, admissionFactor*float64(slots)/float64(entries), engines)
			e.shareQuarantine()
		case <-e.background.Done():
			return
		}
	}
}

func (e *Entry) shareQuarantine() {
	message := e.gate.Delta()
	if message.Empty() {
		return
	}
	addresses := e.fleet.OtherEntries()
	for i := range min(shareFanout, len(addresses)) {
		// Each delta begins at another entry, so that a bounded fan-out reaches
		// all over time.
		address := addresses[(e.shared+i)%len(addresses)]
		e.pool.Submit(func() { e.tell(address, message) })
	}
	e.shared++
}

func (e *Entry) tell(address string, message quarantine.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	client, err := e.peers.Get(ctx, address)
	if err == nil {
		err = client.Notify(ctx, peer.MethodQuarantine, message)
	}
	if err != nil {
		e.options.Log.Debug().Str("step", "share").Str("peer", address).Err(err).Msg("share_failed")
	}
}

func (e *Entry) mergeQuarantine(_ context.Context, _ *peer.Session, message quarantine.Message) (peer.None, error) {
	e.gate.Merge(message)
	return peer.None{}, nil
}
