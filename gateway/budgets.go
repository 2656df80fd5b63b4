package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/retry"
)

const (
	// budgetUse is the part of the retry budget that is used: messages between
	// entries may be late or lost.
	budgetUse = 0.8
	// assumedEntries is the number of entries taken to share the slack until the
	// others are known.
	assumedEntries = 4
)

// budgets bound how often requests are sent again, for each service over all
// entries. Peers tell of the sends to model engines, not of those to plain
// services; there each entry keeps to its own requests and its part of the slack.
type budgets struct {
	bounds Bounds

	mu       sync.Mutex
	heard    int
	known    int
	services map[wigeonfork.Model]*retry.SharedBudget
}

func newBudgets(b Bounds) *budgets {
	return &budgets{bounds: b, heard: 1, known: assumedEntries, services: make(map[wigeonfork.Model]*retry.SharedBudget)}
}

// setEntries tells how many entries are heard and known, this one included.
func (b *budgets) setEntries(heard, known int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard, b.known = heard, max(known, 1)
}

func (b *budgets) of(service wigeonfork.Model) *retry.SharedBudget {
	if b.services[service] == nil {
		b.services[service] = retry.NewSharedBudget(b.bounds.RetryRatio*budgetUse, b.bounds.RetrySlack*budgetUse, b.bounds.RetryWindow)
	}
	return b.services[service]
}

// asked records a request for a service, of a caller here or at a peer.
func (b *budgets) asked(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).RecordRequest(now)
}

// repeated records a repeated send of a peer.
func (b *budgets) repeated(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).RecordPeerRetry(now)
}

// take asks whether a request may be sent once more. told says that peers tell of
// their sends to the service.
func (b *budgets) take(now time.Time, service wigeonfork.Model, told bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := 1 / float64(b.known)
	if told {
		part = float64(b.heard) / float64(b.known)
	}
	return b.of(service).Take(now, part)
}
