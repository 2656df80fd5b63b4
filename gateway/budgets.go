package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/retry"
)

// budgetFraction is the fraction of the retry budget that is used. The rest allows for
// messages between entries that are late or lost.
const budgetFraction = 0.8

// retryBudgets limits how often requests are retried, per service and over all
// entries. Peers report their sends to model engines but not those to plain services.
// For a plain service, each entry counts its own requests and takes an equal part of
// the slack.
type retryBudgets struct {
	bounds Bounds

	mu sync.Mutex
	// reachable and known are the numbers of entries that are live and that are
	// registered, this one included. known is 0 until the registry has been read.
	reachable int
	known     int
	// countedSince is when this entry began to count, its own sends and its peers'.
	countedSince time.Time
	services     map[wigeonfork.Model]*retry.SharedBudget
}

func newRetryBudgets(now time.Time, b Bounds) *retryBudgets {
	return &retryBudgets{bounds: b, countedSince: now, services: make(map[wigeonfork.Model]*retry.SharedBudget)}
}

// setBounds replaces the bounds. What was counted is kept.
func (b *retryBudgets) setBounds(now time.Time, bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
	for _, budget := range b.services {
		budget.SetLimits(now, bounds.RetryRatio*budgetFraction, bounds.RetrySlack*budgetFraction, bounds.RetryWindow)
	}
}

// setEntries sets how many entries are reachable and how many are known, this one
// included. Known entries that are not reachable keep their share of the slack.
func (b *retryBudgets) setEntries(reachable, known int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reachable, b.known = reachable, max(known, 1)
}

// reportedFraction returns the fraction of the entries whose retries are counted here,
// which is the part of the slack that this entry may use. Until the number of entries is
// known it is 0. Within the first window, the earlier retries of the peers are not
// counted, and only this entry's own part is used.
func (b *retryBudgets) reportedFraction(now time.Time, peersReport bool) float64 {
	switch {
	case b.known == 0:
		return 0
	case peersReport && now.Sub(b.countedSince) >= b.bounds.RetryWindow:
		return float64(b.reachable) / float64(b.known)
	}
	return 1 / float64(b.known)
}

func (b *retryBudgets) budget(service wigeonfork.Model) *retry.SharedBudget {
	if b.services[service] == nil {
		b.services[service] = retry.NewSharedBudget(b.bounds.RetryRatio*budgetFraction, b.bounds.RetrySlack*budgetFraction, b.bounds.RetryWindow)
	}
	return b.services[service]
}

// recordRequest records a request for a service, from a caller of this entry or of a
// peer.
func (b *retryBudgets) recordRequest(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordRequest(now)
}

// recordPeerRetry records a retry by a peer.
func (b *retryBudgets) recordPeerRetry(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordPeerRetry(now)
}

// take reports whether a request may be retried, and charges the budget if so.
// peersReport is set if the peers report their sends to the service.
func (b *retryBudgets) take(now time.Time, service wigeonfork.Model, peersReport bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(now, b.reportedFraction(now, peersReport))
}

// takeSpare is take for a request that need not be retried. It leaves some retries to others.
func (b *retryBudgets) takeSpare(now time.Time, service wigeonfork.Model, peersReport bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).TakeSpare(now, b.reportedFraction(now, peersReport))
}
