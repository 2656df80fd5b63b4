package retry

import (
	"time"

	"github.com/wigeonfork/wigeonfork"
)

// Level is the level of a budget.
type Level uint8

// The levels of budgets, from the narrowest.
const (
	LevelNone Level = iota
	LevelCaller
	LevelWorkspace
	LevelOverall
)

// String returns the name of l.
func (l Level) String() string {
	switch l {
	case LevelCaller:
		return "caller"
	case LevelWorkspace:
		return "workspace"
	case LevelOverall:
		return "overall"
	default:
		return "none"
	}
}

// Limit configures the budgets of one level. A budget is a token bucket of at
// most Burst attempts. Each success adds Ratio and each second adds PerSecond.
type Limit struct {
	Ratio     float64
	PerSecond float64
	Burst     float64
}

// Options configures Budgets. Zero limits take the defaults.
type Options struct {
	Seed      uint64
	Caller    Limit
	Workspace Limit
	Overall   Limit
	// MaxCallers bounds the callers whose budgets are kept. Callers that were not
	// used recently are evicted.
	MaxCallers int
	// MaxWorkspaces bounds the workspaces whose budgets are kept.
	MaxWorkspaces int
}

// Defaults of Options.
var (
	DefaultCaller    = Limit{Ratio: 0.2, PerSecond: 0.2, Burst: 5}
	DefaultWorkspace = Limit{Ratio: 0.1, PerSecond: 1, Burst: 20}
	DefaultOverall   = Limit{Ratio: 0.1, PerSecond: 5, Burst: 100}
)

// Defaults of Options.
const (
	DefaultMaxCallers    = 16384
	DefaultMaxWorkspaces = 4096
)

// Origin identifies the workspace and the caller of an attempt.
type Origin struct {
	Workspace wigeonfork.Workspace
	Caller    string
}

// Decision is the outcome of Budgets.Take.
type Decision struct {
	Allowed bool
	// Denied is the level of the exhausted budget, or LevelNone.
	Denied Level
	// RetryAfter is the delay until the budget may allow an attempt, with a random
	// spread.
	RetryAfter time.Duration
}

// bucket is the token bucket of one caller, one workspace or all requests. A
// token is one attempt.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, l *Limit) {
	if b.refilledAt.IsZero() {
		b.tokens = l.Burst
	} else if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(l.Burst, b.tokens+passed.Seconds()*l.PerSecond)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// wait returns the time until the bucket holds one token.
func (b *bucket) wait(l *Limit) time.Duration {
	if l.PerSecond <= 0 {
		return maxBackoff
	}
	return time.Duration((1 - b.tokens) / l.PerSecond * float64(time.Second))
}

// Budgets decides whether a request may be attempted again.
type Budgets struct {
	options    Options
	backoff    *Backoff
	overall    bucket
	workspaces table[wigeonfork.Workspace, bucket]
	callers    table[Origin, bucket]
}

// NewBudgets returns Budgets whose buckets start full.
func NewBudgets(options Options) *Budgets {
	options = options.withDefaults()
	return &Budgets{
		options:    options,
		backoff:    NewBackoff(options.Seed, minBackoff, maxBackoff),
		workspaces: newTable[wigeonfork.Workspace, bucket](options.MaxWorkspaces),
		callers:    newTable[Origin, bucket](options.MaxCallers),
	}
}

func (o Options) withDefaults() Options {
	if o.Caller == (Limit{}) {
		o.Caller = DefaultCaller
	}
	if o.Workspace == (Limit{}) {
		o.Workspace = DefaultWorkspace
	}
	if o.Overall == (Limit{}) {
		o.Overall = DefaultOverall
	}
	if o.MaxCallers <= 0 {
		o.MaxCallers = DefaultMaxCallers
	}
	if o.MaxWorkspaces <= 0 {
		o.MaxWorkspaces = DefaultMaxWorkspaces
	}
	return o
}

// Succeeded credits the budgets for a successful attempt.
func (b *Budgets) Succeeded(now time.Time, from Origin) {
	credit(now, b.callers.get(from), &b.options.Caller)
	credit(now, b.workspaces.get(from.Workspace), &b.options.Workspace)
	credit(now, &b.overall, &b.options.Overall)
}

func credit(now time.Time, b *bucket, l *Limit) {
	b.refill(now, l)
	b.tokens = min(l.Burst, b.tokens+l.Ratio)
}

// Take decides on one more attempt after a failed one. An allowed attempt is
// charged to all three budgets, a denied one to none.
func (b *Budgets) Take(now time.Time, from Origin) Decision {
	caller, workspace := b.callers.get(from), b.workspaces.get(from.Workspace)
	caller.refill(now, &b.options.Caller)
	workspace.refill(now, &b.options.Workspace)
	b.overall.refill(now, &b.options.Overall)
	switch {
	case caller.tokens < 1:
		return b.deny(LevelCaller, caller.wait(&b.options.Caller))
	case workspace.tokens < 1:
		return b.deny(LevelWorkspace, workspace.wait(&b.options.Workspace))
	case b.overall.tokens < 1:
		return b.deny(LevelOverall, b.overall.wait(&b.options.Overall))
	}
	caller.tokens--
	workspace.tokens--
	b.overall.tokens--
	return Decision{Allowed: true}
}

func (b *Budgets) deny(level Level, wait time.Duration) Decision {
	return Decision{Denied: level, RetryAfter: b.backoff.Spread(wait)}
}
