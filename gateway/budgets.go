package gateway

import (
	"sync"
	"time"

	"github.com/wigeonfork/wigeonfork"
	"github.com/wigeonfork/wigeonfork/retry"
)

const (
	// budgetShare is the part of the ratio that entries use, as messages between
	// them may be late.
	budgetShare = 0.9
	// slackShare is the part of the slack that all entries use together.
	slackShare = 0.9
	// assumedEntries is the number of entries that share the slack until peers are
	// heard.
	assumedEntries = 4
)

// budgets share out how often requests may be sent again, for each service, over
// all entries: the ratio by each entry's own requests, the slack evenly.
type budgets struct {
	bounds Bounds

	mu       sync.Mutex
	entries  int
	services map[wigeonfork.Model]*retry.Budgets
}

func newBudgets(b Bounds) *budgets {
	return &budgets{bounds: b, entries: assumedEntries, services: make(map[wigeonfork.Model]*retry.Budgets)}
}

// limit is this entry's part.
func (b *budgets) limit() retry.Limit {
	slack := b.bounds.RetrySlack * slackShare / float64(b.entries)
	return retry.Limit{
		Ratio:     b.bounds.RetryRatio * budgetShare,
		PerSecond: slack / 2 / b.bounds.RetryWindow.Seconds(),
		Burst:     slack,
	}
}

// setEntries tells how many entries share the budget.
func (b *budgets) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(n, 1); n == b.entries {
		return
	}
	b.entries = n
	for _, budget := range b.services {
		budget.SetLimits(retry.Limits{Caller: b.limit(), Workspace: b.limit(), Overall: b.limit()})
	}
}

func (b *budgets) of(service wigeonfork.Model) *retry.Budgets {
	if b.services[service] == nil {
		b.services[service] = retry.NewBudgets(retry.Options{
			Caller: b.limit(), Workspace: b.limit(), Overall: b.limit(), MaxCallers: 1, MaxWorkspaces: 1,
		})
	}
	return b.services[service]
}

// asked credits a service with a caller's request.
func (b *budgets) asked(now time.Time, service wigeonfork.Model) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Succeeded(now, retry.Origin{})
}

// take asks whether a request may be sent once more.
func (b *budgets) take(now time.Time, service wigeonfork.Model) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take(now, retry.Origin{}).Allowed
}
