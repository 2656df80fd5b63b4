package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/retry"
)

const (
	// budgetFraction is the part of the retry budget that is used: messages between
	// entries may be late or lost.
	budgetFraction = 0.8
	// assumedEntries is the number of entries taken to share the slack until the
	// others are known.
	assumedEntries = 4
)

// retryBudgets bound how often requests are sent again, for each service over all
// entries. Peers tell of the sends to model engines, not of those to plain
// services; there each entry keeps to its own requests and its part of the slack.
type retryBudgets struct {
	bounds Bounds

	mu        sync.Mutex
	reachable int
	known     int
	services  map[wigeonfork.Model]*retry.Shared
}

func newRetryBudgets(b Bounds) *retryBudgets {
	return &retryBudgets{bounds: b, reachable: 1, known: assumedEntries, services: make(map[wigeonfork.Model]*retry.Shared)}
}

// setEntries tells how many entries are heard and known, this one included.
func (b *retryBudgets) setEntries(reachable, known int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reachable, b.known = reachable, max(known, 1)
}

func (b *retryBudgets) budget(service wigeonfork.Model) *retry.Shared {
	if b.services[service] == nil {
		b.services[service] = retry.NewShared(b.bounds.RetryRatio*budgetFraction, b.bounds.RetrySlack*budgetFraction, b.bounds.RetryWindow)
	}
	return b.services[service]
}

// recordRequest records a request for a service, of a caller here or at a peer.
func (b *retryBudgets) recordRequest(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Asked(now)
}

// recordPeerRetry records a recordPeerRetry send of a peer.
func (b *retryBudgets) recordPeerRetry(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Repeated(now)
}

// take asks whether a request may be sent once more. told says that peers tell of
// their sends to the service.
func (b *retryBudgets) take(now time.Time, service wigeonfork.Model, peersReport bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := 1 / float64(b.known)
	if peersReport {
		part = float64(b.reachable) / float64(b.known)
	}
	return b.budget(service).Take(now, part)
}
